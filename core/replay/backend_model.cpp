#include "core/replay/backend_model.h"

#include <algorithm>

namespace gypsum {

namespace {

Duration FromMs(double aMilliseconds)
{
  return Duration(static_cast<Duration::rep>(aMilliseconds * 1000));
}

} // namespace

ModelTimes BackendModel::Start(const ModelCall& aCall, Instant aNow)
{
  ++running_;
  ModelTimes times;
  if (!aCall.isEngine) {
    times.total = times.work = FromMs(model_.plainCallMs * slowdown_);
    times.untilFirstToken = times.total;
    return times;
  }
  const std::uint32_t tokens =
    std::max(1U, aCall.inputBytes / model_.bytesPerToken);
  const double tokensPerMs =
    aCall.isGenerating ? model_.prefillTokensPerMs : model_.encodeTokensPerMs;
  const std::uint32_t cached =
    aCall.isGenerating ? UsePrefixCache(aCall, tokens) : 0;
  times.cachedShare = static_cast<double>(cached) / tokens;
  const Duration prefillTime =
    FromMs((tokens - cached) / tokensPerMs * slowdown_);
  const Instant prefillEnd = SchedulePrefill(aCall, prefillTime, aNow);
  times.untilFirstToken = prefillEnd - aNow;
  times.total = times.untilFirstToken;
  times.work = prefillTime;
  if (aCall.isGenerating) {
    times.tokenInterval = FromMs(
      (model_.tokenBaseMs + model_.tokenPerRunningMs * running_) * slowdown_);
    const Duration decodeTime = times.tokenInterval * aCall.outputTokens;
    times.total += decodeTime;
    times.work += decodeTime;
  }
  return times;
}

Instant BackendModel::SchedulePrefill(const ModelCall& aCall,
                                      Duration aDuration,
                                      Instant aNow)
{
  const Instant freeAt = std::max(prefillFreeAt_, aNow);
  prefillFreeAt_ = freeAt + aDuration;
  if (!aCall.isUrgent) {
    return prefillFreeAt_;
  }
  const Duration chunk = FromMs(model_.prefillChunkMs * slowdown_);
  const Instant start =
    std::min(freeAt, std::max(urgentPrefillFreeAt_, aNow + chunk));
  urgentPrefillFreeAt_ = start + aDuration;
  return urgentPrefillFreeAt_;
}

std::uint32_t BackendModel::UsePrefixCache(const ModelCall& aCall,
                                           std::uint32_t aTokens)
{
  if (aCall.prefix == 0) {
    return 0;
  }
  const auto prefixTokens =
    static_cast<std::uint32_t>(aTokens * model_.sharedPrefixShare);
  const auto found = std::ranges::find(
    cache_, aCall.prefix, [](const auto& aItem) { return aItem.first; });
  const std::uint32_t cachedInput =
    found == cache_.end() ? 0 : std::min(found->second, prefixTokens);
  if (found != cache_.end()) {
    cachedTokens_ -= found->second;
    cache_.erase(found);
  }
  cache_.emplace_back(aCall.prefix, prefixTokens);
  cachedTokens_ += prefixTokens;
  while (cachedTokens_ > model_.prefixCacheTokens) {
    cachedTokens_ -= cache_.front().second;
    cache_.pop_front();
  }
  return cachedInput;
}

} // namespace gypsum
