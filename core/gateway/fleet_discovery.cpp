#include "core/gateway/fleet_discovery.h"

#include <algorithm>

namespace gypsum {

void FleetDiscovery::OnPeerFound(Duration aPeerSettledFor, Instant aNow)
{
  if (IsSettled(aNow)) {
    return;
  }
  foundAt_ = aNow;
  knowsOlderPeer_ =
    knowsOlderPeer_ || aPeerSettledFor > aNow - startedAt_ + kStartSpread;
}

Instant FleetDiscovery::SettledAt(Duration aToldSettledFor, Instant aNow)
{
  return aToldSettledFor > Duration{} ? aNow - aToldSettledFor
                                      : aNow + kMaxTime;
}

Instant FleetDiscovery::SettlesAt() const
{
  const Instant earliest = startedAt_ + kMinTime;
  const Instant latest = startedAt_ + kMaxTime;
  if (!foundAt_) {
    return hasSeeds_ ? latest : earliest;
  }
  return std::clamp(*foundAt_ + kQuietTime, earliest, latest);
}

bool FleetDiscovery::HasOwners(Instant aNow) const
{
  return knowsOlderPeer_ || IsSettled(aNow);
}

Duration FleetDiscovery::SettledFor(Instant aNow) const
{
  return std::max(Duration{}, Duration(aNow - SettlesAt()));
}

} // namespace gypsum
