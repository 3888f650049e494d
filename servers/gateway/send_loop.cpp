#include "servers/gateway/send_loop.h"

#include "core/gateway/stream_end.h"
#include "drivers/clock.h"
#include "platform/piece_calls.h"
#include "servers/gateway/send_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxBodyBytes = 16'777'216;
/** Of a body that is read for the sake of its connection only. */
constexpr std::size_t kMaxSkippedBytes = 65'536;
/** Responses to other attempts that are skipped on one connection. */
constexpr int kMaxSkippedResponses = 2;
/** No request waits for a held server if less time than this would be left. */
constexpr Duration kMinHeldSendTime = std::chrono::milliseconds(150);
/** Minimum time without an event until another replica resumes a stream. */
constexpr Duration kMinEventTimeout = std::chrono::milliseconds(700);
/** The same, as a multiple of the route's target for event gaps. */
constexpr int kEventTimeoutGaps = 2;
/** Timeout of the first part, as a multiple of its expected time plus a fixed
 * time. */
constexpr int kFirstPartTimeoutFactor = 3;
constexpr Duration kFirstPartTimeoutExtra = std::chrono::milliseconds(1'000);
/** Retry-After if replicas were full or unreachable: the time of a short
 * queue. */
constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(250);
constexpr unsigned kFirstErrorStatus = 400;
constexpr unsigned kFirstServerErrorStatus = 500;
/** Peers are notified at once of prompts with this many uncached tokens: they
 * delay other requests by more than a hop between gateways, about 40 ms. */
constexpr std::uint64_t kLongPromptTokens = 2'000;
/** Time in which a model replica with free slots fetches the results that it
 * reads: some MB at 1 Gbit/s or more, and a round trip. */
constexpr Duration kInputFetchTime = std::chrono::milliseconds(100);
/** Range of the urgency ranks of requests. The system may set ranks 0 to 9, of
 * which 0 goes first; a request of priority 0 gets the minimum. */
constexpr unsigned kMinUrgencyRank = 2;
constexpr unsigned kMaxUrgencyRank = 9;

/** Time that a request waits while others try its suspect traits: a few tries,
 * each of a prompt and `CrashEvidence::kCrashSpacing`. */
constexpr Duration kMaxTurnWait = std::chrono::milliseconds(1'500);
/** Shared parts of a prompt that are named in a log line. */
constexpr std::size_t kMaxLoggedParts = 8;
/** Held servers that are named in a log line. */
constexpr std::size_t kMaxLoggedServers = 8;
/** Time in which a server turns a request away: a round trip, and a margin. */
constexpr Duration kRefusalTime = std::chrono::milliseconds(30);

std::string JoinWithCommas(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined.append(joined.empty() ? "" : ",").append(text);
  }
  return joined;
}

std::string NamesOfParts(std::span<const PromptPart> aParts)
{
  std::vector<std::string> names;
  std::ranges::transform(aParts.first(std::min(aParts.size(), kMaxLoggedParts)),
                         std::back_inserter(names),
                         &PromptPart::id);
  return JoinWithCommas(names);
}

SendOutcome BrokenOutcome(const BackendExchange& aExchange)
{
  return aExchange.IsEndless() ? SendOutcome::Endless : SendOutcome::Failed;
}

std::string_view BrokenReason(const BackendExchange& aExchange,
                              std::string_view aOtherwise)
{
  return aExchange.IsEndless()          ? "endless"
         : aExchange.HasInvalidStatus() ? "invalid-status"
                                        : aOtherwise;
}

} // namespace

SendLoop::SendLoop(GatewayState& aState,
                   PeerExchange& aPeers,
                   PieceService& aPieces,
                   StreamOriginService& aOrigins,
                   CrashService& aCrashes,
                   LimitService& aLimits,
                   ResponseObserver& aObserver,
                   Attempt& aAttempt)
  : state_(aState)
  , peers_(aPeers)
  , pieces_(aPieces)
  , origins_(aOrigins)
  , crashes_(aCrashes)
  , limits_(aLimits)
  , observer_(aObserver)
  , attempt_(aAttempt)
  , ticket_(aState.heldRequests.Draw(aAttempt.priority))
  , fetchTimer_(aState.loop)
  , refusalTimer_(aState.loop)
{
}

