#include "core/gateway/peer_sightings.h"

#include <algorithm>

namespace gypsum {

std::uint32_t PeerSightings::IdOf(Incarnation aIncarnation)
{
  constexpr unsigned kHalf = 32;
  return static_cast<std::uint32_t>(aIncarnation ^ (aIncarnation >> kHalf));
}

void PeerSightings::OnHeard(std::uint32_t aPeer, Instant aNow)
{
  seen_[aPeer].heardAt = aNow;
}

void PeerSightings::OnLeaving(std::uint32_t aPeer, Instant aNow)
{
  Seen& seen = seen_[aPeer];
  seen.heardAt = aNow;
  seen.isLeaving = true;
}

void PeerSightings::OnReport(std::span<const PeerSighting> aSightings,
                             Instant aNow)
{
  for (const PeerSighting& sighting : aSightings) {
    if (sighting.age >= kMaxAge || sighting.peer == self_) {
      continue;
    }
    Seen& seen = seen_[sighting.peer];
    // A process that has begun to stop goes on to do so.
    seen.isLeaving = seen.isLeaving || sighting.isLeaving;
    // The age of a round that is told again lacks the time on the way: taken
    // over, a peer that is gone would look alive for as long as others speak.
    const auto ahead = static_cast<std::int8_t>(sighting.round - seen.round);
    // Numbers that are too far apart can't be compared.
    const bool isNewer = ahead > 0 || aNow - seen.roundAt >= kMaxAge;
    if (isNewer) {
      seen.round = sighting.round;
      seen.roundAt = aNow - std::max(Duration{}, sighting.age);
    }
  }
}

std::vector<PeerSighting> PeerSightings::Report(Instant aNow,
                                                bool aIsLeaving) const
{
  std::vector<PeerSighting> sightings{
    { self_, round_, Duration{}, aIsLeaving }
  };
  sightings.reserve(seen_.size() + 1);
  for (const auto& [peer, seen] : seen_) {
    const Duration age = std::max(Duration{}, Duration(aNow - seen.roundAt));
    if (age < kMaxAge) {
      sightings.push_back({ peer, seen.round, age, seen.isLeaving });
    }
  }
  return sightings;
}

std::optional<Instant> PeerSightings::LastAliveAt(std::uint32_t aPeer) const
{
  const auto found = seen_.find(aPeer);
  return found == seen_.end() ? std::nullopt
                              : std::optional(found->second.LastAliveAt());
}

bool PeerSightings::IsLeaving(std::uint32_t aPeer) const
{
  const auto found = seen_.find(aPeer);
  return found != seen_.end() && found->second.isLeaving;
}

void PeerSightings::Expire(Instant aNow)
{
  std::erase_if(seen_, [&](const auto& aItem) {
    return aNow - aItem.second.LastAliveAt() >= kMaxAge;
  });
}

} // namespace gypsum
