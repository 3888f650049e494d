#include "servers/gateway/send_loop.h"

#include "drivers/clock.h"
#include "platform/piece_calls.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMostBodyBytes = 16'777'216;
/** Answers to other attempts that are skipped on one connection. */
constexpr int kMostSkipped = 2;
/** A send needs this much time to be of use. */
constexpr Duration kLeastSendTime = std::chrono::milliseconds(20);
/** Silence that ends a stream which another replica can go on with. */
constexpr Duration kLeastSilence = std::chrono::milliseconds(700);
constexpr int kSilentGaps = 2;
/** A first part that takes so much longer than expected will not come. */
constexpr int kSilentExpected = 3;
constexpr Duration kSilentExtra = std::chrono::milliseconds(1'000);
/** Retry-After where replicas were full or unreachable: one short queue. */
constexpr Duration kBusyWait = std::chrono::milliseconds(250);
constexpr unsigned kFirstFailure = 400;
constexpr unsigned kFirstServerFailure = 500;
/** Prompt tokens that hold up others by more than a hop between gateways,
 * about 40 ms; peers are told of these at once. */
constexpr std::uint64_t kLongPrompt = 2'000;
/** A model replica with free slots has fetched the results that it reads by
 * then: some MB at 1 Gbit/s or more, and a round trip. */
constexpr Duration kFetchTime = std::chrono::milliseconds(100);
/** Ranks 0 to 9 are open to the system; its own priorities begin here. */
constexpr unsigned kFirstUrgency = 2;
constexpr unsigned kLastUrgency = 9;

std::string Joined(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined.append(joined.empty() ? "" : ",").append(text);
  }
  return joined;
}

} // namespace

SendLoop::SendLoop(GatewayState& aState,
                   PeerExchange& aPeers,
                   PieceService& aPieces,
                   Attempt& aAttempt)
  : state_(aState)
  , peers_(aPeers)
  , pieces_(aPieces)
  , attempt_(aAttempt)
  , fetched_(aState.loop)
{
}

std::optional<ChosenReplica> SendLoop::Choose() const
{
  const BackendServiceSpec& service = *attempt_.service;
  ChoiceCriteria need;
  need.zone = state_.settings.zone;
  need.excluded = tried_;
  if (service.engine) {
    need.prompt = &attempt_.parameters.prompt;
    need.prefixes = &state_.prefixes;
  }
  const auto largest = attempt_.plan.LargestFinalInput();
  BackendPtr maker;
  if (!largest.handle.empty()) {
    maker = state_.registry.FindByAddress(ProducerOf(largest.handle));
  }
  if (maker) {
    need.inputZone = maker->zone;
    need.inputBytes = largest.bytes;
  }
  return ChooseReplica(
    state_.registry.Usable(service.name), need, state_.loads, Now().steady);
}

BackendHeaders SendLoop::HeadersFor(const BackendRecord& aBackend) const
{
  BackendHeaders headers;
  headers.expectedId = aBackend.id;
  headers.timeLeft = attempt_.responseDeadline - Now().steady;
  headers.customer = std::string(attempt_.CustomerName());
  if (attempt_.service->engine) {
    headers.urgency = std::min(kLastUrgency, kFirstUrgency + attempt_.priority);
  }
  headers.inputs = Joined(attempt_.plan.FinalHandles());
  headers.resumeAfter = splitter_.LastId();
  return headers;
}

bool SendLoop::CanSendMore(Instant aNow)
{
  return !attempt_.cancellation.IsCancelled() && !areInputsFreed_ &&
         sends_ < std::max(1U, attempt_.route->maxReplicas) &&
         attempt_.responseDeadline - aNow > kLeastSendTime &&
         Choose().has_value() &&
         (sends_ == 0 || state_.retryBudget.Take(attempt_.service->name, aNow));
}

/** How long the header of an answer may take. */
Instant SendLoop::AnswerLimit(const ChosenReplica& aChoice) const
{
  const Instant now = Now().steady;
  const bool hasSecond = sends_ < attempt_.route->maxReplicas;
  if (!hasSecond || attempt_.route->kind == Repeatability::AtMostOnce) {
    return attempt_.responseDeadline;
  }
  if (IsStream(attempt_.route->kind)) {
    return std::min(attempt_.responseDeadline,
                    now + aChoice.expected * kSilentExpected + kSilentExtra);
  }
  // What is left is shared between this replica and another one.
  return now + (attempt_.responseDeadline - now) / 2;
}