std::optional<ChosenReplica> SendLoop::Choose(
  std::span<const std::string> aExcluded) const
{
  const WorkMeter::Scope work(state_.work, "choose-replica");
  const BackendServiceSpec& service = *attempt_.service;
  ChoiceCriteria criteria;
  criteria.zone = state_.settings.zone;
  criteria.excluded = aExcluded;
  criteria.version = attempt_.RequiredVersion();
  criteria.excludedVersions = excludedVersions_;
  criteria.permissions = &state_.permissions;
  if (service.engine) {
    criteria.prompt = &attempt_.parameters.prompt;
    criteria.prefixes = &state_.prefixes;
  }
  const auto largestInput = attempt_.plan.LargestFinalInput();
  BackendPtr producer;
  if (!largestInput.handle.empty()) {
    producer = state_.registry.FindByAddress(ProducerOf(largestInput.handle));
  }
  if (producer) {
    criteria.inputZone = producer->zone;
    criteria.inputBytes = largestInput.bytes;
  }
  return ChooseReplica(
    state_.registry.Usable(service.name), criteria, state_.loads, Now().steady);
}

ServiceAvailability SendLoop::Availability() const
{
  return AvailabilityOf(state_.registry.Usable(attempt_.service->name),
                        attempt_.RequiredVersion(),
                        state_.permissions,
                        Now().steady);
}

std::string SendLoop::NamesOfHeld() const
{
  const Instant now = Now().steady;
  std::vector<std::string> names;
  for (const BackendPtr& server :
       state_.registry.Usable(attempt_.service->name)) {
    const SendPermission permission =
      state_.permissions.AskUsable(*server, LimitPlace::Open, now);
    if (!permission.IsGranted() && names.size() < kMaxLoggedServers) {
      names.push_back(server->id + ":" + std::string(NameOf(permission.hold)));
    }
  }
  return JoinWithCommas(names);
}

BackendHeaders SendLoop::HeadersFor(const BackendRecord& aBackend) const
{
  BackendHeaders headers;
  headers.expectedId = aBackend.id;
  headers.timeLeft = attempt_.responseDeadline - Now().steady;
  headers.customer = std::string(attempt_.CustomerName());
  if (attempt_.service->engine) {
    headers.urgency =
      std::min(kMaxUrgencyRank, kMinUrgencyRank + attempt_.priority);
  }
  headers.inputs = JoinWithCommas(attempt_.plan.FinalHandles());
  headers.resumeAfter = splitter_.LastId();
  return headers;
}

SendOutlook SendLoop::OutlookAfter(std::uint32_t aSends,
                                   std::span<const std::string> aExcluded)
{
  const Instant now = Now().steady;
  SendOutlook outlook;
  outlook.hasClientLeft = attempt_.cancellation.IsCancelled();
  outlook.isStopping = !state_.MaySend(now);
  outlook.areInputsReleased = areInputsReleased_;
  outlook.sends = aSends;
  outlook.maxSends = std::max(1U, attempt_.route->maxReplicas);
  outlook.timeLeft = attempt_.responseDeadline - now;
  outlook.hasServer = Choose(aExcluded).has_value() || TryHeldAt().has_value();
  outlook.retriesLeft =
    state_.retryBudget.Remaining(attempt_.service->name, now);
  return outlook;
}

bool SendLoop::CanSendMore(Instant aNow)
{
  SendOutlook outlook = OutlookAfter(sendCount_, triedReplicas_);
  const bool isTaken = std::exchange(isRetryTaken_, false);
  if (isTaken) {
    outlook.retriesLeft = std::max(outlook.retriesLeft, 1.0);
  }
  return FindSendBar(outlook) == SendBar::None &&
         (sendCount_ == 0 || isTaken ||
          state_.retryBudget.Take(attempt_.service->name, aNow));
}

bool SendLoop::MayLeaveSilent()
{
  if (!hasResponseBegun_ &&
      attempt_.route->repeatability == Repeatability::AtMostOnceStream) {
    // It gets a failure in time for its client to make another attempt.
    return true;
  }
  std::vector<std::string> excluded = triedReplicas_;
  excluded.push_back(currentReplica_->backend->id);
  SendOutlook outlook = OutlookAfter(sendCount_ + 1, excluded);
  outlook.hasSuspectTrait =
    crashes_.Decide(attempt_.MakeTraitQuestion()).step == TraitStep::Refuse;
  const SendBar bar = FindSendBar(outlook);
  const NextStep step = DecideNextStep(
    { attempt_.route->repeatability,
      hasResponseBegun_ ? SendFailure::Interrupted : SendFailure::Lost,
      true,
      hasResponseBegun_,
      bar == SendBar::None });
  if (step == NextStep::Retry || step == NextStep::Resume) {
    // Taken at once: other streams at the server decide in the same moment.
    isRetryTaken_ =
      state_.retryBudget.Take(attempt_.service->name, Now().steady);
    return isRetryTaken_;
  }
  if (bar != std::exchange(silenceBar_, bar)) {
    state_.log.Write(LogClass::Failure,
                     "server-silent",
                     { { "id", attempt_.parameters.id },
                       { "backend", currentReplica_->backend->id },
                       { "kept-for", NameOf(bar) },
                       { "events", splitter_.Events() - eventsBeforeSend_ },
                       { "left", attempt_.responseDeadline - Now().steady } });
  }
  return false;
}

