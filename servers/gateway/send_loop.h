#pragma once

#include "core/gateway/event_splitter.h"
#include "core/gateway/held_requests.h"
#include "core/gateway/replica_choice.h"
#include "core/gateway/retry_policy.h"
#include "core/gateway/send_bar.h"
#include "core/gateway/service_availability.h"
#include "drivers/edge/backend_exchange.h"
#include "platform/backend_response_head.h"
#include "servers/gateway/attempt.h"
#include "servers/gateway/crash_service.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/limit_service.h"
#include "servers/gateway/peer_exchange.h"
#include "servers/gateway/piece_service.h"
#include "servers/gateway/response_observer.h"
#include "servers/gateway/silence_watch.h"
#include "servers/gateway/stream_origin_service.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/**
 * Sends one attempt to backend servers until its response is complete.
 *
 * `core/gateway/retry_policy` decides what follows a failed send; this class
 * carries the decision out and relays the response to the client.
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
           StreamOriginService& aOrigins,
           CrashService& aCrashes,
           LimitService& aLimits,
           ResponseObserver& aObserver,
           Attempt& aAttempt);

  boost::asio::awaitable<void> Run();

private:
  /** Result of one send; `failure` is empty after a usable response. */
  struct SendResult
  {
    std::optional<SendFailure> failure;
    SendOutcome outcome = SendOutcome::Abandoned;
    std::string_view reason;
    bool wasSent = false; ///< Some byte of the request was sent.
  };

  /** How the last response ended, for the log. */
  struct ResponseEnd
  {
    std::string_view framing = "none";
    std::string_view connection = "none";
    std::string_view write = "none"; ///< Of the request.
    std::string writeError;
    std::size_t partialBytes = 0; ///< Of an incomplete event.
  };

  boost::asio::awaitable<SendResult> SendOnce(const ChosenReplica& aChoice,
                                              LimitTicket aTicket);
  boost::asio::awaitable<SendResult> ReadResponse(BackendExchange& aExchange,
                                                  const ChosenReplica& aChoice);
  boost::asio::awaitable<SendResult> RelayResponse(
    BackendExchange& aExchange,
    const BackendResponseHead& aHead);
  boost::asio::awaitable<SendResult> RelayStream(
    BackendExchange& aExchange,
    const BackendResponseHead& aHead);
  /** Writes to the client; false if it has disconnected. */
  boost::asio::awaitable<bool> WriteEvents(std::string_view aEvents);
  /** Ends the attempt without a usable response from a backend server. */
  boost::asio::awaitable<void> FinishWithFailure(NextStep aStep,
                                                 SendFailure aFailure);
  /** Ends the attempt, which no backend server gets any more. */
  boost::asio::awaitable<void> FinishUnsent();
  void LogFailedSend(const ChosenReplica& aChoice,
                     const SendResult& aResult,
                     std::string_view aNext);
  /** Tells what a send showed of its backend server's health. */
  void ReportEnd(const SendResult& aResult);
  /** Ends the attempt because of a part of its prompt. */
  boost::asio::awaitable<void> FinishWithTrait(const TraitDecision& aDecision);
  /** Chooses none of the excluded servers. */
  std::optional<ChosenReplica> Choose(
    std::span<const std::string> aExcluded) const;
  /** Of the servers that may serve the attempt. */
  ServiceAvailability Availability() const;
  /** Servers that are held, with the reason, for the log; the first few. */
  std::string NamesOfHeld() const;
  BackendHeaders HeadersFor(const BackendRecord& aBackend) const;
  /** When to try again while all servers are held; empty if too late. */
  std::optional<Instant> TryHeldAt() const;
  /** Waits until then, or until the client leaves. */
  boost::asio::awaitable<void> AwaitHeld(Instant aUntil);
  /** Until when the attempt waits while others try its suspect traits. */
  Instant TurnDeadline() const;
  /** How long a server may be silent before the header and the first event of
   * a response; empty if until the deadline. */
  std::optional<Duration> ResponseStartPatience(
    const ChosenReplica& aChoice) const;
  /** The same before the next event of a stream. */
  std::optional<Duration> NextEventPatience() const;
  /** The chance of a server that is none of the excluded ones, after so many
   * sends. */
  SendOutlook OutlookAfter(std::uint32_t aSends,
                           std::span<const std::string> aExcluded);
  /** Whether another send is allowed; a retry draws on the retry budget. */
  bool CanSendMore(Instant aNow);
  /** Whether to give up the current replica, which is silent: the attempt can
   * go on at another one now. Logs the reason if not. */
  bool MayLeaveSilent();
  /** Expects a sign of the current replica within this time. */
  void ExpectWithin(std::optional<Duration> aPatience);
  /** Updates the load estimate of the replica, once per send. */
  void ReportFirstPart();
  /** Releases the results of the stages once the replica has fetched them. */
  void ReleaseInputsAfterFetch(const ChosenReplica& aChoice);
  /** From its first event on, a stream goes on only at this version. */
  void StoreOrigin();
  void StoreConnectionEnd(const BackendExchange& aExchange);
  /** The same of a response with a readable header. */
  void StoreResponseEnd(const BackendExchange& aExchange);
  /** Writes the outcome to metrics and log. */
  void RecordOutcome(std::string_view aOutcome, unsigned aStatus);

  GatewayState& state_;
  PeerExchange& peers_;
  PieceService& pieces_;
  StreamOriginService& origins_;
  CrashService& crashes_;
  LimitService& limits_;
  ResponseObserver& observer_;
  Attempt& attempt_;
  HeldRequests::Ticket ticket_;
  /** Counts the attempt as waiting, until its next send. */
  std::optional<HeldRequests::Place> heldPlace_;
  std::optional<Instant> heldSince_; ///< First wait of the attempt.
  std::vector<std::string> triedReplicas_;
  std::vector<std::string> excludedVersions_;
  CrashService::SendNumber sendNumber_ = 0; ///< Of the send that runs.
  std::uint32_t sendCount_ = 0;   ///< Sends in which some byte was sent.
  bool mayHaveRun_ = false;       ///< A replica may have run a request.
  bool hasResponseBegun_ = false; ///< Part of the response was written.
  bool isFirstPartReported_ = false;
  EventSplitter splitter_;
  ResponseEnd responseEnd_;
  Instant chosenAt_{}; ///< When the server of the send that runs was chosen.
  Instant sentAt_{};
  Instant lastEventAt_{};
  std::uint64_t eventsBeforeSend_ = 0; ///< Complete events of earlier sends.
  Duration timeToFirstPart_{};         ///< Zero if none arrived.
  const ChosenReplica* currentReplica_ = nullptr; ///< Null between sends.
  std::optional<SilenceWatch> silence_;           ///< Of the current replica.
  SendBar silenceBar_ = SendBar::None; ///< Last logged of the current replica.
  bool isRetryTaken_ =
    false; ///< The retry budget is charged for the next send.
  std::uint64_t uncachedTokens_ = 0;           ///< Zero after the first part.
  std::optional<EdgeResponse> backendFailure_; ///< From a backend server.
  boost::asio::steady_timer fetchTimer_;
  boost::asio::steady_timer refusalTimer_; ///< From the client's leaving on.
  /** Shared with timer callbacks, which may run after the destructor. */
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
  bool areInputsReleased_ = false; ///< Retries are no longer possible.
};

} // namespace gypsum
