#include "core/ownership/seen_attempts.h"

#include <algorithm>

namespace gypsum {

SeenAttempts::SeenAttempts(SeenAttemptLimits aLimits)
  : limits_(aLimits)
{
}

AttemptStatus SeenAttempts::Mark(const StageId& aId, Instant aNow)
{
  if (!windows_.contains(aId.entry) && windows_.size() >= limits_.maxEntries) {
    DropIdle(aNow);
    if (windows_.size() >= limits_.maxEntries) {
      return AttemptStatus::TableFull;
    }
  }
  Window& window = windows_[aId.entry];
  window.lastUse = aNow;
  if (aId.attempt <= window.floor) {
    return AttemptStatus::BelowWindow;
  }
  auto& attempts = window.attempts;
  const auto place = std::ranges::lower_bound(attempts, aId.attempt);
  if (place != attempts.end() && *place == aId.attempt) {
    return AttemptStatus::Seen;
  }
  attempts.insert(place, aId.attempt);
  if (attempts.size() > limits_.window) {
    window.floor = attempts.front();
    attempts.erase(attempts.begin());
  }
  return AttemptStatus::New;
}

void SeenAttempts::DropIdle(Instant aNow)
{
  std::erase_if(windows_, [&](const auto& aItem) {
    return aNow - aItem.second.lastUse > limits_.lifetime;
  });
}

} // namespace gypsum
