#include "servers/gateway/piece_service.h"

#include "core/gateway/accept_wait.h"
#include "core/gateway/job_moves.h"
#include "core/gateway/offered_owners.h"
#include "core/gateway/piece_limit.h"
#include "core/scope_exit.h"
#include "drivers/clock.h"
#include "drivers/edge/backend_exchange.h"
#include "platform/backend_response_head.h"
#include "platform/piece_calls.h"
#include "servers/gateway/send_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** An owner accepts a job within one round trip. The limit is below the
 * 200 ms after which a lost packet is retransmitted. */
constexpr Duration kMinAcceptTimeout = std::chrono::milliseconds(150);
/** Of an owner under load; about the time of a few calls. */
constexpr Duration kMaxAcceptTimeout = std::chrono::milliseconds(1'000);
/** How often a pending job checks whether the owner is alive. */
constexpr Duration kOwnerCheckInterval = std::chrono::milliseconds(150);
/** How often a job asks whether the fleet has been found. */
constexpr Duration kOwnerPollInterval = std::chrono::milliseconds(20);
/** Interval at which results are released in groups. */
constexpr Duration kReleaseInterval = std::chrono::milliseconds(20);
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(700);
/** Results that wait for a place in the limit of their server. */
constexpr std::size_t kMaxHeldReleases = 4'096;
/** A queue without jobs for so long begins anew. */
constexpr Duration kQueueRest = std::chrono::seconds(1);
constexpr std::size_t kMaxResponseBytes = 1'048'576;
/** Copies of earlier responses that are skipped before the one to a call. */
constexpr int kMaxSkippedResponses = 2;
constexpr unsigned kOk = 200;

std::string_view NameOf(BatchEnd aEnd)
{
  switch (aEnd) {
    case BatchEnd::Answered:
      return "answered";
    case BatchEnd::Rejected:
      return "rejected";
    case BatchEnd::Unreachable:
      return "unreachable";
    case BatchEnd::Lost:
      return "lost";
    case BatchEnd::HeldBack:
      return "held-back";
  }
  return "";
}

} // namespace

PieceService::PieceService(GatewayState& aState,
                           PeerExchange& aPeers,
                           LimitService& aLimits,
                           CrashService& aCrashes,
                           ResponseObserver& aObserver)
  : state_(aState)
  , peers_(aPeers)
  , limits_(aLimits)
  , crashes_(aCrashes)
  , observer_(aObserver)
{
}

void PieceService::Start()
{
  state_.tasks.SpawnEndless("release-loop", [this] { return ReleaseLoop(); });
}

PieceService::Queue* PieceService::FindOrCreateQueue(
  const std::string& aService)
{
  const auto found = queues_.find(aService);
  if (!state_.routes) {
    return found == queues_.end() ? nullptr : found->second.get();
  }
  const BackendServiceSpec* const spec = state_.routes->FindService(aService);
  if (found != queues_.end()) {
    if (spec && spec->batches) {
      found->second->queue.SetSpec(*spec->batches);
    }
    return found->second.get();
  }
  if (!spec || !spec->batches) {
    return nullptr;
  }
  return queues_
    .emplace(
      aService,
      std::make_unique<Queue>(state_.loop,
                              *spec->batches,
                              [this, aService] { StartBatches(aService); }))
    .first->second.get();
}

Duration PieceService::ExpectedWait(std::string_view aService,
                                    std::uint32_t aPriority) const
{
  const std::string owner = peers_.QueueOwnerOf(aService);
  if (!owner.empty()) {
    return peers_
      .QueueWaitAt(owner, aService, std::min(aPriority, kPriorityClasses - 1))
      .value_or(Duration{});
  }
  return ExpectedLocalWait(aService, aPriority);
}

Duration PieceService::ExpectedLocalWait(std::string_view aService,
                                         std::uint32_t aPriority) const
{
  const std::uint32_t priority = std::min(aPriority, kPriorityClasses - 1);
  const auto found = queues_.find(aService);
  if (found == queues_.end()) {
    return Duration{};
  }
  return found->second->queue.ExpectedWait(
    priority, AvailabilityOfServers(aService), Now().steady);
}