void SendLoop::ExpectWithin(std::optional<Duration> aPatience)
{
  if (aPatience) {
    silence_->Expect(*aPatience);
  } else {
    silence_->Stop();
  }
}

std::optional<Duration> SendLoop::ResponseStartPatience(
  const ChosenReplica& aChoice) const
{
  if (IsStream(attempt_.route->repeatability)) {
    return aChoice.expected * kFirstPartTimeoutFactor + kFirstPartTimeoutExtra;
  }
  if (attempt_.route->repeatability == Repeatability::AtMostOnce) {
    return std::nullopt;
  }
  // Half of the remaining time is kept for a retry at another replica.
  return (attempt_.responseDeadline - Now().steady) / 2;
}

std::optional<Duration> SendLoop::NextEventPatience() const
{
  if (attempt_.route->repeatability != Repeatability::ResumableStream) {
    return std::nullopt;
  }
  return std::max(kMinEventTimeout,
                  attempt_.route->gapTarget * kEventTimeoutGaps);
}

std::optional<Instant> SendLoop::TryHeldAt() const
{
  if (attempt_.cancellation.IsCancelled()) {
    return std::nullopt;
  }
  const Instant since = heldSince_.value_or(Now().steady);
  const Instant end =
    hasResponseBegun_ ? attempt_.responseDeadline : attempt_.firstPartDeadline;
  return state_.heldRequests.TryAt(
    attempt_.service->name,
    Availability(),
    ticket_,
    std::min(since + HeldRequests::kMaxWait, end - kMinHeldSendTime));
}

asio::awaitable<void> SendLoop::AwaitHeld(Instant aUntil)
{
  if (!heldPlace_) {
    const Instant now = Now().steady;
    heldSince_ = heldSince_.value_or(now);
    heldPlace_.emplace(state_.heldRequests, attempt_.service->name, ticket_);
    state_.log.Write(LogClass::Normal,
                     "request-held",
                     { { "id", attempt_.parameters.id },
                       { "service", attempt_.service->name },
                       { "for", aUntil - now },
                       { "passed-over", NamesOfHeld() } });
  }
  auto timer = std::make_shared<asio::steady_timer>(state_.loop, aUntil);
  attempt_.cancellation.SetOnCancel([timer] { timer->cancel(); });
  boost::system::error_code ignored;
  co_await timer->async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  attempt_.cancellation.ClearOnCancel();
}

Instant SendLoop::TurnDeadline() const
{
  // The other half is for the send, or for the client to come back.
  const Instant now = Now().steady;
  return now + std::min(kMaxTurnWait, (attempt_.responseDeadline - now) / 2);
}

