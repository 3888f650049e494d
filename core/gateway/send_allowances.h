#pragma once

#include "core/gateway/backend_limits.h"
#include "core/gateway/backend_registry.h"
#include "core/gateway/cold_backends.h"

#include <algorithm>
#include <optional>

namespace gypsum {

/** Requests a second that a backend server takes from all gateways together, by
 * the limit that it names and while it is cold. */
class SendAllowances
{
public:
  /** The arguments must outlive this object. */
  SendAllowances(const BackendLimits& aLimits, const ColdBackends& aCold)
    : limits_(aLimits)
    , cold_(aCold)
  {
  }

  /** The lower of both; empty if nothing bounds them. */
  std::optional<double> Find(const BackendRecord& aBackend, Instant aNow) const
  {
    const auto limit = limits_.Find(aBackend);
    const auto rate = cold_.RateOf(aBackend, aNow);
    return limit && rate ? std::min(limit, rate) : limit ? limit : rate;
  }
  bool IsCold(const BackendRecord& aBackend, Instant aNow) const
  {
    return cold_.IsCold(aBackend, aNow);
  }

private:
  const BackendLimits& limits_;
  const ColdBackends& cold_;
};

} // namespace gypsum
