#include "servers/gateway/request_handler.h"

#include "core/gateway/piece_limit.h"
#include "core/gateway/request_identity.h"
#include "core/gateway/send_bar.h"
#include "core/gateway/service_availability.h"
#include "core/hash.h"
#include "drivers/clock.h"
#include "platform/piece_calls.h"
#include "servers/gateway/send_loop.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** The response ends this long before the client times out. */
constexpr Duration kClientMargin = std::chrono::milliseconds(20);
/** Clients cancel a stream without a first event after the maximum of this
 * time, four times the target of the route and eight times its gap target. */
constexpr Duration kMinStreamTimeout = std::chrono::seconds(2);
/** A stage with more result bytes than this starts as late as possible. */
constexpr std::uint64_t kLargeResultBytes = 1'000'000;
/** Such a stage starts this long before its latest possible start. */
constexpr Duration kStartMargin = std::chrono::milliseconds(120);
/** Typical time from the end of the last stage to the first event. */
constexpr Duration kTypicalFirstEventTime = std::chrono::milliseconds(120);
/** Time for the hops from the last stage to the model replica and from there
 * to the client. */
constexpr Duration kFinalHopsTime = std::chrono::milliseconds(60);
/** Typical wait of a stage even if its queue is short. */
constexpr Duration kTypicalStageWait = std::chrono::milliseconds(60);
/** Added to the time that a client waits, for messages under way. */
constexpr Duration kResumeMargin = std::chrono::seconds(2);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
/** Limits that apply until the first configuration has been read. */
const ClientLimits kInitialLimits;

ErrorKind ErrorKindOf(RequestReadResult aResult)
{
  switch (aResult) {
    case RequestReadResult::HeaderTooLarge:
      return ErrorKind::HeaderTooLarge;
    case RequestReadResult::BodyTooLarge:
      return ErrorKind::BodyTooLarge;
    case RequestReadResult::TimedOut:
      return ErrorKind::RequestTimeout;
    case RequestReadResult::Stopped:
      return ErrorKind::Stopping;
    default:
      return ErrorKind::BadRequest;
  }
}

/** The request itself and the shared parts of its prompt, each once. */
std::shared_ptr<const RequestTraits> TraitsOf(const std::string& aRequestName,
                                              const PromptSpec& aPrompt)
{
  RequestTraits traits;
  std::unordered_set<std::string_view> ids;
  for (const PromptPart& part : aPrompt.SharedParts()) {
    if (ids.insert(part.id).second) {
      traits.push_back(
        { NameOfPart(part.id), static_cast<std::uint32_t>(traits.size()) });
    }
  }
  traits.push_back({ aRequestName, kWholeRequest });
  return std::make_shared<const RequestTraits>(std::move(traits));
}

} // namespace

RequestHandler::RequestHandler(GatewayState& aState,
                               PeerExchange& aPeers,
                               PieceService& aPieces,
                               StreamOriginService& aOrigins,
                               CrashService& aCrashes,
                               LimitService& aLimits,
                               ResponseObserver& aObserver)
  : state_(aState)
  , peers_(aPeers)
  , pieces_(aPieces)
  , origins_(aOrigins)
  , crashes_(aCrashes)
  , limits_(aLimits)
  , observer_(aObserver)
{
}

asio::awaitable<void> RequestHandler::Serve(ClientConnectionPtr aClient)
{
  // A connection that waited to be accepted may have brought its first request
  // meanwhile.
  Duration acceptLag = state_.loopLag.At(Now().steady);
  Instant seenEmptyAt = Now().steady - acceptLag;
  for (;;) {
    const ClientLimits limits =
      state_.routes ? state_.routes->Configuration().limits : kInitialLimits;
    const RequestReadResult result = co_await aClient->ReadRequest(limits);
    if (result == RequestReadResult::Closed) {
      co_return;
    }
    if (state_.IsStopping()) {
      aClient->CloseAfterResponse();
    }
    if (result != RequestReadResult::Complete) {
      state_.metrics.Count("requests_unreadable",
                           "kind",
                           ErrorResponseOf(ErrorKindOf(result)).name);
      co_await aClient->WriteResponse(FailureResponse(ErrorKindOf(result), {}));
      co_return;
    }
    std::exception_ptr error;
    try {
      const Instant now = Now().steady;
      const Duration lag = state_.loopLag.At(now) + acceptLag;
      co_await HandleRequest(aClient, ArrivalOf(now, lag, seenEmptyAt));
    } catch (...) {
      error = std::current_exception();
    }
    aClient->StopWatching();
    if (error) {
      co_await FailByException(aClient, error);
      co_return;
    }
    acceptLag = {};
    seenEmptyAt = Now().steady;
    if (!aClient->KeepsAlive() || aClient->HasDisconnected()) {
      co_return;
    }
  }
}

