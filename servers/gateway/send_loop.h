#pragma once

#include "core/gateway/event_splitter.h"
#include "core/gateway/replica_choice.h"
#include "core/gateway/retry_policy.h"
#include "drivers/edge/backend_exchange.h"
#include "platform/backend_response_head.h"
#include "servers/gateway/attempt.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/peer_exchange.h"
#include "servers/gateway/piece_service.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/**
 * Sends one attempt to backend servers until it has its final answer.
 *
 * `core/gateway/retry_policy` decides what follows a send; this class carries
 * it out and relays the answer.
 */
class SendLoop
{
public:
  ~SendLoop() { *isAlive_ = false; }
  SendLoop(const SendLoop&) = delete;
  SendLoop& operator=(const SendLoop&) = delete;
  SendLoop(GatewayState& aState,
           PeerExchange& aPeers,
           PieceService& aPieces,
           Attempt& aAttempt);

  boost::asio::awaitable<void> Run();

private:
  /** What one send came to; `end` is empty after a good answer. */
  struct SendResult
  {
    std::optional<SendFailure> end;
    SendOutcome verdict = SendOutcome::Abandoned;
    std::string_view reason;
    bool wasSent = false; ///< Some byte of the request left.
  };

  boost::asio::awaitable<SendResult> SendOnce(const ChosenReplica& aChoice);
  boost::asio::awaitable<SendResult> ReadAnswer(BackendExchange& aExchange,
                                                const ChosenReplica& aChoice);
  boost::asio::awaitable<SendResult> RelayWhole(
    BackendExchange& aExchange,
    const BackendResponseHead& aAnswer);
  boost::asio::awaitable<SendResult> RelayStream(
    BackendExchange& aExchange,
    const BackendResponseHead& aAnswer);
  boost::asio::awaitable<bool> WriteEvents(std::string_view aEvents);
  boost::asio::awaitable<void> GiveUp(NextStep aStep, SendFailure aEnd);
  std::optional<ChosenReplica> Choose() const;
  BackendHeaders HeadersFor(const BackendRecord& aBackend) const;
  Instant AnswerLimit(const ChosenReplica& aChoice) const;
  Instant GapLimit() const;
  bool CanSendMore(Instant aNow);
  void NoteFirstPart();
  /** Gives the results up that the model replica has fetched by then. */
  void FreeInputsWhenFetched(const ChosenReplica& aChoice);
  void Answered(std::string_view aOutcome, unsigned aStatus);

  GatewayState& state_;
  PeerExchange& peers_;
  PieceService& pieces_;
  Attempt& attempt_;
  std::vector<std::string> tried_;
  std::uint32_t sends_ = 0; ///< Sends of which some byte left.
  bool mayHaveRun_ = false;
  bool hasBegun_ = false; ///< Part of the answer has left.
  bool isFirstPartNoted_ = false;
  EventSplitter splitter_;
  Instant sentAt_{};
  Instant lastEventAt_{};
  Duration firstPartAfter_{}; ///< Zero: none came.
  const ChosenReplica* current_ = nullptr;
  std::uint64_t unread_ = 0;
  std::optional<EdgeResponse> failure_; ///< A backend server's own.
  boost::asio::steady_timer fetched_;
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
  bool areInputsFreed_ = false;
};

} // namespace gypsum
