#include "core/agent/known_entries.h"

#include <chrono>

namespace gypsum {

namespace {

// Longer than the interval in which an entry with many agents polls each one.
constexpr std::chrono::seconds kRetention{ 60 };
constexpr std::size_t kMaxEntries = 5'000;

} // namespace

void KnownEntries::Update(const Route& aRoute,
                          Incarnation aIncarnation,
                          Instant aNow)
{
  const bool isKnown = entries_.contains(aIncarnation);
  if (isKnown || entries_.size() < kMaxEntries) {
    entries_[aIncarnation] = { aRoute, aNow };
  }
}

void KnownEntries::Expire(Instant aNow)
{
  std::erase_if(entries_, [&](const auto& aItem) {
    return aNow - aItem.second.lastContact > kRetention;
  });
}

std::vector<KnownEntries::Entry> KnownEntries::All() const
{
  std::vector<Entry> all;
  for (const auto& [incarnation, contact] : entries_) {
    all.push_back({ incarnation, contact.route });
  }
  return all;
}

} // namespace gypsum