asio::awaitable<void> RequestHandler::FailByException(
  ClientConnectionPtr aClient,
  std::exception_ptr aError)
{
  state_.tasks.Report("request", aError);
  if (aClient->HasBegunResponse()) {
    aClient->Abort();
    co_return;
  }
  // Nothing is known of what was sent.
  co_await aClient->WriteResponse(FailureResponse(ErrorKind::Internal, {}));
}

asio::awaitable<void> RequestHandler::HandleRequest(ClientConnectionPtr aClient,
                                                    Instant aArrivedAt)
{
  Attempt attempt;
  attempt.client = aClient;
  attempt.arrivedAt = aArrivedAt;
  attempt.unreadTime = Now().steady - aArrivedAt;
  attempt.parameters = DecodeClientAttempt(aClient->GetRequest());
  if (const auto kind = Admit(attempt)) {
    co_await Refuse(attempt, *kind, Duration{});
    co_return;
  }
  if (state_.stop && attempt.arrivedAt > state_.stop->AcceptUntil()) {
    co_await Refuse(attempt, ErrorKind::Stopping, StopSchedule::kRetryAfter);
    co_return;
  }
  if (attempt.responseDeadline - Now().steady <= kMinSendTime) {
    // What is read later has waited as long.
    co_await Refuse(attempt, ErrorKind::Overloaded, attempt.unreadTime);
    co_return;
  }
  const OpenAttempt open(openAttempts_, attempt);
  if (co_await RefuseIfEvacuated(attempt)) {
    co_return;
  }
  if (attempt.parameters.IsResume() &&
      attempt.route->repeatability == Repeatability::ResumableStream) {
    if (const auto kind = co_await FindResumeTarget(attempt)) {
      co_await Refuse(attempt, *kind, Duration{});
      co_return;
    }
  }
  if (co_await RefuseIfCrashing(attempt)) {
    co_return;
  }
  if (attempt.plan.HasWork() && co_await RefuseIfHeld(attempt)) {
    co_return;
  }
  EstimateReplica(attempt);
  if (const auto retryAfter = CheckDeadline(attempt)) {
    co_await Refuse(attempt, ErrorKind::DeadlineTooShort, *retryAfter);
    co_return;
  }
  if (CannotEndBeforeStop(attempt)) {
    co_await Refuse(attempt, ErrorKind::Stopping, StopSchedule::kRetryAfter);
    co_return;
  }
  state_.retryBudget.OnRequest(attempt.service->name, attempt.arrivedAt);
  aClient->WatchForDisconnect(
    [&attempt] { attempt.cancellation.Cancel(CancelReason::ClientLeft); });
  if (attempt.plan.HasWork()) {
    const auto kind = co_await RunStages(attempt);
    if (kind) {
      aClient->StopWatching();
      const Duration retryAfter = *kind == ErrorKind::Stopping
                                    ? StopSchedule::kRetryAfter
                                    : RetryAfter(attempt);
      pieces_.Release(attempt.plan.TakeAll());
      if (!co_await RefuseIfCrashing(attempt) &&
          !co_await RefuseIfEvacuated(attempt)) {
        co_await Refuse(attempt, *kind, retryAfter);
      }
      co_return;
    }
  }
  SendLoop sends(
    state_, peers_, pieces_, origins_, crashes_, limits_, observer_, attempt);
  co_await sends.Run();
  aClient->StopWatching();
  pieces_.Release(attempt.plan.TakeAll());
}

ErrorKind RequestHandler::NotAllowed(ErrorKind aKind, Instant aNow) const
{
  return state_.configurationKnowledge.IsOutdated(aNow)
           ? ErrorKind::ConfigurationOutdated
           : aKind;
}

