#include "servers/gateway/piece_service.h"

#include "drivers/clock.h"
#include "drivers/edge/backend_exchange.h"
#include "platform/backend_response_head.h"
#include "platform/piece_calls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** An owner answers within a round trip; lost packets repeat after 200 ms. */
constexpr Duration kAcceptTime = std::chrono::milliseconds(150);
/** How often a waiting job looks whether its owner lives. */
constexpr Duration kOwnerCheck = std::chrono::milliseconds(150);
/** Results are given up in groups, so often. */
constexpr Duration kFreeRound = std::chrono::milliseconds(20);
constexpr Duration kFreeTime = std::chrono::milliseconds(700);
constexpr std::size_t kMostAnswerBytes = 1'048'576;
constexpr unsigned kOk = 200;

} // namespace

PieceService::PieceService(GatewayState& aState, PeerExchange& aPeers)
  : state_(aState)
  , peers_(aPeers)
{
}

void PieceService::Start()
{
  asio::co_spawn(state_.loop, FreeLoop(), asio::detached);
}

PieceService::Queue* PieceService::QueueOf(const std::string& aService)
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
    .emplace(aService, std::make_unique<Queue>(state_.loop, *spec->batches))
    .first->second.get();
}

Duration PieceService::ExpectedWait(std::string_view aService,
                                    std::uint32_t aPriority) const
{
  const std::uint32_t priority = std::min(aPriority, kPriorities - 1);
  const std::string owner = peers_.QueueOwnerOf(aService);
  if (!owner.empty()) {
    return peers_.QueueWaitAt(owner, aService, priority).value_or(Duration{});
  }
  const auto found = queues_.find(aService);
  if (found == queues_.end()) {
    return Duration{};
  }
  return found->second->queue.ExpectedWait(
    priority, state_.registry.Usable(aService).size(), Now().steady);
}

std::vector<ServiceWait> PieceService::LocalQueueWaits() const
{
  std::vector<ServiceWait> waits;
  for (const auto& [service, queue] : queues_) {
    for (std::uint32_t priority = 0; priority < kPriorities; ++priority) {
      const Duration wait = queue->queue.ExpectedWait(
        priority, state_.registry.Usable(service).size(), Now().steady);
      if (wait.count() > 0) {
        waits.push_back({ service, priority, wait });
      }
    }
  }
  return waits;
}

asio::awaitable<PieceJobEnd> PieceService::Make(
  std::string aService,
  PieceJob aJob,
  CancellationToken& aCancellation)
{
  aJob.id = { state_.self.incarnation, ++lastNumber_ };
  const PieceJobId id = aJob.id;
  const Instant deadline = aJob.deadline;
  auto waiter = std::make_shared<Waiter>(state_.loop);
  waiters_[id.number] = waiter;
  const std::string owner = peers_.QueueOwnerOf(aService);
  const Incarnation ownerLife = peers_.IncarnationOf(owner);
  const Instant begin = Now().steady;
  bool isRemote = !owner.empty();
  if (isRemote) {
    peers_.SendTo(
      owner,
      PieceRequest{ aService, aJob, aJob.due - begin, aJob.deadline - begin });
  } else {
    Submit(aService, aJob, {});
  }
  while (!waiter->end && !aCancellation.IsCancelled()) {
    const Instant now = Now().steady;
    if (now >= deadline) {
      break;
    }
    const bool isRefused = !waiter->isAccepted && now >= begin + kAcceptTime;
    if (isRemote && (isRefused || !peers_.IsAlive(owner, ownerLife))) {
      state_.log.Write(LogClass::Failure,
                       "pieces-taken-over",
                       { { "id", aJob.attempt },
                         { "stage", aJob.stage },
                         { "owner", owner },
                         { "accepted", waiter->isAccepted ? 1U : 0U } });
      isRemote = false;
      peers_.SendTo(owner, PieceCancel{ aService, id });
      Submit(aService, aJob, {});
      continue;
    }
    Instant wakeAt = deadline;
    if (isRemote) {
      wakeAt = std::min(
        deadline, waiter->isAccepted ? now + kOwnerCheck : begin + kAcceptTime);
    }
    aCancellation.SetOnCancel([waiter] { waiter->timer.cancel(); });
    waiter->timer.expires_at(wakeAt);
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    aCancellation.ClearOnCancel();
  }
  waiters_.erase(id.number);
  if (waiter->end) {
    state_.metrics.RecordStageWait(aService, Now().steady - begin);
    co_return std::move(*waiter->end);
  }
  if (isRemote) {
    peers_.SendTo(owner, PieceCancel{ aService, id });
  } else if (Queue* const queue = QueueOf(aService)) {
    queue->queue.Cancel(id);
    FreeHere(queue->queue.TakeOrphans());
  }
  askers_.erase(id);
  co_return PieceJobEnd{ id, PieceFailure::Late, {} };
}

