#pragma once

#include "core/gateway/backend_limits.h"
#include "servers/gateway/gateway_state.h"

namespace gypsum {

/** Learns the limits that backend servers name. */
class LimitService
{
public:
  explicit LimitService(GatewayState& aState)
    : state_(aState)
  {
  }

  /** A response of the server has arrived. */
  void OnResponse(const BackendRecord& aBackend,
                  const LimitStatement& aStatement);
  /** Forgets what is old; call it several times a second. */
  void Expire();

private:
  void LogLimit(const BackendRecord& aBackend, std::string_view aSource) const;

  GatewayState& state_;
};

} // namespace gypsum