ServiceAvailability PieceService::AvailabilityOfServers(
  std::string_view aService) const
{
  return AvailabilityOf(state_.registry.Usable(aService),
                        std::nullopt,
                        state_.permissions,
                        Now().steady);
}

std::vector<ServiceWait> PieceService::LocalQueueWaits() const
{
  std::vector<ServiceWait> waits;
  for (const auto& [service, queue] : queues_) {
    const ServiceAvailability servers = AvailabilityOfServers(service);
    for (std::uint32_t priority = 0; priority < kPriorityClasses; ++priority) {
      const Duration wait =
        queue->queue.ExpectedWait(priority, servers, Now().steady);
      if (wait.count() > 0) {
        waits.push_back({ service, priority, wait });
      }
    }
  }
  return waits;
}

asio::awaitable<void> PieceService::AwaitOwners(
  Instant aDeadline,
  const CancellationToken& aCancellation)
{
  asio::steady_timer timer(state_.loop);
  while (!peers_.KnowsOwners() && !aCancellation.IsCancelled() &&
         Now().steady < aDeadline) {
    timer.expires_after(kOwnerPollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<PieceJobEnd> PieceService::ComputePieces(
  std::string aService,
  PieceJob aJob,
  CancellationToken& aCancellation)
{
  const Instant begin = Now().steady;
  co_await AwaitOwners(aJob.deadline, aCancellation);
  OfferedOwners owners;
  std::optional<std::string> namedOwner; // By the gateway that had the job.
  while (!aCancellation.IsCancelled() && Now().steady < aJob.deadline) {
    const OfferedOwners::Next next = owners.Choose();
    if (next == OfferedOwners::Next::None) {
      state_.log.Write(LogClass::Failure,
                       "pieces-given-up",
                       { { "id", aJob.attempt },
                         { "stage", aJob.stage },
                         { "owner", owners.Last() } });
      co_return PieceJobEnd{ aJob.id, PieceFailure::Error, {}, {} };
    }
    const std::string owner =
      next == OfferedOwners::Next::Owner
        ? namedOwner.value_or(peers_.QueueOwnerOf(aService))
      : next == OfferedOwners::Next::OwnerAfterLast
        ? peers_.QueueOwnerWithout(aService, owners.Last())
        : "";
    if (next != OfferedOwners::Next::Owner) {
      // The others may still reach the owner that does not answer here.
      aJob.moves = kMaxJobMoves;
    }
    const Incarnation incarnation = peers_.IncarnationOf(owner);
    auto end = co_await ComputeAt(owner, aService, aJob, aCancellation);
    if (!end) {
      owners.OnLost(owner, !peers_.IsLive(owner, incarnation));
      continue;
    }
    if (end->failure != PieceFailure::Moved) {
      state_.metrics.RecordStageWait(aService, Now().steady - begin);
      co_return std::move(*end);
    }
    namedOwner = OwnerNamedBy(*end);
    // An owner that isn't known here can't be asked; the gateway that has named
    // it keeps the job the next time.
    aJob.moves = namedOwner ? aJob.moves + 1 : kMaxJobMoves;
  }
  co_return PieceJobEnd{ aJob.id, PieceFailure::Late, {}, {} };
}

std::optional<std::string> PieceService::OwnerNamedBy(
  const PieceJobEnd& aEnd) const
{
  const std::string& owner = aEnd.nextOwner;
  if (owner == state_.settings.peerAddress) {
    return "";
  }
  const bool isKnown = peers_.IsLive(owner, peers_.IncarnationOf(owner));
  return isKnown ? std::optional(owner) : std::nullopt;
}

asio::awaitable<std::optional<PieceJobEnd>> PieceService::ComputeAt(
  std::string aOwner,
  const std::string& aService,
  PieceJob aJob,
  CancellationToken& aCancellation)
{
  aJob.id = { state_.self.incarnation, ++lastJobNumber_ };
  const PieceJobId id = aJob.id;
  const Instant deadline = aJob.deadline;
  auto pending = std::make_shared<PendingJob>(state_.loop);
  pendingJobs_[id.number] = pending;
  const ScopeExit erase([this, id] { pendingJobs_.erase(id.number); });
  const Incarnation ownerIncarnation = peers_.IncarnationOf(aOwner);
  const Instant begin = Now().steady;
  const bool isRemote = !aOwner.empty();
  pending->owner = aOwner;
  pending->sentAt = begin;
  ResponseTime& acceptTime =
    acceptTimes_.try_emplace(aOwner, kMinAcceptTimeout, kMaxAcceptTimeout)
      .first->second;
  AcceptWait acceptWait(begin, acceptTime.Timeout());
  if (isRemote) {
    peers_.SendTo(
      aOwner,
      PieceRequest{ aService, aJob, aJob.due - begin, aJob.deadline - begin });
  } else {
    Submit(aService, aJob, {});
  }
  bool isOwnerSilent = false;
  while (!pending->end && !aCancellation.IsCancelled() && !isOwnerSilent) {
    const Instant now = Now().steady;
    if (now >= deadline) {
      break;
    }
    const bool isNotAccepted = isRemote && !pending->isAccepted &&
                               acceptWait.IsOver(now, state_.loopLag.At(now));
    if (isRemote &&
        (isNotAccepted || !peers_.IsLive(aOwner, ownerIncarnation))) {
      isOwnerSilent = true;
      continue;
    }
    Instant wakeAt = deadline;
    if (isRemote) {
      wakeAt = std::min(deadline,
                        pending->isAccepted ? now + kOwnerCheckInterval
                                            : acceptWait.Until());
    }
    aCancellation.SetOnCancel([pending] { pending->timer.cancel(); });
    pending->timer.expires_at(wakeAt);
    boost::system::error_code ignored;
    co_await pending->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    aCancellation.ClearOnCancel();
  }
  if (pending->end) {
    if (pending->end->failure == PieceFailure::Moved) {
      if (pending->end->nextOwner.empty()) {
        peers_.OnPeerStopping(aOwner, ownerIncarnation);
      }
      state_.log.Write(LogClass::StateChange,
                       "pieces-moved",
                       { { "id", aJob.attempt },
                         { "stage", aJob.stage },
                         { "owner", aOwner },
                         { "next", pending->end->nextOwner },
                         { "moves", aJob.moves } });
    }
    co_return std::move(*pending->end);
  }
  if (isRemote) {
    peers_.SendTo(aOwner, PieceCancel{ aService, id });
  } else if (Queue* const queue = FindOrCreateQueue(aService)) {
    queue->queue.Cancel(id);
    ReleaseLocally(queue->queue.TakeOrphans());
  }
  requesters_.erase(id);
  if (!isOwnerSilent) {
    co_return PieceJobEnd{ id, PieceFailure::Late, {}, {} };
  }
  if (!pending->isAccepted) {
    acceptTimes_.at(aOwner).OnTimeout();
    peers_.OnNoAnswer(aOwner, begin);
  }
  state_.log.Write(LogClass::Failure,
                   "pieces-taken-over",
                   { { "id", aJob.attempt },
                     { "stage", aJob.stage },
                     { "owner", aOwner },
                     { "waited", Now().steady - begin },
                     { "accepted", pending->isAccepted ? 1U : 0U } });
  co_return std::nullopt;
}

void PieceService::HandOver(BatchQueue::Leaving aLeaving)
{
  for (auto& [service, queue] : queues_) {
    if (peers_.QueueOwnerOf(service).empty()) {
      continue;
    }
    queue->queue.HandOver(aLeaving);
    DeliverFinishedJobs(*queue);
  }
}

void PieceService::LogQueueBegin(const std::string& aService,
                                 Queue& aQueue,
                                 const Requester& aRequester) const
{
  const Instant now = Now().steady;
  const Instant before = std::exchange(aQueue.lastJobAt, now);
  if (before != Instant{} && now - before < kQueueRest) {
    return;
  }
  state_.log.Write(LogClass::StateChange,
                   "stage-queue-begins",
                   { { "service", aService },
                     { "job-from", aRequester.route.empty() ? "own" : "peer" },
                     { "owner", peers_.QueueOwnerOf(aService) },
                     { "uptime", peers_.Uptime() },
                     { "peers", peers_.LiveGateways() - 1 } });
}

void PieceService::OnZonesChanged()
{
  for (auto& [service, queue] : queues_) {
    queue->startTask.Request();
  }
}

void PieceService::MoveJobs(const std::string& aService,
                            BatchQueue& aQueue) const
{
  const std::string owner = peers_.QueueOwnerOf(aService);
  if (!owner.empty() && !state_.IsStopping()) {
    aQueue.MoveTo(owner);
  }
}

void PieceService::Submit(const std::string& aService,
                          PieceJob aJob,
                          Requester aRequester)
{
  const PieceJobId id = aJob.id;
  Queue* const queue = FindOrCreateQueue(aService);
  if (queue) {
    LogQueueBegin(aService, *queue, aRequester);
  }
  requesters_[id] = std::move(aRequester);
  // A peer of another version may allow more pieces.
  const bool isTooLarge =
    queue &&
    aJob.pieces > MaxPiecesOfStage(state_.routes->Configuration().limits);
  if (isTooLarge) {
    state_.log.Write(LogClass::Failure,
                     "pieces-rejected",
                     { { "id", aJob.attempt },
                       { "stage", aJob.stage },
                       { "pieces", aJob.pieces } });
  }
  if (!queue || isTooLarge) {
    PieceJobEnd end{ id, PieceFailure::Error, {}, {} };
    const Requester requester = std::exchange(requesters_[id], {});
    requesters_.erase(id);
    if (!requester.route.empty()) {
      peers_.SendBack(
        requester.route, requester.incarnation, PieceReply{ end });
    } else if (const auto pending = pendingJobs_.find(id.number);
               pending != pendingJobs_.end()) {
      pending->second->end = std::move(end);
      pending->second->timer.cancel();
    }
    return;
  }
  const Instant now = Now().steady;
  state_.retryBudget.OnRequest(aService, now);
  queue->queue.Add(std::move(aJob));
  queue->startTask.Request();
}

void PieceService::StartBatches(const std::string& aService)
{
  const WorkMeter::Scope work(state_.work, "start-batches");
  Queue* const queue = FindOrCreateQueue(aService);
  if (!queue) {
    return;
  }
  if (!peers_.KnowsOwners()) {
    // The jobs may belong to another gateway.
    WakeAt(aService, *queue, Now().steady + kOwnerPollInterval);
    return;
  }
  MoveJobs(aService, queue->queue);
  if (state_.registry.IsEvacuated(aService)) {
    std::ranges::for_each(queue->queue.WaitingJobs(),
                          [&](PieceJobId aId) { queue->queue.Fail(aId); });
  }
  const auto& replicas = state_.registry.Usable(aService);
  bool mustWait = AdmitJobs(aService, queue->queue);
  while (auto batch =
           queue->queue.Next(replicas, Now().steady, &state_.permissions)) {
    const auto send = Follow(aService, queue->queue, *batch);
    state_.tasks.Spawn("batch", RunBatch(aService, std::move(*batch), send));
    mustWait = AdmitJobs(aService, queue->queue);
  }
  DeliverFinishedJobs(*queue);
  auto wakeAt = queue->queue.WakeAt();
  if (mustWait) {
    const Instant next = Now().steady + CrashService::kTurnPollInterval;
    wakeAt = std::min(wakeAt.value_or(next), next);
  }
  if (wakeAt) {
    WakeAt(aService, *queue, *wakeAt);
  }
}

void PieceService::WakeAt(const std::string& aService,
                          Queue& aQueue,
                          Instant aTime)
{
  aQueue.timer.expires_at(aTime);
  aQueue.timer.async_wait(
    [this, service = aService](boost::system::error_code aError) {
      if (!aError) {
        StartBatches(service);
      }
    });
}

void PieceService::DeliverFinishedJobs(Queue& aQueue)
{
  ReleaseLocally(aQueue.queue.TakeOrphans());
  for (PieceJobEnd& end : aQueue.queue.TakeEnded()) {
    const auto requester = requesters_.find(end.id);
    if (requester == requesters_.end()) {
      ReleaseLocally(std::move(end.handles));
      continue;
    }
    const Requester target = std::move(requester->second);
    requesters_.erase(requester);
    if (!target.route.empty()) {
      peers_.SendBack(
        target.route, target.incarnation, PieceReply{ std::move(end) });
      continue;
    }
    const auto pending = pendingJobs_.find(end.id.number);
    if (pending == pendingJobs_.end() || pending->second->end) {
      ReleaseLocally(std::move(end.handles));
      continue;
    }
    pending->second->end = std::move(end);
    pending->second->timer.cancel();
  }
}

asio::awaitable<BatchEnd> PieceService::CallReplica(
  const std::string& aService,
  const Batch& aBatch,
  CrashService::SendNumber aSend,
  LimitTicket aTicket,
  std::vector<BatchItemResult>& aResults)
{
  Queue* const queue = FindOrCreateQueue(aService);
  std::vector<PieceCallItem> items;
  for (const BatchItem& item : aBatch.items) {
    const PieceJob* const job = queue->queue.Find(item.job);
    if (!job) {
      co_return BatchEnd::Rejected;
    }
    items.push_back({ job, item.piece, job->deadline - Now().steady });
  }
  BackendExchange::Request call =
    ToPieceCall(aBatch.backend->address, aBatch.backend->id, items);
  BackendExchange exchange(state_.pool, aBatch.backend->address);
  if (co_await exchange.Connect(Reuse::Any, aBatch.abandonAt) !=
      ExchangeState::Ok) {
    co_return BatchEnd::Unreachable;
  }
  const bool isWanted =
    std::ranges::any_of(aBatch.items, [&](const BatchItem& aItem) {
      return queue->queue.Find(aItem.job) != nullptr;
    });
  if (!isWanted) {
    co_return BatchEnd::Rejected;
  }
  const SendPermission permission = SendIfGranted(state_,
                                                  exchange,
                                                  *aBatch.backend,
                                                  SendPath::Pieces,
                                                  aTicket,
                                                  std::move(call));
  if (!permission.IsGranted()) {
    co_return BatchEnd::HeldBack;
  }
  crashes_.Detector().OnConnected(aSend, exchange.OpenedAt());
  const auto response = co_await ReadCallResponse(
    exchange, aBatch.backend, SendPath::Pieces, aBatch.abandonAt);
  if (!response) {
    co_return BatchEnd::Lost;
  }
  const BackendResponseHead& head = response->head;
  if (head.isNotExecuted) {
    co_return BatchEnd::Rejected;
  }
  auto results = head.status == kOk
                   ? DecodePieceResults(response->body, aBatch.items.size())
                   : std::nullopt;
  if (!results) {
    co_return BatchEnd::Lost;
  }
  // A response without a result of its own could not be told from the copy of
  // an earlier one.
  const bool hasResult =
    std::ranges::any_of(*results, [](const BatchItemResult& aResult) {
      return !aResult.handle.empty();
    });
  if (hasResult) {
    exchange.OnUniqueBody(response->body);
  }
  exchange.Finish(head.IdleTime(), !head.closes && hasResult);
  aResults = std::move(*results);
  co_return BatchEnd::Answered;
}

asio::awaitable<std::optional<PieceService::CallResponse>>
PieceService::ReadCallResponse(BackendExchange& aExchange,
                               BackendPtr aBackend,
                               SendPath aPath,
                               Instant aDeadline)
{
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    if (co_await aExchange.ReadHead(aDeadline) != ExchangeState::Ok) {
      co_return std::nullopt;
    }
    CallResponse response{ DecodeBackendResponseHead(aExchange.GetHead()), "" };
    BodyPart body = co_await aExchange.ReadRest(aDeadline, kMaxResponseBytes);
    const bool isCopy =
      body.state == ExchangeState::Ok && aExchange.IsCopy(body.bytes);
    observer_.OnResponse(*aBackend,
                         response.head,
                         isCopy ? ResponseAge::Late : ResponseAge::Current,
                         aPath);
    if (body.state != ExchangeState::Ok) {
      co_return std::nullopt;
    }
    if (!isCopy) {
      response.body = std::move(body.bytes);
      co_return response;
    }
    state_.metrics.Count("repeated_responses", "service", aBackend->service);
  }
  co_return std::nullopt;
}

std::uint32_t PieceService::UrgencyOf(const std::string& aService,
                                      const Batch& aBatch)
{
  const Queue* const queue = FindOrCreateQueue(aService);
  std::uint32_t urgency = kPriorityClasses;
  for (const BatchItem& item : aBatch.items) {
    const PieceJob* const job = queue->queue.Find(item.job);
    urgency = job ? std::min(urgency, job->priority) : urgency;
  }
  return urgency;
}

bool PieceService::AdmitJobs(const std::string& aService, BatchQueue& aQueue)
{
  if (!crashes_.HasVerdicts()) {
    aQueue.AdmitAll();
    return false;
  }
  bool mustWait = false;
  for (const PieceJobId& id : aQueue.WaitingJobs()) {
    const TraitDecision decision =
      crashes_.DecidePieces(aQueue.Find(id)->request, aService);
    if (decision.step == TraitStep::Refuse) {
      aQueue.Fail(id);
      continue;
    }
    aQueue.Admit(id,
                 decision.step == TraitStep::Wait  ? PieceAdmission::Wait
                 : decision.step == TraitStep::Try ? PieceAdmission::Alone
                                                   : PieceAdmission::Shared);
    mustWait = mustWait || decision.step == TraitStep::Wait;
  }
  return mustWait;
}

CrashService::SendNumber PieceService::Follow(const std::string& aService,
                                              const BatchQueue& aQueue,
                                              const Batch& aBatch)
{
  RequestTraits traits;
  for (const BatchItem& item : aBatch.items) {
    const std::string& name = aQueue.Find(item.job)->request;
    const bool isNew =
      std::ranges::find(traits, name, &RequestTrait::name) == traits.end();
    if (isNew && !name.empty()) {
      traits.push_back({ name, kWholeRequest });
    }
  }
  auto shared = std::make_shared<const RequestTraits>(std::move(traits));
  TraitDecision decision = crashes_.Decide({ shared, aService, {} });
  return crashes_.OnSent(aBatch.backend, shared, std::move(decision.suspects));
}

void PieceService::ReportEnd(CrashService::SendNumber aSend,
                             BatchEnd aEnd,
                             bool aIsLate)
{
  switch (aEnd) {
    case BatchEnd::Answered:
      crashes_.Detector().OnEvents(aSend, true);
      break;
    case BatchEnd::Rejected:
      crashes_.Detector().OnRejected(aSend);
      break;
    case BatchEnd::Lost:
      if (aIsLate) {
        crashes_.Detector().OnTimedOut(aSend);
      } else {
        crashes_.Detector().OnBroken(aSend);
      }
      break;
    default:
      crashes_.Detector().OnEnded(aSend);
      break;
  }
}

asio::awaitable<void> PieceService::RunBatch(std::string aService,
                                             Batch aBatch,
                                             CrashService::SendNumber aSend)
{
  const Instant begin = Now().steady;
  std::vector<BatchItemResult> results;
  BatchEnd end = BatchEnd::HeldBack;
  const LimitTicket ticket =
    co_await limits_.Acquire(aBatch.backend, UrgencyOf(aService, aBatch));
  if (ticket.place != LimitPlace::Refused) {
    try {
      end = co_await CallReplica(aService, aBatch, aSend, ticket, results);
    } catch (...) {
      state_.tasks.Report("batch", std::current_exception());
      end = BatchEnd::Lost;
    }
  }
  const bool isLate = Now().steady >= aBatch.abandonAt;
  ReportEnd(aSend, end, isLate);
  if (end == BatchEnd::Lost && !isLate) {
    // Its pieces may have crashed the server and would crash the next. After a
    // time-out, a probe would tell too late.
    co_await crashes_.Detector().AwaitProbe(aBatch.backend);
  }
  const Instant now = Now().steady;
  const bool isSuccess = end == BatchEnd::Answered;
  state_.log.Write(isSuccess ? LogClass::Normal : LogClass::Failure,
                   isSuccess ? "batch-done" : "batch-failed",
                   { { "service", aService },
                     { "backend", aBatch.backend->id },
                     { "pieces", aBatch.items.size() },
                     { "expected", aBatch.expected },
                     { "took", now - begin },
                     { "left", aBatch.waitingPieces },
                     { "room-left", aBatch.freeMemory },
                     { "hold", aBatch.expectedHold },
                     { "owner", peers_.QueueOwnerOf(aService) },
                     { "end", static_cast<std::uint64_t>(end) } });
  state_.metrics.Count("stage_calls", "outcome", NameOf(end));
  Queue* const queue = FindOrCreateQueue(aService);
  // The retry of a call counts once per job against the retry budget of the
  // fleet.
  if (!isSuccess && end != BatchEnd::Unreachable && end != BatchEnd::HeldBack) {
    PieceJobId lastJob;
    for (const BatchItem& item : aBatch.items) {
      if (item.job != lastJob && !state_.retryBudget.Take(aService, now)) {
        state_.metrics.Count("repeats_refused", "service", aService);
      }
      lastJob = item.job;
    }
  }
  queue->queue.OnEnd(aBatch, end, results, now);
  queue->startTask.Request();
}

void PieceService::OnPeerMessage(const Route& aRoute,
                                 const PeerHeader& aHeader,
                                 PeerBody aBody)
{
  const Instant now = Now().steady;
  if (auto* const request = std::get_if<PieceRequest>(&aBody)) {
    request->job.due = now + request->dueIn;
    request->job.deadline = now + request->deadlineIn;
    const Incarnation requesterIncarnation = aHeader.sender.incarnation;
    const std::string owner = peers_.QueueOwnerOf(request->service);
    const bool isMoved =
      peers_.KnowsOwners() && MustMoveJob(request->job.moves, owner.empty());
    if (state_.IsStopping() || isMoved) {
      peers_.SendBack(aRoute,
                      requesterIncarnation,
                      PieceReply{ { request->job.id,
                                    PieceFailure::Moved,
                                    {},
                                    state_.IsStopping() ? "" : owner } });
      return;
    }
    peers_.SendBack(
      aRoute,
      requesterIncarnation,
      PieceAccepted{
        request->job.id,
        { request->service,
          std::min(request->job.priority, kPriorityClasses - 1),
          ExpectedLocalWait(request->service, request->job.priority) } });
    const PieceJobId id = request->job.id;
    try {
      Submit(request->service, request->job, { aRoute, requesterIncarnation });
    } catch (...) {
      // The requester would offer the job to the next owner.
      state_.tasks.Report("piece-request", std::current_exception());
      requesters_.erase(id);
      peers_.SendBack(aRoute,
                      requesterIncarnation,
                      PieceReply{ { id, PieceFailure::Error, {}, {} } });
    }
    return;
  }
  if (const auto* const accepted = std::get_if<PieceAccepted>(&aBody)) {
    const auto pending = pendingJobs_.find(accepted->id.number);
    if (pending != pendingJobs_.end() &&
        accepted->id.requester == state_.self.incarnation) {
      PendingJob& job = *pending->second;
      job.isAccepted = true;
      acceptTimes_.at(job.owner).OnSample(Now().steady - job.sentAt);
      peers_.OnQueueWait(job.owner, accepted->wait);
    }
    return;
  }
  if (auto* const reply = std::get_if<PieceReply>(&aBody)) {
    const auto pending = pendingJobs_.find(reply->end.id.number);
    if (pending != pendingJobs_.end() &&
        reply->end.id.requester == state_.self.incarnation &&
        !pending->second->end) {
      pending->second->end = std::move(reply->end);
      pending->second->timer.cancel();
      return;
    }
    // The reply is late or a duplicate, so its results are not needed.
    ReleaseLocally(std::move(reply->end.handles));
    return;
  }
  if (auto* const release = std::get_if<PieceFree>(&aBody)) {
    ReleaseLocally(std::move(release->handles));
    return;
  }
  if (const auto* const cancel = std::get_if<PieceCancel>(&aBody)) {
    const auto queue = queues_.find(cancel->service);
    if (queue != queues_.end()) {
      queue->second->queue.Cancel(cancel->id);
      ReleaseLocally(queue->second->queue.TakeOrphans());
    }
    requesters_.erase(cancel->id);
  }
}

void PieceService::Release(std::vector<StagePlan::Released> aReleased)
{
  for (StagePlan::Released& released : aReleased) {
    Release(released.service, std::move(released.handles));
  }
}

void PieceService::Release(const std::string& aService,
                           std::vector<std::string> aHandles)
{
  if (aHandles.empty()) {
    return;
  }
  const std::string owner = peers_.QueueOwnerOf(aService);
  if (owner.empty()) {
    ReleaseLocally(std::move(aHandles));
    return;
  }
  peers_.SendTo(owner, PieceFree{ aService, std::move(aHandles) });
}

void PieceService::ReleaseLocally(std::vector<std::string> aHandles)
{
  for (std::string& handle : aHandles) {
    resultsToRelease_[std::string(ProducerOf(handle))].push_back(
      std::move(handle));
  }
}

asio::awaitable<void> PieceService::ReleaseLoop()
{
  asio::steady_timer timer(state_.loop);
  for (;;) {
    timer.expires_after(kReleaseInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    for (auto& [address, handles] : std::exchange(resultsToRelease_, {})) {
      BackendPtr backend = state_.registry.FindByAddress(address);
      if (!backend) {
        continue;
      }
      const SendPermission permission =
        state_.permissions.Ask(*backend, LimitPlace::Open, Now().steady);
      // The results of a backend server that leaves expire with it, and nothing
      // else needs their room.
      if (permission.IsGranted()) {
        state_.tasks.Spawn(
          "release-call",
          SendReleaseCall(std::move(backend), std::move(handles)));
      } else if (permission.EndsByItself()) {
        KeepForLater(address, std::move(handles));
      }
    }
  }
}

void PieceService::KeepForLater(const std::string& aAddress,
                                std::vector<std::string> aHandles)
{
  std::vector<std::string>& kept = resultsToRelease_[aAddress];
  if (kept.size() < kMaxHeldReleases) {
    std::ranges::move(aHandles, std::back_inserter(kept));
  }
}

void PieceService::OnResultsReleased(std::span<const std::string> aHandles)
{
  for (auto& [service, queue] : queues_) {
    queue->queue.OnResultsReleased(aHandles, Now().steady);
    if (queue->queue.WaitingPieces() > 0) {
      queue->startTask.Request();
    }
  }
}

asio::awaitable<void> PieceService::SendReleaseCall(
  BackendPtr aBackend,
  std::vector<std::string> aHandles)
{
  const std::string& address = aBackend->address;
  const LimitTicket ticket =
    co_await limits_.Acquire(aBackend, kPriorityClasses);
  if (ticket.place == LimitPlace::Refused) {
    KeepForLater(address, std::move(aHandles));
    co_return;
  }
  const Instant deadline = Now().steady + kReleaseTimeout;
  BackendExchange exchange(state_.pool, address);
  if (co_await exchange.Connect(Reuse::Any, deadline) != ExchangeState::Ok) {
    co_return;
  }
  const SendPermission permission =
    SendIfGranted(state_,
                  exchange,
                  *aBackend,
                  SendPath::Release,
                  ticket,
                  ToReleaseCall(address, aHandles));
  if (!permission.IsGranted()) {
    if (permission.EndsByItself()) {
      KeepForLater(address, std::move(aHandles));
    }
    co_return;
  }
  const auto response =
    co_await ReadCallResponse(exchange, aBackend, SendPath::Release, deadline);
  if (!response) {
    state_.metrics.Count("results_not_freed", "", "");
    co_return;
  }
  const BackendResponseHead& head = response->head;
  // Without a time to wait for, further calls would be turned away as well.
  const bool isPutOff =
    head.isNotExecuted &&
    state_.permissions.Ask(*aBackend, LimitPlace::Open, Now().steady)
      .EndsByItself();
  if (isPutOff) {
    KeepForLater(address, std::move(aHandles));
  } else {
    OnResultsReleased(aHandles);
  }
  exchange.Finish(head.IdleTime(), !head.closes && !head.isNotExecuted);
}

} // namespace gypsum
