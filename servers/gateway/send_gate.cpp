#include "servers/gateway/send_gate.h"

#include "drivers/clock.h"

#include <string>
#include <utility>

namespace gypsum {

SendPermission SendIfGranted(GatewayState& aState,
                             BackendExchange& aExchange,
                             const BackendRecord& aBackend,
                             SendPath aPath,
                             LimitTicket aTicket,
                             BackendExchange::Request aRequest)
{
  const Instant now = Now().steady;
  const SendPermission permission =
    aState.permissions.Ask(aBackend, aTicket, now);
  if (permission.IsGranted()) {
    aState.rests.OnSent(aBackend, now);
    aExchange.Send(std::move(aRequest));
  } else {
    aState.metrics.Count("sends_held_back",
                         "why",
                         std::string(NameOf(aPath)) + ":" +
                           std::string(NameOf(permission.hold)));
  }
  return permission;
}

} // namespace gypsum
