#pragma once

#include "servers/gateway/attempt.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/peer_exchange.h"
#include "servers/gateway/piece_service.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>

namespace gypsum {

/** Answers requests of clients: admission, stages, then the sends. */
class RequestHandler
{
public:
  RequestHandler(GatewayState& aState,
                 PeerExchange& aPeers,
                 PieceService& aPieces);

  /** One connection of a client, until it ends. */
  boost::asio::awaitable<void> Serve(ClientConnectionPtr aClient);

private:
  boost::asio::awaitable<void> Answer(ClientConnectionPtr aClient);
  /** Fills the attempt, or tells why the request is refused. */
  std::optional<ErrorKind> Admit(Attempt& aAttempt);
  /** The wait that makes a refusal worth coming back after, if refused. */
  std::optional<Duration> RefuseHopeless(const Attempt& aAttempt) const;
  /** When the queues of its stages are likely done. */
  Duration RetryAfter(const Attempt& aAttempt) const;
  boost::asio::awaitable<std::optional<ErrorKind>> RunStages(Attempt& aAttempt);
  boost::asio::awaitable<void> Refuse(Attempt& aAttempt,
                                      ErrorKind aKind,
                                      Duration aRetryAfter);
  StageTime TimeOf(const Attempt& aAttempt,
                   std::uint32_t aStage,
                   bool aWithWait) const;
  /** Of a call that pieces of other requests fill, as under load. */
  StageTime UsualTimeOf(const Attempt& aAttempt, std::uint32_t aStage) const;
  /** Where a stage is best made, and the bytes that cross zones elsewhere. */
  struct ZoneNeed
  {
    std::string zone;
    std::uint64_t bytes = 0;
  };
  ZoneNeed ZoneNeedOf(const Attempt& aAttempt, std::uint32_t aStage) const;
  PieceJob JobFor(const Attempt& aAttempt, std::uint32_t aStage) const;

  GatewayState& state_;
  PeerExchange& peers_;
  PieceService& pieces_;
};

} // namespace gypsum