std::optional<ErrorKind> RequestHandler::Admit(Attempt& aAttempt)
{
  aAttempt.routeTable = state_.routes;
  if (!state_.KnowsEnoughToServe()) {
    return ErrorKind::NotReady;
  }
  const auto& request = aAttempt.client->GetRequest();
  const auto host = request[boost::beast::http::field::host];
  const auto target = request.target();
  aAttempt.route = aAttempt.routeTable->Find({ host.data(), host.size() },
                                             { target.data(), target.size() });
  if (!aAttempt.route) {
    return NotAllowed(ErrorKind::UnknownPath, aAttempt.arrivedAt);
  }
  if (aAttempt.routeTable->Configuration().hasCustomers &&
      !aAttempt.route->isPublic) {
    aAttempt.customer =
      aAttempt.routeTable->FindCustomer(aAttempt.parameters.customerKey);
    if (!aAttempt.customer) {
      return NotAllowed(ErrorKind::UnknownKey, aAttempt.arrivedAt);
    }
  }
  if (!aAttempt.parameters.malformedHeader.empty() ||
      HasTooManyPieces(aAttempt)) {
    return ErrorKind::BadRequest;
  }
  const RouteTarget* const routeTarget =
    ChooseTarget(*aAttempt.route, Checksum(aAttempt.parameters.id));
  aAttempt.service = routeTarget
                       ? aAttempt.routeTable->FindService(routeTarget->service)
                       : nullptr;
  if (!aAttempt.service) {
    return ErrorKind::NoReplica;
  }
  const RouteSpec& route = *aAttempt.route;
  aAttempt.targetAt = aAttempt.arrivedAt + route.targetTime;
  aAttempt.responseDeadline = aAttempt.arrivedAt + route.timeout;
  if (aAttempt.parameters.timeLeft) {
    aAttempt.responseDeadline = std::min(
      aAttempt.responseDeadline,
      aAttempt.arrivedAt + *aAttempt.parameters.timeLeft - kClientMargin);
  }
  aAttempt.resumableUntil =
    aAttempt.arrivedAt + kResumeMargin +
    std::max(route.timeout, aAttempt.parameters.timeLeft.value_or(Duration{}));
  aAttempt.firstPartDeadline = aAttempt.responseDeadline;
  if (IsStream(route.repeatability)) {
    const Duration clientTimeout = std::max(
      { kMinStreamTimeout, route.targetTime * 4, route.gapTarget * 8 });
    aAttempt.firstPartDeadline =
      std::min(aAttempt.responseDeadline,
               aAttempt.arrivedAt + clientTimeout - kClientMargin);
  }
  aAttempt.priority = UrgencyRank(route, aAttempt.customer);
  aAttempt.plan = StagePlan(route.stages, aAttempt.parameters.pieces);
  const auto method = request.method_string();
  aAttempt.requestName = NameOf({ aAttempt.CustomerName(),
                                  { method.data(), method.size() },
                                  { host.data(), host.size() },
                                  { target.data(), target.size() },
                                  request.body() });
  aAttempt.traits = TraitsOf(aAttempt.requestName, aAttempt.parameters.prompt);
  return std::nullopt;
}

bool RequestHandler::HasTooManyPieces(const Attempt& aAttempt)
{
  const std::uint32_t most =
    MaxPiecesOfStage(aAttempt.routeTable->Configuration().limits);
  return std::ranges::any_of(
    aAttempt.parameters.pieces,
    [&](std::uint32_t aPieces) { return aPieces > most; });
}

bool RequestHandler::CanComputePieces(const Attempt& aAttempt) const
{
  const Duration time = aAttempt.firstPartDeadline - Now().steady;
  const auto& stages = aAttempt.route->stages;
  for (std::uint32_t stage = 0; stage < stages.size(); ++stage) {
    const std::string& service = stages[stage].service;
    const BackendServiceSpec* const spec =
      aAttempt.routeTable->FindService(service);
    const std::size_t replicas = state_.registry.Usable(service).size();
    if (spec && spec->batches &&
        aAttempt.plan.PiecesOf(stage) >
          PiecesWithin(*spec->batches, replicas, time)) {
      return false;
    }
  }
  return true;
}