/** How long the next event may take. */
Instant SendLoop::GapLimit() const
{
  const bool canResume = attempt_.route->kind == Repeatability::ResumedStream &&
                         sends_ < attempt_.route->maxReplicas;
  if (!canResume) {
    return attempt_.responseDeadline;
  }
  return std::min(
    attempt_.responseDeadline,
    Now().steady +
      std::max(kLeastSilence, attempt_.route->gapTarget * kSilentGaps));
}

asio::awaitable<void> SendLoop::Run()
{
  for (;;) {
    const auto choice = Choose();
    const Instant now = Now().steady;
    if (!choice || attempt_.responseDeadline - now <= kLeastSendTime) {
      co_await GiveUp(DecideNextStep({ attempt_.route->kind,
                                       SendFailure::NotConnected,
                                       mayHaveRun_,
                                       hasBegun_,
                                       false }),
                      SendFailure::NotConnected);
      co_return;
    }
    current_ = &*choice;
    unread_ = choice->uncachedTokens;
    isFirstPartNoted_ = false;
    sentAt_ = now;
    state_.loads.OnSent(
      choice->backend->id, choice->uncachedTokens, choice->expected, now);
    if (choice->uncachedTokens >= kLongPrompt && attempt_.service->engine) {
      peers_.NotifyPromptSent({ choice->backend->id, choice->uncachedTokens });
    }
    if (attempt_.service->engine) {
      state_.prefixes.OnSent(
        { choice->backend->id, attempt_.parameters.prompt.SharedPrefixes() },
        attempt_.service->engine->kvCapacityTokens,
        now);
    }
    const SendResult result = co_await SendOnce(*choice);
    state_.loads.OnEnded(
      choice->backend->id, unread_, result.verdict, Now().steady);
    current_ = nullptr;
    if (!result.end) {
      co_return;
    }
    tried_.push_back(choice->backend->id);
    sends_ += result.wasSent ? 1 : 0;
    mayHaveRun_ = mayHaveRun_ || *result.end == SendFailure::Lost ||
                  *result.end == SendFailure::Failed;
    splitter_.DropPartial();
    const NextStep step = DecideNextStep({ attempt_.route->kind,
                                           *result.end,
                                           mayHaveRun_,
                                           hasBegun_,
                                           CanSendMore(Now().steady) });
    state_.log.Write(
      LogClass::Failure,
      "send-failed",
      { { "id", attempt_.parameters.id },
        { "backend", choice->backend->id },
        { "end", NameOf(*result.end) },
        { "reason", result.reason },
        { "after", Now().steady - now },
        { "expected", choice->expected },
        { "running", static_cast<std::uint64_t>(choice->running) },
        { "next", NameOf(step) } });
    state_.metrics.Count("sends_failed", "end", NameOf(*result.end));
    if (step != NextStep::Retry && step != NextStep::Resume) {
      co_await GiveUp(step, *result.end);
      co_return;
    }
  }
}

asio::awaitable<SendLoop::SendResult> SendLoop::SendOnce(
  const ChosenReplica& aChoice)
{
  const BackendRecord& backend = *aChoice.backend;
  BackendExchange exchange(state_.pool, backend.address);
  attempt_.cancellation.SetOnCancel([&exchange] { exchange.Cancel(); });
  const Reuse reuse = attempt_.route->kind == Repeatability::Repeatable
                        ? Reuse::Any
                        : Reuse::Recent;
  const ExchangeState connected =
    co_await exchange.Connect(reuse, attempt_.responseDeadline);
  if (attempt_.cancellation.IsCancelled()) {
    attempt_.cancellation.ClearOnCancel();
    co_return SendResult{
      SendFailure::NotConnected, SendOutcome::Abandoned, "client-left", false
    };
  }
  if (connected != ExchangeState::Ok) {
    attempt_.cancellation.ClearOnCancel();
    co_return SendResult{ SendFailure::NotConnected,
                          SendOutcome::Unreachable,
                          "no-connection",
                          false };
  }
  if (!state_.registry.IsUsable(backend)) {
    attempt_.cancellation.ClearOnCancel();
    co_return SendResult{ SendFailure::NotConnected,
                          SendOutcome::Abandoned,
                          "draining-or-gone",
                          false };
  }
  exchange.Send(
    ToBackendRequest(attempt_.client->GetRequest(), HeadersFor(backend)));
  state_.log.Write(LogClass::Normal,
                   "request-sent",
                   { { "id", attempt_.parameters.id },
                     { "backend", backend.id },
                     { "expected", aChoice.expected },
                     { "running", static_cast<std::uint64_t>(aChoice.running) },
                     { "unread", aChoice.uncachedTokens },
                     { "cached", aChoice.cachedTokens },
                     { "left", attempt_.responseDeadline - Now().steady } });
  FreeInputsWhenFetched(aChoice);
  SendResult result = co_await ReadAnswer(exchange, aChoice);
  fetched_.cancel();
  result.wasSent = true;
  attempt_.cancellation.ClearOnCancel();
  if (attempt_.cancellation.IsCancelled() && result.end) {
    result.verdict = SendOutcome::Abandoned;
    result.reason = "client-left";
  }
  co_return result;
}