asio::awaitable<void> SendLoop::Run()
{
  for (;;) {
    // A named object, because GCC 12 destroys aggregate arguments of an awaited
    // call twice.
    TraitQuestion question = attempt_.MakeTraitQuestion();
    TraitDecision decision =
      co_await crashes_.AwaitTurn(std::move(question), TurnDeadline());
    if (decision.step == TraitStep::Wait ||
        decision.step == TraitStep::Refuse) {
      co_await FinishWithTrait(decision);
      co_return;
    }
    if (attempt_.cancellation.IsCancelled() || !state_.MaySend(Now().steady)) {
      co_await FinishUnsent();
      co_return;
    }
    excludedVersions_ = std::move(decision.excludedVersions);
    chosenAt_ = Now().steady;
    const auto choice = Choose(triedReplicas_);
    LimitTicket ticket{ LimitPlace::NotNeeded, chosenAt_ };
    if (choice && state_.allowances.Find(*choice->backend, chosenAt_)) {
      ticket = co_await limits_.Acquire(choice->backend, attempt_.priority);
      // Another request may have begun to try its traits meanwhile.
      const bool isNext =
        crashes_.Decide(attempt_.MakeTraitQuestion()).step == decision.step;
      if (ticket.place == LimitPlace::Refused || !isNext) {
        continue;
      }
    }
    if (const auto tryAt = choice ? std::nullopt : TryHeldAt()) {
      co_await AwaitHeld(*tryAt);
      continue;
    }
    heldPlace_.reset();
    const Instant now = Now().steady;
    if (!choice || attempt_.responseDeadline - now <= kMinSendTime) {
      co_await FinishUnsent();
      co_return;
    }
    currentReplica_ = &*choice;
    uncachedTokens_ = choice->uncachedTokens;
    isFirstPartReported_ = false;
    eventsBeforeSend_ = splitter_.Events();
    sentAt_ = now;
    responseEnd_ = {};
    state_.loads.OnSent(
      choice->backend->id, choice->uncachedTokens, choice->expected, now);
    if (choice->uncachedTokens >= kLongPromptTokens &&
        attempt_.service->engine) {
      peers_.NotifyPromptSent({ choice->backend->id, choice->uncachedTokens });
    }
    if (attempt_.service->engine) {
      state_.prefixes.OnSent(
        { choice->backend->id, attempt_.parameters.prompt.SharedPrefixes() },
        attempt_.service->engine->kvCapacityTokens,
        now);
    }
    sendNumber_ = crashes_.OnSent(
      choice->backend, attempt_.traits, std::move(decision.suspects));
    const SendResult result = co_await SendOnce(*choice, ticket);
    ReportEnd(result);
    state_.loads.OnEnded(
      choice->backend->id, uncachedTokens_, result.outcome, Now().steady);
    currentReplica_ = nullptr;
    if (!result.failure) {
      co_return;
    }
    if (*result.failure == SendFailure::HeldBack) {
      // It may go to another server, or to this one later.
      LogFailedSend(*choice, result, "choose-again");
      continue;
    }
    triedReplicas_.push_back(choice->backend->id);
    sendCount_ += result.wasSent ? 1 : 0;
    mayHaveRun_ = mayHaveRun_ || *result.failure == SendFailure::Lost ||
                  *result.failure == SendFailure::Failed;
    splitter_.DropPartial();
    const NextStep step = DecideNextStep({ attempt_.route->repeatability,
                                           *result.failure,
                                           mayHaveRun_,
                                           hasResponseBegun_,
                                           CanSendMore(Now().steady) });
    LogFailedSend(*choice, result, NameOf(step));
    if (step != NextStep::Retry && step != NextStep::Resume) {
      co_await FinishWithFailure(step, *result.failure);
      co_return;
    }
    // A retry may crash another server.
    co_await crashes_.Detector().AwaitProbe(choice->backend);
  }
}

asio::awaitable<void> SendLoop::FinishUnsent()
{
  co_await FinishWithFailure(DecideNextStep({ attempt_.route->repeatability,
                                              SendFailure::NotConnected,
                                              mayHaveRun_,
                                              hasResponseBegun_,
                                              false }),
                             SendFailure::NotConnected);
}

void SendLoop::LogFailedSend(const ChosenReplica& aChoice,
                             const SendResult& aResult,
                             std::string_view aNext)
{
  state_.log.Write(LogClass::Failure,
                   "send-failed",
                   { { "id", attempt_.parameters.id },
                     { "backend", aChoice.backend->id },
                     { "end", NameOf(*aResult.failure) },
                     { "reason", aResult.reason },
                     { "after", Now().steady - sentAt_ },
                     { "expected", aChoice.expected },
                     { "running", static_cast<std::uint64_t>(aChoice.running) },
                     { "events", splitter_.Events() - eventsBeforeSend_ },
                     { "framing", responseEnd_.framing },
                     { "connection", responseEnd_.connection },
                     { "write", responseEnd_.write },
                     { "write-error", responseEnd_.writeError },
                     { "partial", responseEnd_.partialBytes },
                     { "next", aNext } });
  state_.metrics.Count("sends_failed", "end", NameOf(*aResult.failure));
}

void SendLoop::ReportEnd(const SendResult& aResult)
{
  CrashDetector& detector = crashes_.Detector();
  // A server that answers with a failure is there to answer.
  if (!aResult.failure || *aResult.failure == SendFailure::Failed) {
    detector.OnEvents(sendNumber_, true);
    return;
  }
  const bool isOpen = *aResult.failure == SendFailure::Lost ||
                      *aResult.failure == SendFailure::Interrupted;
  if (*aResult.failure == SendFailure::Rejected) {
    detector.OnRejected(sendNumber_);
  } else if (!isOpen) {
    detector.OnEnded(sendNumber_);
  } else if (aResult.outcome == SendOutcome::Abandoned) {
    detector.OnClientLeft(sendNumber_);
  } else if (aResult.outcome == SendOutcome::Unreachable) {
    detector.OnTimedOut(sendNumber_);
  } else {
    detector.OnBroken(sendNumber_);
  }
}