asio::awaitable<std::optional<ErrorKind>> RequestHandler::FindResumeTarget(
  Attempt& aAttempt)
{
  const RouteSpec& route = *aAttempt.route;
  // Clients wait for the timeout of the route, over all of their attempts.
  const Duration elapsed =
    std::max(Duration{},
             route.timeout - aAttempt.parameters.timeLeft.value_or(Duration{}));
  // A named object, because GCC 12 destroys aggregate arguments of an awaited
  // call twice.
  ResumeQuestion question{ aAttempt.parameters.resumedAttempt,
                           aAttempt.service->name,
                           elapsed + kResumeMargin };
  aAttempt.resumeTarget = co_await origins_.Find(std::move(question));
  const ResumeTarget& target = aAttempt.resumeTarget;
  if (target.source == OriginSource::Unknown) {
    co_return ErrorKind::OriginUnknown;
  }
  const bool isOnRoute =
    std::ranges::find(route.targets, target.service, &RouteTarget::service) !=
    route.targets.end();
  const BackendServiceSpec* const service =
    aAttempt.routeTable->FindService(target.service);
  const bool isServed =
    std::ranges::find(state_.registry.Usable(target.service),
                      target.version,
                      [](const BackendPtr& aBackend) -> const std::string& {
                        return aBackend->version;
                      }) != state_.registry.Usable(target.service).end();
  if (!isOnRoute || !service || !isServed) {
    co_return ErrorKind::VersionGone;
  }
  aAttempt.service = service;
  co_return std::nullopt;
}

TraitDecision RequestHandler::DecideByCrashes(const Attempt& aAttempt) const
{
  TraitDecision decision = crashes_.Decide(aAttempt.MakeTraitQuestion());
  const std::vector<RouteStage>& stages = aAttempt.route->stages;
  for (std::uint32_t stage = 0; stage < stages.size(); ++stage) {
    if (decision.step == TraitStep::Refuse) {
      break;
    }
    if (aAttempt.plan.PiecesOf(stage) > 0) {
      decision =
        crashes_.DecidePieces(aAttempt.requestName, stages[stage].service);
    }
  }
  return decision;
}

asio::awaitable<bool> RequestHandler::RefuseIfCrashing(Attempt& aAttempt)
{
  const TraitDecision decision = DecideByCrashes(aAttempt);
  if (decision.step != TraitStep::Refuse) {
    co_return false;
  }
  aAttempt.refusedTrait = decision.trait;
  co_await Refuse(
    aAttempt, ErrorKind::CrashingRequest, RetryAfterOf(decision, Now().steady));
  co_return true;
}

asio::awaitable<bool> RequestHandler::RefuseIfHeld(Attempt& aAttempt)
{
  const ServiceAvailability availability =
    AvailabilityOf(state_.registry.Usable(aAttempt.service->name),
                   aAttempt.RequiredVersion(),
                   state_.permissions,
                   aAttempt.arrivedAt);
  const bool opensInTime =
    availability.opensAt <= aAttempt.firstPartDeadline - kTypicalFirstEventTime;
  if (!availability.IsHeld() || opensInTime) {
    co_return false;
  }
  co_await Refuse(aAttempt,
                  ErrorKindOf(availability.hold),
                  RetryAfterHold(availability,
                                 aAttempt.priority,
                                 state_.DrawFraction(),
                                 aAttempt.arrivedAt));
  co_return true;
}

asio::awaitable<bool> RequestHandler::RefuseIfEvacuated(Attempt& aAttempt)
{
  const std::vector<RouteStage>& stages = aAttempt.route->stages;
  bool isEvacuated = state_.registry.IsEvacuated(aAttempt.service->name);
  for (std::uint32_t stage = 0; stage < stages.size(); ++stage) {
    isEvacuated =
      isEvacuated || (aAttempt.plan.PiecesOf(stage) > 0 &&
                      state_.registry.IsEvacuated(stages[stage].service));
  }
  if (isEvacuated) {
    co_await Refuse(aAttempt,
                    ErrorKind::ZonesEvacuated,
                    RetryAfterEvacuation(state_.DrawFraction()));
  }
  co_return isEvacuated;
}

