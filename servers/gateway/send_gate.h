#pragma once

#include "core/gateway/send_permissions.h"
#include "drivers/edge/backend_exchange.h"
#include "servers/gateway/gateway_state.h"

namespace gypsum {

/**
 * Sends a request to a backend server on a connected exchange, if the server
 * may get it now; else nothing is sent. All requests to backend servers pass
 * here.
 */
SendPermission SendIfGranted(GatewayState& aState,
                             BackendExchange& aExchange,
                             const BackendRecord& aBackend,
                             SendPath aPath,
                             LimitTicket aTicket,
                             BackendExchange::Request aRequest);

} // namespace gypsum