asio::awaitable<SendLoop::SendResult> SendLoop::ReadAnswer(
  BackendExchange& aExchange,
  const ChosenReplica& aChoice)
{
  for (int skipped = 0;; ++skipped) {
    const ExchangeState headed =
      co_await aExchange.ReadHead(AnswerLimit(aChoice));
    if (headed != ExchangeState::Ok) {
      const bool isUnresponsive = headed == ExchangeState::TimedOut;
      co_return SendResult{ SendFailure::Lost,
                            isUnresponsive ? SendOutcome::Unreachable
                                           : SendOutcome::Failed,
                            isUnresponsive ? "no-answer" : "broken",
                            true };
    }
    const BackendResponseHead answer =
      DecodeBackendResponseHead(aExchange.GetHead());
    const bool isOurs =
      answer.attempt.empty() || answer.attempt == attempt_.parameters.id;
    if (!isOurs && skipped < kMostSkipped) {
      // A late second answer to an earlier request: ours follows.
      const BodyPart other =
        co_await aExchange.ReadRest(attempt_.responseDeadline, kMostBodyBytes);
      if (other.state == ExchangeState::Ok) {
        continue;
      }
    }
    if (!isOurs) {
      co_return SendResult{
        SendFailure::Lost, SendOutcome::Failed, "other-attempt", true
      };
    }
    if (answer.isNotExecuted) {
      const BodyPart rest =
        co_await aExchange.ReadRest(attempt_.responseDeadline, kMostBodyBytes);
      aExchange.Finish(answer.IdleTime(),
                       rest.state == ExchangeState::Ok && !answer.closes);
      co_return SendResult{
        SendFailure::Rejected, SendOutcome::Failed, "not-run", true
      };
    }
    if (answer.isEncoded || !answer.hasSeal) {
      co_return SendResult{ SendFailure::Lost,
                            SendOutcome::Failed,
                            answer.hasSeal ? "encoded" : "no-seal",
                            true };
    }
    if (answer.status < kFirstFailure && answer.isEventStream) {
      co_return co_await RelayStream(aExchange, answer);
    }
    co_return co_await RelayWhole(aExchange, answer);
  }
}

void SendLoop::FreeInputsWhenFetched(const ChosenReplica& aChoice)
{
  // A stream that another replica may go on with needs them once more, and a
  // replica that is half full may not have admitted the request by then.
  if (attempt_.route->kind == Repeatability::ResumedStream ||
      aChoice.running * 2 > aChoice.backend->slots) {
    return;
  }
  fetched_.expires_after(kFetchTime);
  fetched_.async_wait(
    [this, alive = isAlive_](boost::system::error_code aError) {
      if (aError || !*alive) {
        return;
      }
      areInputsFreed_ = true;
      pieces_.Release(attempt_.plan.TakeAll());
    });
}

void SendLoop::NoteFirstPart()
{
  if (isFirstPartNoted_ || !current_) {
    return;
  }
  isFirstPartNoted_ = true;
  const Instant now = Now().steady;
  state_.loads.OnFirstPart(
    current_->backend->id, unread_, current_->expected, now - sentAt_, now);
  unread_ = 0;
}

