#pragma once

#include "core/gateway/backend_registry.h"
#include "core/gateway/send_permissions.h"
#include "platform/backend_response_head.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/limit_service.h"
#include "servers/gateway/peer_exchange.h"

namespace gypsum {

/** Whether a response answers the request that was sent last. */
enum class ResponseAge
{
  Current,
  Late, ///< It answers an earlier request on the same connection.
};

/** Takes in what the responses of backend servers say of the servers. */
class ResponseObserver
{
public:
  ResponseObserver(GatewayState& aState,
                   PeerExchange& aPeers,
                   LimitService& aLimits);

  /** Call it for each header that arrives. */
  void OnResponse(const BackendRecord& aBackend,
                  const BackendResponseHead& aHead,
                  ResponseAge aAge,
                  SendPath aPath);

private:
  GatewayState& state_;
  PeerExchange& peers_;
  LimitService& limits_;
};

} // namespace gypsum