asio::awaitable<SendLoop::SendResult> SendLoop::SendOnce(
  const ChosenReplica& aChoice,
  LimitTicket aTicket)
{
  const BackendRecord& backend = *aChoice.backend;
  BackendExchange exchange(state_.pool, backend.address);
  attempt_.cancellation.SetOnCancel([&exchange] { exchange.Cancel(); });
  const Reuse reuse = attempt_.route->repeatability == Repeatability::Repeatable
                        ? Reuse::Any
                        : Reuse::Recent;
  const ExchangeState connectState =
    co_await exchange.Connect(reuse, attempt_.responseDeadline);
  if (attempt_.client->HasLeft()) {
    attempt_.cancellation.Cancel(CancelReason::ClientLeft);
  }
  const bool isCancelled = attempt_.cancellation.IsCancelled();
  if (isCancelled || attempt_.responseDeadline - Now().steady <= kMinSendTime) {
    attempt_.cancellation.ClearOnCancel();
    co_return SendResult{ SendFailure::NotConnected,
                          SendOutcome::Abandoned,
                          isCancelled ? "client-left" : "too-late",
                          false };
  }
  if (connectState != ExchangeState::Ok) {
    attempt_.cancellation.ClearOnCancel();
    co_return SendResult{ SendFailure::NotConnected,
                          SendOutcome::Unreachable,
                          "no-connection",
                          false };
  }
  const SendPermission permission = SendIfGranted(
    state_,
    exchange,
    backend,
    SendPath::Request,
    aTicket,
    ToBackendRequest(attempt_.client->GetRequest(), HeadersFor(backend)));
  if (!permission.IsGranted()) {
    attempt_.cancellation.ClearOnCancel();
    co_return SendResult{ SendFailure::HeldBack,
                          SendOutcome::Abandoned,
                          NameOf(permission.hold),
                          false };
  }
  crashes_.Detector().OnConnected(sendNumber_, exchange.OpenedAt());
  state_.log.Write(
    LogClass::Normal,
    "request-sent",
    { { "id", attempt_.parameters.id },
      { "backend", backend.id },
      { "software", backend.version },
      { "request", attempt_.requestName },
      { "parts", NamesOfParts(attempt_.parameters.prompt.SharedParts()) },
      { "resumes", attempt_.parameters.resumedAttempt },
      { "after", splitter_.LastId().value_or(attempt_.parameters.lastEvent) },
      { "expected", aChoice.expected },
      { "running", static_cast<std::uint64_t>(aChoice.running) },
      { "waited", Now().steady - attempt_.arrivedAt },
      { "chosen", Now().steady - chosenAt_ },
      { "passed-over", NamesOfHeld() },
      { "unread", aChoice.uncachedTokens },
      { "cached", aChoice.cachedTokens },
      { "left", attempt_.responseDeadline - Now().steady } });
  attempt_.isAtServer = true;
  ReleaseInputsAfterFetch(aChoice);
  // A server that turns a request away does so at once, and may say what binds
  // later sends, although the client has left.
  auto isSending = std::make_shared<bool>(true);
  attempt_.cancellation.SetOnCancel([this, &exchange, isSending] {
    refusalTimer_.expires_after(kRefusalTime);
    refusalTimer_.async_wait([&exchange, isSending](boost::system::error_code) {
      if (*isSending) {
        exchange.Cancel();
      }
    });
  });
  silence_.emplace(state_.loop, exchange, [this] { return MayLeaveSilent(); });
  silenceBar_ = SendBar::None;
  SendResult result = co_await ReadResponse(exchange, aChoice);
  silence_.reset();
  *isSending = false;
  refusalTimer_.cancel();
  fetchTimer_.cancel();
  result.wasSent = true;
  attempt_.isAtServer = false;
  attempt_.cancellation.ClearOnCancel();
  if (attempt_.cancellation.IsCancelled() && result.failure) {
    result.outcome = SendOutcome::Abandoned;
    result.reason =
      attempt_.cancellation.IsStopping() ? "stopping" : "client-left";
  }
  co_return result;
}

