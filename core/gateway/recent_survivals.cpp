#include "core/gateway/recent_survivals.h"

namespace gypsum {

void RecentSurvivals::Add(std::string_view aTrait, Instant aNow)
{
  const auto found = lastAt_.find(aTrait);
  if (found != lastAt_.end()) {
    found->second = aNow;
    return;
  }
  if (lastAt_.size() < kMaxTraits) {
    lastAt_.emplace(std::string(aTrait), aNow);
  }
}

bool RecentSurvivals::HasSince(std::string_view aTrait,
                               Instant aEarliest,
                               Instant aNow) const
{
  const auto found = lastAt_.find(aTrait);
  return found != lastAt_.end() && found->second > aEarliest &&
         aNow - found->second < kMemory;
}

void RecentSurvivals::Expire(Instant aNow)
{
  std::erase_if(
    lastAt_, [&](const auto& aItem) { return aNow - aItem.second >= kMemory; });
}

} // namespace gypsum