void PieceService::Submit(const std::string& aService,
                          PieceJob aJob,
                          Asker aAsker)
{
  const PieceJobId id = aJob.id;
  askers_[id] = std::move(aAsker);
  Queue* const queue = QueueOf(aService);
  if (!queue) {
    PieceJobEnd end{ id, PieceFailure::Error, {} };
    const Asker asker = std::exchange(askers_[id], {});
    askers_.erase(id);
    if (!asker.route.empty()) {
      peers_.SendBack(asker.route, asker.incarnation, PieceReply{ end });
    } else if (const auto waiter = waiters_.find(id.number);
               waiter != waiters_.end()) {
      waiter->second->end = std::move(end);
      waiter->second->timer.cancel();
    }
    return;
  }
  const Instant now = Now().steady;
  state_.retryBudget.OnRequest(aService, now);
  queue->queue.Add(std::move(aJob));
  Pump(aService);
}

void PieceService::Pump(const std::string& aService)
{
  Queue* const queue = QueueOf(aService);
  if (!queue) {
    return;
  }
  const auto& replicas = state_.registry.Usable(aService);
  while (auto batch = queue->queue.Next(replicas, Now().steady)) {
    asio::co_spawn(
      state_.loop, RunBatch(aService, std::move(*batch)), asio::detached);
  }
  DeliverEnded(*queue);
  if (const auto wakeAt = queue->queue.WakeAt()) {
    queue->timer.expires_at(*wakeAt);
    queue->timer.async_wait(
      [this, service = aService](boost::system::error_code aError) {
        if (!aError) {
          Pump(service);
        }
      });
  }
}

void PieceService::DeliverEnded(Queue& aQueue)
{
  FreeHere(aQueue.queue.TakeOrphans());
  for (PieceJobEnd& end : aQueue.queue.TakeEnded()) {
    const auto asker = askers_.find(end.id);
    if (asker == askers_.end()) {
      FreeHere(std::move(end.handles));
      continue;
    }
    const Asker to = std::move(asker->second);
    askers_.erase(asker);
    if (!to.route.empty()) {
      peers_.SendBack(to.route, to.incarnation, PieceReply{ std::move(end) });
      continue;
    }
    const auto waiter = waiters_.find(end.id.number);
    if (waiter == waiters_.end() || waiter->second->end) {
      FreeHere(std::move(end.handles));
      continue;
    }
    waiter->second->end = std::move(end);
    waiter->second->timer.cancel();
  }
}

asio::awaitable<BatchEnd> PieceService::CallReplica(
  const std::string& aService,
  const Batch& aBatch,
  std::vector<BatchItemResult>& aResults)
{
  Queue* const queue = QueueOf(aService);
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
  if (!state_.registry.IsUsable(*aBatch.backend)) {
    co_return BatchEnd::Rejected;
  }
  exchange.Send(std::move(call));
  if (co_await exchange.ReadHead(aBatch.abandonAt) != ExchangeState::Ok) {
    co_return BatchEnd::Lost;
  }
  const BackendResponseHead answer =
    DecodeBackendResponseHead(exchange.GetHead());
  const BodyPart body =
    co_await exchange.ReadRest(aBatch.abandonAt, kMostAnswerBytes);
  if (body.state != ExchangeState::Ok) {
    co_return BatchEnd::Lost;
  }
  exchange.Finish(answer.IdleTime(), !answer.closes);
  if (answer.isNotExecuted) {
    co_return BatchEnd::Rejected;
  }
  auto results = answer.status == kOk
                   ? DecodePieceResults(body.bytes, aBatch.items.size())
                   : std::nullopt;
  if (!results) {
    co_return BatchEnd::Lost;
  }
  aResults = std::move(*results);
  co_return BatchEnd::Answered;
}

asio::awaitable<void> PieceService::RunBatch(std::string aService, Batch aBatch)
{
  const Instant begin = Now().steady;
  std::vector<BatchItemResult> results;
  const BatchEnd end = co_await CallReplica(aService, aBatch, results);
  const Instant now = Now().steady;
  const bool isGood = end == BatchEnd::Answered;
  state_.log.Write(isGood ? LogClass::Normal : LogClass::Failure,
                   isGood ? "batch-done" : "batch-failed",
                   { { "service", aService },
                     { "backend", aBatch.backend->id },
                     { "pieces", aBatch.items.size() },
                     { "expected", aBatch.expected },
                     { "took", now - begin },
                     { "left", aBatch.waitingPieces },
                     { "room-left", aBatch.freeMemory },
                     { "hold", aBatch.expectedHold },
                     { "end", static_cast<std::uint64_t>(end) } });
  Queue* const queue = QueueOf(aService);
  // Repeated pieces draw on the fleet's budget, job by job.
  if (!isGood && end != BatchEnd::Unreachable) {
    PieceJobId last;
    for (const BatchItem& item : aBatch.items) {
      if (item.job != last && !state_.retryBudget.Take(aService, now)) {
        state_.metrics.Count("repeats_refused", "service", aService);
      }
      last = item.job;
    }
  }
  queue->queue.OnEnd(aBatch, end, results, now);
  Pump(aService);
}