asio::awaitable<SendLoop::SendResult> SendLoop::ReadResponse(
  BackendExchange& aExchange,
  const ChosenReplica& aChoice)
{
  for (int skipped = 0;; ++skipped) {
    ExpectWithin(ResponseStartPatience(aChoice));
    const ExchangeState readState =
      co_await aExchange.ReadHead(attempt_.responseDeadline);
    silence_->Stop();
    if (readState != ExchangeState::Ok) {
      StoreConnectionEnd(aExchange);
      const bool isUnresponsive =
        readState == ExchangeState::TimedOut || silence_->HasGivenUp();
      co_return SendResult{
        SendFailure::Lost,
        isUnresponsive ? SendOutcome::Unreachable : BrokenOutcome(aExchange),
        isUnresponsive ? "no-answer" : BrokenReason(aExchange, "broken"),
        true
      };
    }
    const BackendResponseHead head =
      DecodeBackendResponseHead(aExchange.GetHead());
    const bool isForThisAttempt =
      head.attempt.empty() || head.attempt == attempt_.parameters.id;
    observer_.OnResponse(*aChoice.backend,
                         head,
                         isForThisAttempt ? ResponseAge::Current
                                          : ResponseAge::Late,
                         SendPath::Request);
    if (attempt_.cancellation.IsCancelled()) {
      co_return SendResult{
        SendFailure::Lost, SendOutcome::Abandoned, "client-left", true
      };
    }
    attempt_.cancellation.SetOnCancel([&aExchange] { aExchange.Cancel(); });
    if (!isForThisAttempt && skipped < kMaxSkippedResponses) {
      // A late second response to an earlier request; the one to this attempt
      // follows.
      const BodyPart skippedBody = co_await aExchange.ReadRest(
        attempt_.responseDeadline, kMaxSkippedBytes);
      if (skippedBody.state == ExchangeState::Ok) {
        continue;
      }
    }
    if (!isForThisAttempt) {
      co_return SendResult{
        SendFailure::Lost, SendOutcome::Failed, "other-attempt", true
      };
    }
    if (head.isNotExecuted) {
      const bool namesAttempt = !head.attempt.empty();
      if (!namesAttempt && aExchange.HasRefusedBefore()) {
        co_return SendResult{
          SendFailure::Lost, SendOutcome::Failed, "unnamed-refusal", true
        };
      }
      aExchange.OnRefused();
      const BodyPart rest = co_await aExchange.ReadRest(
        attempt_.responseDeadline, kMaxSkippedBytes);
      // Written again, it could not be told from the refusal of a later
      // request.
      const bool mayReuse = namesAttempt && !head.closes;
      aExchange.Finish(head.IdleTime(),
                       rest.state == ExchangeState::Ok && mayReuse);
      co_return SendResult{
        SendFailure::Rejected, SendOutcome::Failed, "not-run", true
      };
    }
    if (head.isEncoded || !head.hasSeal) {
      co_return SendResult{ SendFailure::Lost,
                            SendOutcome::Failed,
                            head.hasSeal ? "encoded" : "no-seal",
                            true };
    }
    if (head.status < kFirstErrorStatus && head.isEventStream) {
      co_return co_await RelayStream(aExchange, head);
    }
    co_return co_await RelayResponse(aExchange, head);
  }
}

void SendLoop::ReleaseInputsAfterFetch(const ChosenReplica& aChoice)
{
  // Another replica that resumes a stream reads the results again, and a
  // replica with more than half of its slots in use may not have started the
  // request by the end of the fetch time.
  if (attempt_.route->repeatability == Repeatability::ResumableStream ||
      aChoice.running * 2 > aChoice.backend->slots) {
    return;
  }
  fetchTimer_.expires_after(kInputFetchTime);
  fetchTimer_.async_wait(
    [this, alive = isAlive_](boost::system::error_code aError) {
      if (aError || !*alive) {
        return;
      }
      areInputsReleased_ = true;
      pieces_.Release(attempt_.plan.TakeAll());
    });
}

void SendLoop::ReportFirstPart()
{
  if (isFirstPartReported_ || !currentReplica_) {
    return;
  }
  isFirstPartReported_ = true;
  const Instant now = Now().steady;
  state_.loads.OnFirstPart(currentReplica_->backend->id,
                           uncachedTokens_,
                           currentReplica_->expected,
                           now - sentAt_,
                           now);
  uncachedTokens_ = 0;
}

asio::awaitable<SendLoop::SendResult> SendLoop::RelayResponse(
  BackendExchange& aExchange,
  const BackendResponseHead& aHead)
{
  BodyPart body =
    co_await aExchange.ReadRest(attempt_.responseDeadline, kMaxBodyBytes);
  StoreResponseEnd(aExchange);
  if (body.state != ExchangeState::Ok) {
    co_return SendResult{ SendFailure::Lost,
                          BrokenOutcome(aExchange),
                          BrokenReason(aExchange, "torn"),
                          true };
  }
  ReportFirstPart();
  EdgeResponse response{ aHead.status,
                         FieldsForClient(aExchange.GetHead()),
                         std::move(body.bytes) };
  aExchange.Finish(aHead.IdleTime(), !aHead.closes);
  if (hasResponseBegun_) {
    co_return SendResult{
      SendFailure::Interrupted, SendOutcome::Failed, "no-stream", true
    };
  }
  if (aHead.status >= kFirstServerErrorStatus) {
    backendFailure_ = std::move(response);
    co_return SendResult{
      SendFailure::Failed, SendOutcome::Failed, "status", true
    };
  }
  attempt_.client->StopWatching();
  co_await attempt_.client->WriteResponse(std::move(response));
  RecordOutcome(aHead.status < kFirstErrorStatus ? "complete"
                                                 : "backend-refused",
                aHead.status);
  co_return SendResult{ std::nullopt, SendOutcome::Served, "", true };
}