asio::awaitable<SendLoop::SendResult> SendLoop::RelayWhole(
  BackendExchange& aExchange,
  const BackendResponseHead& aAnswer)
{
  const BodyPart body =
    co_await aExchange.ReadRest(attempt_.responseDeadline, kMostBodyBytes);
  if (body.state != ExchangeState::Ok) {
    co_return SendResult{
      SendFailure::Lost, SendOutcome::Failed, "torn", true
    };
  }
  NoteFirstPart();
  EdgeResponse answer{ aAnswer.status,
                       FieldsForClient(aExchange.GetHead()),
                       body.bytes };
  aExchange.Finish(aAnswer.IdleTime(), !aAnswer.closes);
  if (hasBegun_) {
    co_return SendResult{
      SendFailure::Interrupted, SendOutcome::Failed, "no-stream", true
    };
  }
  if (aAnswer.status >= kFirstServerFailure) {
    failure_ = std::move(answer);
    co_return SendResult{
      SendFailure::Failed, SendOutcome::Failed, "status", true
    };
  }
  attempt_.client->StopWatching();
  co_await attempt_.client->WriteResponse(std::move(answer));
  Answered(aAnswer.status < kFirstFailure ? "complete" : "backend-refused",
           aAnswer.status);
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
  const BackendResponseHead& aAnswer)
{
  const EdgeResponse head{ aAnswer.status,
                           FieldsForClient(aExchange.GetHead()),
                           "" };
  for (;;) {
    const BodyPart part = co_await aExchange.ReadSome(
      isFirstPartNoted_ ? GapLimit() : AnswerLimit(*current_));
    std::string events = splitter_.Add(part.bytes);
    if (part.isEnd && splitter_.HasPartial()) {
      // Whole by its framing: its last bytes need no blank line.
      events.append(splitter_.TakePartial());
    }
    if (!events.empty()) {
      state_.loads.OnDataReceived(current_->backend->id, Now().steady);
      NoteFirstPart();
      if (!hasBegun_) {
        hasBegun_ = true;
        firstPartAfter_ = Now().steady - attempt_.arrivedAt;
        state_.metrics.RecordFirstPart(attempt_.route->name, firstPartAfter_);
        co_await attempt_.client->BeginStream(head);
        if (attempt_.route->kind != Repeatability::ResumedStream) {
          pieces_.Release(attempt_.plan.TakeAll());
        }
      }
      if (!co_await WriteEvents(events)) {
        attempt_.cancellation.Cancel();
        co_return SendResult{
          SendFailure::Interrupted, SendOutcome::Abandoned, "client-left", true
        };
      }
    }
    if (part.state != ExchangeState::Ok) {
      const bool isUnresponsive = part.state == ExchangeState::TimedOut;
      co_return SendResult{
        hasBegun_ ? SendFailure::Interrupted : SendFailure::Lost,
        isUnresponsive ? SendOutcome::Unreachable : SendOutcome::Failed,
        isUnresponsive ? "silent" : "broken-stream",
        true
      };
    }
    if (part.isEnd) {
      break;
    }
  }
  aExchange.Finish(aAnswer.IdleTime(), !aAnswer.closes);
  attempt_.client->StopWatching();
  if (!hasBegun_) {
    co_await attempt_.client->BeginStream(head);
  }
  co_await attempt_.client->EndStream();
  Answered("complete", aAnswer.status);
  co_return SendResult{ std::nullopt, SendOutcome::Served, "", true };
}

asio::awaitable<void> SendLoop::GiveUp(NextStep aStep, SendFailure aEnd)
{
  attempt_.client->StopWatching();
  if (attempt_.cancellation.IsCancelled()) {
    Answered("client-left", 0);
    co_return;
  }
  if (aStep == NextStep::AbortResponse) {
    attempt_.client->Abort();
    Answered("broken-off", 0);
    co_return;
  }
  if (aStep == NextStep::ForwardFailure && failure_) {
    const unsigned status = failure_->status;
    co_await attempt_.client->WriteResponse(std::move(*failure_));
    Answered("backend-failed", status);
    co_return;
  }
  const bool isLate =
    attempt_.responseDeadline - Now().steady <= kLeastSendTime;
  ErrorKind kind = ErrorKind::BackendFailed;
  if (aStep == NextStep::RefuseNotRun) {
    kind = aEnd == SendFailure::Rejected ? ErrorKind::Overloaded
                                         : ErrorKind::NoReplica;
  } else if (isLate) {
    kind = ErrorKind::DeadlineExceeded;
  }
  EdgeResponse answer = FailureResponse(
    kind, aStep == NextStep::RefuseNotRun ? kBusyWait : Duration{});
  const unsigned status = answer.status;
  co_await attempt_.client->WriteResponse(std::move(answer));
  Answered(ErrorResponseOf(kind).name, status);
}

void SendLoop::Answered(std::string_view aOutcome, unsigned aStatus)
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
                     { "events", splitter_.Events() },
                     { "sends", sends_ },
                     { "first", firstPartAfter_ },
                     { "elapsed", elapsed } });
}

} // namespace gypsum