void PieceService::OnPeerMessage(Route aRoute,
                                 const PeerHeader& aHeader,
                                 PeerBody aBody)
{
  const Instant now = Now().steady;
  if (auto* const request = std::get_if<PieceRequest>(&aBody)) {
    request->job.due = now + request->dueIn;
    request->job.deadline = now + request->deadlineIn;
    const Incarnation asker = aHeader.sender.incarnation;
    peers_.SendBack(aRoute, asker, PieceAccepted{ request->job.id });
    Submit(
      request->service, std::move(request->job), { std::move(aRoute), asker });
    return;
  }
  if (const auto* const accepted = std::get_if<PieceAccepted>(&aBody)) {
    const auto waiter = waiters_.find(accepted->id.number);
    if (waiter != waiters_.end() &&
        accepted->id.requester == state_.self.incarnation) {
      waiter->second->isAccepted = true;
    }
    return;
  }
  if (auto* const reply = std::get_if<PieceReply>(&aBody)) {
    const auto waiter = waiters_.find(reply->end.id.number);
    if (waiter != waiters_.end() &&
        reply->end.id.requester == state_.self.incarnation &&
        !waiter->second->end) {
      waiter->second->end = std::move(reply->end);
      waiter->second->timer.cancel();
      return;
    }
    // Too late, or the second of two: nobody reads them.
    FreeHere(std::move(reply->end.handles));
    return;
  }
  if (auto* const freed = std::get_if<PieceFree>(&aBody)) {
    FreeHere(std::move(freed->handles));
    return;
  }
  if (const auto* const cancel = std::get_if<PieceCancel>(&aBody)) {
    const auto queue = queues_.find(cancel->service);
    if (queue != queues_.end()) {
      queue->second->queue.Cancel(cancel->id);
      FreeHere(queue->second->queue.TakeOrphans());
    }
    askers_.erase(cancel->id);
  }
}

void PieceService::Free(std::vector<StagePlan::Released> aReleased)
{
  for (StagePlan::Released& released : aReleased) {
    Free(released.service, std::move(released.handles));
  }
}

void PieceService::Free(const std::string& aService,
                        std::vector<std::string> aHandles)
{
  if (aHandles.empty()) {
    return;
  }
  const std::string owner = peers_.QueueOwnerOf(aService);
  if (owner.empty()) {
    FreeHere(std::move(aHandles));
    return;
  }
  peers_.SendTo(owner, PieceFree{ aService, std::move(aHandles) });
}

void PieceService::FreeHere(std::vector<std::string> aHandles)
{
  for (std::string& handle : aHandles) {
    toFree_[std::string(ProducerOf(handle))].push_back(std::move(handle));
  }
}

asio::awaitable<void> PieceService::FreeLoop()
{
  asio::steady_timer timer(state_.loop);
  for (;;) {
    timer.expires_after(kFreeRound);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    for (auto& [address, handles] : std::exchange(toFree_, {})) {
      // A maker that is gone took its results along.
      if (state_.registry.FindByAddress(address)) {
        asio::co_spawn(
          state_.loop, FreeAt(address, std::move(handles)), asio::detached);
      }
    }
  }
}

void PieceService::OnResultsReleased(std::span<const std::string> aHandles)
{
  for (auto& [service, queue] : queues_) {
    queue->queue.OnResultsReleased(aHandles, Now().steady);
    if (queue->queue.WaitingPieces() > 0) {
      Pump(service);
    }
  }
}

asio::awaitable<void> PieceService::FreeAt(std::string aAddress,
                                           std::vector<std::string> aHandles)
{
  const Instant latest = Now().steady + kFreeTime;
  BackendExchange exchange(state_.pool, aAddress);
  if (co_await exchange.Connect(Reuse::Any, latest) != ExchangeState::Ok) {
    co_return;
  }
  exchange.Send(ToReleaseCall(aAddress, aHandles));
  if (co_await exchange.ReadHead(latest) != ExchangeState::Ok) {
    state_.metrics.Count("results_not_freed", "", "");
    co_return;
  }
  const BackendResponseHead answer =
    DecodeBackendResponseHead(exchange.GetHead());
  const BodyPart body = co_await exchange.ReadRest(latest, kMostAnswerBytes);
  OnResultsReleased(aHandles);
  if (body.state == ExchangeState::Ok) {
    exchange.Finish(answer.IdleTime(), !answer.closes);
  }
}

} // namespace gypsum