void RequestHandler::EstimateReplica(Attempt& aAttempt) const
{
  if (!aAttempt.service->engine || !aAttempt.plan.HasWork()) {
    return;
  }
  ChoiceCriteria criteria;
  criteria.zone = state_.settings.zone;
  criteria.prompt = &aAttempt.parameters.prompt;
  criteria.prefixes = &state_.prefixes;
  criteria.version = aAttempt.RequiredVersion();
  criteria.permissions = &state_.permissions;
  const auto choice =
    ChooseReplica(state_.registry.Usable(aAttempt.service->name),
                  criteria,
                  state_.loads,
                  aAttempt.arrivedAt);
  aAttempt.expectedZone = choice ? choice->backend->zone : "";
  aAttempt.expectedFirstEvent = choice ? choice->expected : Duration{};
}

StageTime RequestHandler::TypicalStageTimeOf(const Attempt& aAttempt,
                                             std::uint32_t aStage) const
{
  const std::string& service = aAttempt.plan.SpecOf(aStage).service;
  const BackendServiceSpec* const spec =
    aAttempt.routeTable->FindService(service);
  if (!spec || !spec->batches) {
    return {};
  }
  const BatchSpec& batches = *spec->batches;
  return { batches.fixedCallTime + batches.pieceTime * batches.maxPieces,
           kTypicalStageWait };
}

StageTime RequestHandler::StageTimeOf(const Attempt& aAttempt,
                                      std::uint32_t aStage,
                                      bool aWithWait) const
{
  const std::string& service = aAttempt.plan.SpecOf(aStage).service;
  const BackendServiceSpec* const spec =
    aAttempt.routeTable->FindService(service);
  if (!spec || !spec->batches) {
    return {};
  }
  const std::uint32_t pieces =
    std::min(aAttempt.plan.PiecesOf(aStage), spec->batches->maxPieces);
  StageTime time;
  time.work = spec->batches->fixedCallTime + spec->batches->pieceTime * pieces;
  if (aWithWait) {
    time.wait = pieces_.ExpectedWait(service, aAttempt.priority);
  }
  return time;
}

std::optional<Duration> RequestHandler::CheckDeadline(
  const Attempt& aAttempt) const
{
  const Duration requiredTime = aAttempt.plan.Remaining(
    [&](std::uint32_t aStage) { return StageTimeOf(aAttempt, aStage, true); });
  const Duration remainingTime =
    aAttempt.firstPartDeadline - kTypicalFirstEventTime - Now().steady;
  const bool isInTime =
    requiredTime < remainingTime || requiredTime.count() == 0;
  if (isInTime && CanComputePieces(aAttempt)) {
    return std::nullopt;
  }
  return RetryAfter(aAttempt);
}

bool RequestHandler::CannotEndBeforeStop(const Attempt& aAttempt) const
{
  const Duration requiredTime = aAttempt.plan.Remaining(
    [&](std::uint32_t aStage) { return StageTimeOf(aAttempt, aStage, true); });
  return !state_.MaySend(Now().steady + requiredTime);
}

void RequestHandler::EndWaiting()
{
  EndAttempts([](const Attempt& aAttempt) { return !aAttempt.isAtServer; });
}

void RequestHandler::EndAll()
{
  EndAttempts([](const Attempt&) { return true; });
}

template<typename Predicate>
void RequestHandler::EndAttempts(Predicate aMustEnd)
{
  // An attempt that ends leaves the set.
  std::vector<Attempt*> ending;
  std::ranges::copy_if(
    openAttempts_, std::back_inserter(ending), [&](const Attempt* aAttempt) {
      return !aAttempt->cancellation.IsCancelled() && aMustEnd(*aAttempt);
    });
  for (Attempt* const attempt : ending) {
    if (openAttempts_.contains(attempt)) {
      attempt->cancellation.Cancel(CancelReason::Stopping);
    }
  }
}

Duration RequestHandler::RetryAfter(const Attempt& aAttempt) const
{
  // A client that retries before the queues are empty is refused again.
  const auto remaining = [&](bool aWithWait) {
    return aAttempt.plan.Remaining([&](std::uint32_t aStage) {
      return StageTimeOf(aAttempt, aStage, aWithWait);
    });
  };
  return std::max(kMinRetryAfter, remaining(true) - remaining(false));
}

