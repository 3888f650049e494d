#include "servers/gateway/limit_service.h"

#include "drivers/clock.h"

#include <string>

namespace gypsum {

void LimitService::OnResponse(const BackendRecord& aBackend,
                              const LimitStatement& aStatement)
{
  if (state_.limits.OnStatement(aBackend, aStatement, Now().steady)) {
    LogLimit(aBackend, "own");
  }
}

void LimitService::LogLimit(const BackendRecord& aBackend,
                            std::string_view aSource) const
{
  const auto limit = state_.limits.Find(aBackend);
  state_.log.Write(LogClass::StateChange,
                   "backend-limit",
                   { { "backend", aBackend.id },
                     { "per-second", limit ? std::to_string(*limit) : "none" },
                     { "source", aSource } });
}

void LimitService::Expire()
{
  state_.limits.Expire(Now().steady);
}

} // namespace gypsum
