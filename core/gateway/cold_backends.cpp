#include "core/gateway/cold_backends.h"

#include <algorithm>

namespace gypsum {

bool ColdBackends::OnStatement(const BackendRecord& aBackend,
                               Duration aColdFor,
                               Instant aNow)
{
  const bool wasCold = IsCold(aBackend, aNow);
  words_[{ aBackend.id, aBackend.startedMs }] = { aNow + aColdFor, aNow };
  return IsCold(aBackend, aNow) != wasCold;
}

void ColdBackends::OnZoneReturned(const BackendRecord& aBackend, Instant aNow)
{
  const auto service = services_.find(aBackend.service);
  if (service == services_.end()) {
    return;
  }
  // An entry may be newer, but none says more than this.
  const Instant until =
    std::max(ColdUntil(aBackend), aNow + service->second.time);
  words_[{ aBackend.id, aBackend.startedMs }] = { until, aNow };
}

void ColdBackends::Expire(Instant aNow)
{
  std::erase_if(words_, [&](const auto& aItem) {
    return aNow - aItem.second.saidAt >= kMemory && aItem.second.until <= aNow;
  });
}

Instant ColdBackends::ColdUntil(const BackendRecord& aBackend) const
{
  const ColdWord entry = registry_.ColdWordOf(aBackend);
  if (words_.empty()) {
    return entry.until;
  }
  const auto found = words_.find({ aBackend.id, aBackend.startedMs });
  if (found == words_.end()) {
    return entry.until;
  }
  const ColdWord& word = found->second;
  if (entry.saidAt >= word.saidAt + kEntryLag) {
    return entry.until;
  }
  return entry.saidAt < word.saidAt ? word.until
                                    : std::max(word.until, entry.until);
}

std::optional<double> ColdBackends::RateOf(const BackendRecord& aBackend,
                                           Instant aNow) const
{
  const bool mayBeCold =
    !services_.empty() && (!words_.empty() || aNow < registry_.AllWarmFrom());
  if (!mayBeCold || ColdUntil(aBackend) <= aNow) {
    return std::nullopt;
  }
  const auto service = services_.find(aBackend.service);
  return service == services_.end() ? std::nullopt
                                    : std::optional(service->second.perSecond);
}

} // namespace gypsum