asio::awaitable<bool> SendLoop::WriteEvents(std::string_view aEvents)
{
  const Instant begin = Now().steady;
  if (lastEventAt_ != Instant{}) {
    state_.metrics.RecordEventGap(attempt_.route->name, begin - lastEventAt_);
  }
  lastEventAt_ = begin;
  const bool isWritten = co_await attempt_.client->WritePart(aEvents);
  state_.metrics.RecordAddedLatency(attempt_.route->name, Now().steady - begin);
  co_return isWritten;
}

asio::awaitable<SendLoop::SendResult> SendLoop::RelayStream(
  BackendExchange& aExchange,
  const BackendResponseHead& aHead)
{
  const EdgeResponse clientHead{ aHead.status,
                                 FieldsForClient(aExchange.GetHead()),
                                 "" };
  ExpectWithin(ResponseStartPatience(*currentReplica_));
  for (;;) {
    const BodyPart part =
      co_await aExchange.ReadSome(attempt_.responseDeadline);
    const std::uint64_t eventsBefore = splitter_.Events();
    std::string events = splitter_.Add(part.bytes);
    // Bytes without an event are no sign of the server.
    const bool hasNewEvent = splitter_.Events() > eventsBefore;
    if (hasNewEvent) {
      silence_->Stop();
    }
    StoreResponseEnd(aExchange);
    const bool isBrokenOff =
      part.isEnd &&
      !IsComplete({ aExchange.Framing() != BodyFraming::ConnectionEnd,
                    splitter_.IsInsideEvent(),
                    splitter_.Events() - eventsBeforeSend_ });
    if (part.isEnd && !isBrokenOff) {
      events.append(splitter_.TakePartial());
    }
    if (!events.empty()) {
      state_.loads.OnDataReceived(currentReplica_->backend->id, Now().steady);
      crashes_.Detector().OnEvents(sendNumber_, false);
      ReportFirstPart();
      if (!hasResponseBegun_) {
        hasResponseBegun_ = true;
        StoreOrigin();
        timeToFirstPart_ = Now().steady - attempt_.arrivedAt;
        state_.metrics.RecordFirstPart(attempt_.route->name, timeToFirstPart_);
        co_await attempt_.client->BeginStream(clientHead);
        if (attempt_.route->repeatability != Repeatability::ResumableStream) {
          pieces_.Release(attempt_.plan.TakeAll());
        }
      }
      if (!co_await WriteEvents(events)) {
        attempt_.cancellation.Cancel(CancelReason::ClientLeft);
        co_return SendResult{
          SendFailure::Interrupted, SendOutcome::Abandoned, "client-left", true
        };
      }
    }
    if (hasNewEvent) {
      ExpectWithin(NextEventPatience());
    }
    if (splitter_.IsEndless()) {
      aExchange.Cancel();
      co_return SendResult{ hasResponseBegun_ ? SendFailure::Interrupted
                                              : SendFailure::Lost,
                            SendOutcome::Endless,
                            "endless-event",
                            true };
    }
    if (part.state != ExchangeState::Ok || isBrokenOff) {
      const bool isUnresponsive =
        part.state == ExchangeState::TimedOut || silence_->HasGivenUp();
      co_return SendResult{
        hasResponseBegun_ ? SendFailure::Interrupted : SendFailure::Lost,
        isUnresponsive ? SendOutcome::Unreachable : BrokenOutcome(aExchange),
        isUnresponsive ? "silent" : BrokenReason(aExchange, "broken-stream"),
        true
      };
    }
    if (part.isEnd) {
      break;
    }
  }
  aExchange.Finish(aHead.IdleTime(), !aHead.closes);
  attempt_.client->StopWatching();
  if (!hasResponseBegun_) {
    co_await attempt_.client->BeginStream(clientHead);
  }
  co_await attempt_.client->EndStream();
  RecordOutcome("complete", aHead.status);
  co_return SendResult{ std::nullopt, SendOutcome::Served, "", true };
}