RequestHandler::ZonePreference RequestHandler::ZonePreferenceOf(
  const Attempt& aAttempt,
  std::uint32_t aStage) const
{
  const StagePlan& plan = aAttempt.plan;
  const auto input = plan.LargestInputOf(aStage);
  // Each piece fetches all inputs of its stage.
  const std::uint64_t inputBytes = input.bytes * plan.PiecesOf(aStage);
  const std::uint64_t resultBytes =
    plan.IsFinal(aStage)
      ? plan.SpecOf(aStage).resultBytes * plan.PiecesOf(aStage)
      : 0;
  if (resultBytes > inputBytes) {
    return { aAttempt.expectedZone, resultBytes };
  }
  if (inputBytes == 0) {
    return {};
  }
  const BackendPtr producer =
    state_.registry.FindByAddress(ProducerOf(input.handle));
  return { producer ? producer->zone : "", inputBytes };
}

PieceJob RequestHandler::PieceJobFor(const Attempt& aAttempt,
                                     std::uint32_t aStage) const
{
  const StagePlan& plan = aAttempt.plan;
  PieceJob job;
  job.attempt = aAttempt.parameters.id;
  job.request = aAttempt.requestName;
  job.stage = aStage;
  job.pieces = plan.PiecesOf(aStage);
  job.readsResults = !plan.SpecOf(aStage).inputStages.empty();
  job.key = aAttempt.parameters.pieceKey;
  job.inputs = plan.InputsOf(aStage);
  job.resultBytes = plan.SpecOf(aStage).resultBytes;
  const ZonePreference preference = ZonePreferenceOf(aAttempt, aStage);
  job.preferredZone = preference.zone;
  job.zoneBytes = preference.bytes;
  job.priority = aAttempt.priority;
  job.due = aAttempt.targetAt - kFinalHopsTime - aAttempt.expectedFirstEvent -
            plan.RemainingAfter(aStage, [&](std::uint32_t aOther) {
              return TypicalStageTimeOf(aAttempt, aOther);
            });
  job.deadline = aAttempt.firstPartDeadline - kTypicalFirstEventTime -
                 plan.RemainingAfter(aStage, [&](std::uint32_t aOther) {
                   return StageTimeOf(aAttempt, aOther, false);
                 });
  return job;
}

