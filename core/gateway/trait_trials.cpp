#include "core/gateway/trait_trials.h"

#include <algorithm>

namespace gypsum {

void TraitTrials::OnTrial(const TraitTrial& aTrial, Instant aNow)
{
  const std::pair key{ aTrial.gateway, aTrial.number };
  if (aTrial.hasEnded) {
    trials_.erase(key);
    return;
  }
  trials_[key] = { aTrial.traits, aNow + kMaxDuration };
}

bool TraitTrials::IsUnderWay(std::string_view aTrait, Instant aNow) const
{
  return std::ranges::any_of(trials_, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    return aNow < entry.until &&
           std::ranges::find(entry.traits, aTrait) != entry.traits.end();
  });
}

void TraitTrials::Expire(Instant aNow)
{
  std::erase_if(trials_,
                [&](const auto& aItem) { return aNow >= aItem.second.until; });
}

} // namespace gypsum