asio::awaitable<void> SendLoop::FinishWithFailure(NextStep aStep,
                                                  SendFailure aFailure)
{
  attempt_.client->StopWatching();
  if (attempt_.cancellation.HasClientLeft()) {
    RecordOutcome("client-left", 0);
    co_return;
  }
  if (aStep == NextStep::AbortResponse) {
    attempt_.client->Abort();
    RecordOutcome("broken-off", 0);
    co_return;
  }
  if (aStep == NextStep::ForwardFailure && backendFailure_) {
    const unsigned status = backendFailure_->status;
    co_await attempt_.client->WriteResponse(std::move(*backendFailure_));
    RecordOutcome("backend-failed", status);
    co_return;
  }
  const bool isLate = attempt_.responseDeadline - Now().steady <= kMinSendTime;
  ErrorKind kind = ErrorKind::BackendFailed;
  Duration retryAfter{};
  if (aStep == NextStep::RefuseNotRun) {
    const ServiceAvailability availability = Availability();
    const Instant now = Now().steady;
    if (!state_.MaySend(now)) {
      kind = ErrorKind::Stopping;
      retryAfter = StopSchedule::kRetryAfter;
    } else if (state_.registry.IsEvacuated(attempt_.service->name)) {
      kind = ErrorKind::ZonesEvacuated;
      retryAfter = RetryAfterEvacuation(state_.DrawFraction());
    } else if (availability.IsHeld()) {
      kind = ErrorKindOf(availability.hold);
      retryAfter = RetryAfterHold(
        availability, attempt_.priority, state_.DrawFraction(), now);
    } else {
      kind = aFailure == SendFailure::Rejected ? ErrorKind::Overloaded
                                               : ErrorKind::NoReplica;
      retryAfter = kBusyRetryAfter;
    }
  } else if (isLate) {
    kind = ErrorKind::DeadlineExceeded;
  }
  EdgeResponse response = FailureResponse(kind, retryAfter);
  const unsigned status = response.status;
  co_await attempt_.client->WriteResponse(std::move(response));
  RecordOutcome(ErrorResponseOf(kind).name, status);
}

asio::awaitable<void> SendLoop::FinishWithTrait(const TraitDecision& aDecision)
{
  attempt_.client->StopWatching();
  attempt_.refusedTrait = aDecision.trait;
  if (attempt_.cancellation.HasClientLeft()) {
    RecordOutcome("client-left", 0);
    co_return;
  }
  if (hasResponseBegun_) {
    attempt_.client->Abort();
    RecordOutcome("broken-off", 0);
    co_return;
  }
  const ErrorKind refusal = aDecision.step == TraitStep::Refuse
                              ? ErrorKind::CrashingRequest
                              : ErrorKind::SuspectRequest;
  const Duration retryAfter = aDecision.step == TraitStep::Refuse
                                ? RetryAfterOf(aDecision, Now().steady)
                                : Duration{};
  const ErrorKind kind = mayHaveRun_ ? ErrorKind::BackendFailed : refusal;
  EdgeResponse response =
    FailureResponse(kind, mayHaveRun_ ? Duration{} : retryAfter);
  const unsigned status = response.status;
  co_await attempt_.client->WriteResponse(std::move(response));
  RecordOutcome(ErrorResponseOf(kind).name, status);
}

void SendLoop::StoreOrigin()
{
  if (attempt_.route->repeatability != Repeatability::ResumableStream ||
      attempt_.RequiredVersion()) {
    return;
  }
  const BackendRecord& backend = *currentReplica_->backend;
  attempt_.resumeTarget = { OriginSource::Record,
                            backend.service,
                            backend.version };
  origins_.OnStreamBegun(
    { { attempt_.parameters.id, backend.service, backend.version },
      attempt_.resumableUntil - Now().steady });
}

void SendLoop::StoreConnectionEnd(const BackendExchange& aExchange)
{
  responseEnd_.connection = NameOf(aExchange.GetConnectionEnd());
  responseEnd_.write = NameOf(aExchange.GetWrite());
  responseEnd_.writeError = aExchange.WriteError();
}

void SendLoop::StoreResponseEnd(const BackendExchange& aExchange)
{
  StoreConnectionEnd(aExchange);
  responseEnd_.framing = NameOf(aExchange.Framing());
  responseEnd_.partialBytes = splitter_.PartialBytes();
}

void SendLoop::RecordOutcome(std::string_view aOutcome, unsigned aStatus)
{
  const Duration elapsed = Now().steady - attempt_.arrivedAt;
  state_.metrics.RecordResponse(
    attempt_.route->name, attempt_.CustomerName(), aOutcome, elapsed);
  state_.log.Write(aOutcome == "complete" ? LogClass::Normal
                                          : LogClass::Failure,
                   "request-answered",
                   { { "id", attempt_.parameters.id },
                     { "outcome", aOutcome },
                     { "status", aStatus },
                     { "service", attempt_.service->name },
                     { "trait", attempt_.refusedTrait },
                     { "events", splitter_.Events() },
                     { "framing", responseEnd_.framing },
                     { "connection", responseEnd_.connection },
                     { "write", responseEnd_.write },
                     { "write-error", responseEnd_.writeError },
                     { "partial", responseEnd_.partialBytes },
                     { "sends", sendCount_ },
                     { "first", timeToFirstPart_ },
                     { "elapsed", elapsed } });
}

} // namespace gypsum