asio::awaitable<std::optional<ErrorKind>> RequestHandler::RunStages(
  Attempt& aAttempt)
{
  /** Shared by the running stages, since a stage may outlive the loop. */
  struct Progress
  {
    explicit Progress(asio::io_context& aLoop)
      : changed(aLoop)
    {
    }
    asio::steady_timer changed;
    std::vector<std::shared_ptr<CancellationToken>> cancellations;
    std::vector<std::pair<std::uint32_t, PieceJobEnd>> finished;
    std::size_t running = 0;
  };
  auto progress = std::make_shared<Progress>(state_.loop);
  std::optional<ErrorKind> failure;
  while (!aAttempt.plan.IsDone() && !failure) {
    Instant nextStartAt = aAttempt.responseDeadline;
    for (const std::uint32_t stage : aAttempt.plan.Ready()) {
      const std::uint64_t bytes =
        aAttempt.plan.SpecOf(stage).resultBytes * aAttempt.plan.PiecesOf(stage);
      // Includes the queue wait of this stage but not of the others: if this
      // stage ended late, the results of all others would be held
      // meanwhile.
      const Duration slack =
        aAttempt.plan.SlackOf(stage,
                              [&](std::uint32_t aOther) {
                                return StageTimeOf(
                                  aAttempt, aOther, aOther == stage);
                              }) -
        kStartMargin;
      if (bytes > kLargeResultBytes && slack.count() > 0) {
        // Started now, its results would occupy memory until the other stages
        // are done.
        nextStartAt = std::min(nextStartAt, Now().steady + slack);
        continue;
      }
      aAttempt.plan.OnStarted(stage);
      auto cancellation = std::make_shared<CancellationToken>();
      progress->cancellations.push_back(cancellation);
      ++progress->running;
      state_.tasks.Spawn(
        "stage",
        [](TaskGuard& aTasks,
           PieceService& aPieces,
           std::string aService,
           PieceJob aJob,
           std::uint32_t aStage,
           std::shared_ptr<CancellationToken> aCancellation,
           std::shared_ptr<Progress> aProgress)
          -> asio::awaitable<void> {
          PieceJobEnd end{ aJob.id, PieceFailure::Error, {}, {} };
          try {
            end = co_await aPieces.ComputePieces(
              aService, std::move(aJob), *aCancellation);
          } catch (...) {
            aTasks.Report("stage", std::current_exception());
          }
          --aProgress->running;
          if (aCancellation->IsCancelled()) {
            // The request has ended, so its results are not
            // needed.
            aPieces.Release(aService, std::move(end.handles));
            co_return;
          }
          aProgress->finished.emplace_back(aStage, std::move(end));
          aProgress->changed.cancel();
        }(state_.tasks,
          pieces_,
          aAttempt.plan.SpecOf(stage).service,
          PieceJobFor(aAttempt, stage),
          stage,
          cancellation,
          progress));
    }
    aAttempt.cancellation.SetOnCancel(
      [progress] { progress->changed.cancel(); });
    if (progress->finished.empty() && !aAttempt.cancellation.IsCancelled()) {
      progress->changed.expires_at(nextStartAt);
      boost::system::error_code ignored;
      co_await progress->changed.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    aAttempt.cancellation.ClearOnCancel();
    for (auto& [stage, end] : std::exchange(progress->finished, {})) {
      state_.log.Write(
        end.failure == PieceFailure::None ? LogClass::Normal
                                          : LogClass::Failure,
        "stage-ended",
        { { "id", aAttempt.parameters.id },
          { "stage", stage },
          { "pieces", aAttempt.plan.PiecesOf(stage) },
          { "failure", static_cast<std::uint64_t>(end.failure) },
          { "elapsed", Now().steady - aAttempt.arrivedAt },
          { "left", aAttempt.responseDeadline - Now().steady } });
      if (end.failure == PieceFailure::None) {
        aAttempt.plan.OnDone(stage, std::move(end.handles));
      } else {
        failure = end.failure == PieceFailure::Late ? ErrorKind::Overloaded
                                                    : ErrorKind::NoReplica;
      }
    }
    pieces_.Release(aAttempt.plan.TakeReleasable());
    if (aAttempt.cancellation.IsCancelled() ||
        Now().steady >= aAttempt.firstPartDeadline) {
      failure = aAttempt.cancellation.IsStopping() ? ErrorKind::Stopping
                                                   : ErrorKind::Overloaded;
    }
  }
  for (const auto& cancellation : progress->cancellations) {
    cancellation->Cancel(CancelReason::StageEnded);
  }
  co_return failure;
}

asio::awaitable<void> RequestHandler::Refuse(Attempt& aAttempt,
                                             ErrorKind aKind,
                                             Duration aRetryAfter)
{
  EdgeResponse response = FailureResponse(aKind, aRetryAfter);
  const unsigned status = response.status;
  const std::string_view outcome = aAttempt.cancellation.HasClientLeft()
                                     ? "client-left"
                                     : ErrorResponseOf(aKind).name;
  if (!aAttempt.cancellation.HasClientLeft()) {
    co_await aAttempt.client->WriteResponse(std::move(response));
  }
  const Duration elapsed = Now().steady - aAttempt.arrivedAt;
  state_.metrics.RecordResponse(aAttempt.route ? aAttempt.route->name : "none",
                                aAttempt.CustomerName(),
                                outcome,
                                elapsed);
  state_.log.Write(
    LogClass::Failure,
    "request-refused",
    { { "id", aAttempt.parameters.id },
      { "outcome", outcome },
      { "status", status },
      { "route", aAttempt.route ? aAttempt.route->name : "" },
      { "service", aAttempt.service ? aAttempt.service->name : "" },
      { "version",
        aAttempt.routeTable ? aAttempt.routeTable->Configuration().version
                            : 0 },
      { "registry", TextOf(state_.registry.Revision()) },
      { "malformed", aAttempt.parameters.malformedHeader },
      { "unread", aAttempt.unreadTime },
      { "trait", aAttempt.refusedTrait },
      { "store-age", Now().steady - state_.lastStoreResponseAt },
      { "configuration-age", state_.configurationKnowledge.Age(Now().steady) },
      { "configuration-source", state_.configurationKnowledge.Source() },
      { "retry-after", aRetryAfter },
      { "elapsed", elapsed } });
}

} // namespace gypsum
