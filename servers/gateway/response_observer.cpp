#include "servers/gateway/response_observer.h"

#include "drivers/clock.h"

namespace gypsum {

ResponseObserver::ResponseObserver(GatewayState& aState,
                                   PeerExchange& aPeers,
                                   LimitService& aLimits)
  : state_(aState)
  , peers_(aPeers)
  , limits_(aLimits)
{
}

void ResponseObserver::OnResponse(const BackendRecord& aBackend,
                                  const BackendResponseHead& aHead,
                                  ResponseAge aAge,
                                  SendPath aPath)
{
  if (aHead.isLeaving) {
    peers_.OnLeavingResponse(aBackend);
  }
  // A late response may name a limit that a later one has changed.
  if (aAge == ResponseAge::Current) {
    limits_.OnResponse(aBackend, aHead.limit);
  }
  if (aHead.coldFor && aAge == ResponseAge::Current &&
      state_.coldBackends.OnStatement(aBackend, *aHead.coldFor, Now().steady)) {
    state_.log.Write(LogClass::StateChange,
                     "backend-cold",
                     { { "backend", aBackend.id },
                       { "service", aBackend.service },
                       { "for", *aHead.coldFor },
                       { "source", "own" } });
  }
  if (state_.rests.OnStatement(
        aBackend, aHead.rest, Now(), state_.DrawFraction())) {
    const bool isReadable = aHead.rest.kind == RestStatement::Kind::Rest;
    state_.metrics.Count("rests_asked", "service", aBackend.service);
    state_.log.Write(LogClass::StateChange,
                     "backend-rest",
                     { { "backend", aBackend.id },
                       { "service", aBackend.service },
                       { "call", NameOf(aPath) },
                       { "readable", isReadable ? 1U : 0U },
                       { "asked", aHead.rest.length } });
  }
}

} // namespace gypsum
