#include "core/agent/agent_machine.h"

#include "core/hash.h"
#include "core/ownership/uuid_v7_time.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace gypsum {

namespace {

constexpr std::string_view kComponent = "agent";
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr std::size_t kMaxEntries = 4'096;
constexpr std::size_t kReplayWindow = 64; ///< In attempts per entry.
constexpr std::size_t kMaxWaitersPerStage = 16;
/** Each new service time changes the mean by 1/8 of the difference. */
constexpr int kMeanServiceSmoothing = 8;
/** Share of the concurrency for long inputs, so that short ones get through. */
constexpr unsigned kMaxLongEighths = 4;
/** A peer's report that this agent is listed as leaving expires after this. */
constexpr std::chrono::seconds kLeavingReportLifetime{ 2 };

struct Refusal
{
  Outcome outcome;
  ErrorKind error;
};

Refusal RefusalOf(Admission aAdmission)
{
  switch (aAdmission) {
    case Admission::Conflict:
      return { Outcome::NotRun, ErrorKind::KeyConflict };
    case Admission::Future:
      return { Outcome::NotRun, ErrorKind::KeyFromFuture };
    case Admission::Full:
      return { Outcome::NotRun, ErrorKind::RecordsFull };
    case Admission::RecordLost:
    case Admission::Expired:
      return { Outcome::Unknown, ErrorKind::OwnerForgot };
    case Admission::Run:
    case Admission::Join:
    case Admission::Replay:
      break;
  }
  return { Outcome::Unknown, ErrorKind::Internal };
}

ErrorKind ErrorOf(OwnershipStatus aStatus)
{
  switch (aStatus) {
    case OwnershipStatus::Owned:
      break;
    case OwnershipStatus::NotOwner:
      return ErrorKind::NotOwner;
    case OwnershipStatus::Unreleased:
      return ErrorKind::OwnerMoving;
    case OwnershipStatus::RecordLost:
      return ErrorKind::OwnerForgot;
  }
  return ErrorKind::Internal;
}

} // namespace

AgentMachine::AgentMachine(AgentOptions aOptions, ClockReading aStart)
  : options_(std::move(aOptions))
  , records_(options_.records, aStart)
  , ownership_({ options_.self.name, options_.peerAddress })
  , queue_(options_.policy.queue)
  , seen_({ kMaxEntries,
            kReplayWindow,
            2 * (options_.records.lifetime + options_.records.clockError) })
{
}

AgentEffects AgentMachine::Handle(AgentEvent aEvent, ClockReading aNow)
{
  now_ = aNow;
  std::visit([this](auto& aBody) { On(aBody); }, aEvent);
  return std::exchange(effects_, {});
}

void AgentMachine::On(AgentMessage& aEvent)
{
  const PeerHeader& header = aEvent.message.header;
  const bool isForAnyone =
    std::holds_alternative<Hello>(aEvent.message.body) ||
    std::holds_alternative<ReleaseRequest>(aEvent.message.body);
  if (!isForAnyone && header.target != options_.self.incarnation) {
    ++counters_.misdirected;
    return;
  }
  std::visit([&](auto& aBody) { OnBody(aEvent, aBody); }, aEvent.message.body);
}

template<typename UnexpectedBody>
void AgentMachine::OnBody(const AgentMessage& /*aEvent*/,
                          UnexpectedBody& /*aBody*/)
{
  ++counters_.misdirected;
}

void AgentMachine::OnBody(const AgentMessage& aEvent, Hello& aBody)
{
  const bool wasLeaving = IsLeaving();
  const Incarnation entry = aEvent.message.header.sender.incarnation;
  knownEntries_.Update(aEvent.route, entry, now_.steady);
  if (aBody.isListedLeaving) {
    reportedLeavingUntil_ = now_.steady + kLeavingReportLifetime;
  }
  AnnounceIfLeavingChanged(wasLeaving);
  Send(aEvent.route, entry, Load());
}

void AgentMachine::OnBody(const AgentMessage& aEvent, StageRequest& aBody)
{
  const AttemptStatus attemptStatus = seen_.Mark(aBody.id, now_.steady);
  shutdownLinger_.OnTraffic(now_.steady);
  if (!aBody.isRepeatable && records_.Find(aBody.id)) {
    AdmitOwned(aEvent, aBody, attemptStatus);
    return;
  }
  if (attemptStatus == AttemptStatus::Seen) {
    ++counters_.duplicates;
    return;
  }
  if (attemptStatus != AttemptStatus::New) {
    Refuse(aEvent.route, aBody.id, Outcome::Unknown, ErrorKind::RecordsFull);
    return;
  }
  if (Checksum(aBody.input) != aBody.checksum) {
    ++counters_.corrupt;
    Refuse(aEvent.route,
           aBody.id,
           aBody.isRepeatable ? Outcome::NotRun : Outcome::Unknown,
           ErrorKind::CorruptResult);
    return;
  }
  if (!aBody.isRepeatable) {
    AdmitOwned(aEvent, aBody, attemptStatus);
    return;
  }
  if (IsLeaving()) {
    Refuse(aEvent.route, aBody.id, Outcome::NotRun, ErrorKind::Stopping);
    return;
  }
  Enqueue(aEvent.route, std::move(aBody));
}

void AgentMachine::AdmitOwned(const AgentMessage& aEvent,
                              StageRequest& aRequest,
                              AttemptStatus aAttemptStatus)
{
  const OwnershipStatus ownershipStatus = CheckOwnership(aRequest.id.request);
  if (ownershipStatus != OwnershipStatus::Owned &&
      !records_.Find(aRequest.id)) {
    Refuse(
      aEvent.route, aRequest.id, Outcome::Unknown, ErrorOf(ownershipStatus));
    return;
  }
  const Admission admission =
    records_.Admit(aRequest.id, aRequest.requestHash, now_);
  switch (admission) {
    case Admission::Run:
      if (IsLeaving()) {
        records_.Withdraw(aRequest.id);
        Refuse(aEvent.route, aRequest.id, Outcome::NotRun, ErrorKind::Stopping);
        return;
      }
      Enqueue(aEvent.route, std::move(aRequest));
      return;
    case Admission::Join:
      if (aAttemptStatus == AttemptStatus::New) {
        Join(aEvent, aRequest);
      } else {
        ++counters_.duplicates;
      }
      return;
    case Admission::Replay: {
      ++counters_.replayed;
      StageReply reply = records_.Find(aRequest.id)->reply;
      reply.id = aRequest.id;
      Reply(aEvent.route, std::move(reply));
      return;
    }
    default:
      break;
  }
  const Refusal refusal = RefusalOf(admission);
  Refuse(aEvent.route, aRequest.id, refusal.outcome, refusal.error);
}

void AgentMachine::Join(const AgentMessage& aEvent,
                        const StageRequest& aRequest)
{
  auto& waiters = waiters_[{ aRequest.id.request, aRequest.id.stage }];
  if (waiters.size() >= kMaxWaitersPerStage) {
    Refuse(aEvent.route, aRequest.id, Outcome::Unknown, ErrorKind::Overloaded);
    return;
  }
  ++counters_.joined;
  waiters.push_back(
    { aEvent.route, aRequest.id, now_.steady + aRequest.budget });
}

bool AgentMachine::RemoveWaiter(const StageId& aId)
{
  const auto waiters = waiters_.find({ aId.request, aId.stage });
  if (waiters == waiters_.end()) {
    return false;
  }
  const bool isFound = std::erase_if(waiters->second, [&](const Waiter& aItem) {
                         return aItem.id == aId;
                       }) > 0;
  if (waiters->second.empty()) {
    waiters_.erase(waiters);
  }
  return isFound;
}

std::optional<AgentMachine::Waiter> AgentMachine::TakeWaiter(const StageId& aId)
{
  const auto waiters = waiters_.find({ aId.request, aId.stage });
  if (waiters == waiters_.end()) {
    return std::nullopt;
  }
  const auto latest =
    std::ranges::max_element(waiters->second, {}, &Waiter::deadline);
  if (latest->deadline <= now_.steady) {
    return std::nullopt;
  }
  const Waiter waiter = *latest;
  RemoveWaiter(waiter.id);
  return waiter;
}

void AgentMachine::Enqueue(const Route& aRoute, StageRequest aRequest)
{
  if (queue_.Size() >= options_.maxQueued) {
    if (!aRequest.isRepeatable) {
      records_.Withdraw(aRequest.id);
    }
    Refuse(aRoute, aRequest.id, Outcome::NotRun, ErrorKind::Overloaded);
    return;
  }
  const Instant deadline = now_.steady + aRequest.budget;
  queue_.Push({ aRoute, std::move(aRequest), now_.steady, deadline });
  StartQueued();
}

void AgentMachine::OnBody(const AgentMessage& aEvent, Cancel& aBody)
{
  auto queued = queue_.Remove(aBody.id);
  if (queued) {
    RejectQueued(std::move(*queued), ErrorKind::DeadlineExceeded);
    return;
  }
  const auto running = std::ranges::find_if(running_, [&](const auto& aItem) {
    return aItem.second.request.id == aBody.id;
  });
  if (running != running_.end() && running->second.request.isRepeatable) {
    running->second.isCancelled = true;
    effects_.emplace_back(AbortBackend{ running->first });
  }
  RemoveWaiter(aBody.id);
  // Only an attempt that has never arrived is known not to have run. Marking it
  // as seen keeps it from running if it arrives later.
  const bool isNew = seen_.Mark(aBody.id, now_.steady) == AttemptStatus::New;
  counters_.tombstones += isNew ? 1 : 0;
  Refuse(aEvent.route,
         aBody.id,
         isNew ? Outcome::NotRun : Outcome::Unknown,
         ErrorKind::DeadlineExceeded);
}

void AgentMachine::RejectQueued(QueuedStage aStage, ErrorKind aError)
{
  const StageId id = aStage.request.id;
  const Route route = aStage.route;
  if (aStage.request.isRepeatable) {
    Refuse(route, id, Outcome::NotRun, aError);
    return;
  }
  if (auto waiter = TakeWaiter(id)) {
    // The key stays queued for an attempt whose deadline has not passed.
    aStage.route = std::move(waiter->route);
    aStage.request.id = waiter->id;
    aStage.deadline = waiter->deadline;
    queue_.Push(std::move(aStage));
    Refuse(route, id, Outcome::Unknown, aError);
    return;
  }
  Withdraw(route, id, Outcome::NotRun, aError);
}

void AgentMachine::Withdraw(const Route& aRoute,
                            const StageId& aId,
                            Outcome aOutcome,
                            ErrorKind aError)
{
  records_.Withdraw(aId);
  const auto waiters = waiters_.extract({ aId.request, aId.stage });
  Refuse(aRoute, aId, aOutcome, aError);
  if (!waiters.empty()) {
    for (const Waiter& waiter : waiters.mapped()) {
      Refuse(waiter.route, waiter.id, aOutcome, aError);
    }
  }
}

void AgentMachine::StartQueued()
{
  for (QueuedStage& late : queue_.RemoveExpired(now_.steady)) {
    RejectQueued(std::move(late), ErrorKind::DeadlineExceeded);
  }
  while (running_.size() < Concurrency()) {
    auto stage = queue_.Pop(now_.steady, MayStartLong());
    if (!stage) {
      return;
    }
    const StageId& id = stage->request.id;
    const OwnershipStatus ownershipStatus = stage->request.isRepeatable
                                              ? OwnershipStatus::Owned
                                              : CheckOwnership(id.request);
    if (ownershipStatus != OwnershipStatus::Owned) {
      // Ownership of the key changed while the stage was queued; the new owner
      // may run it, so the outcome is unknown.
      Withdraw(stage->route, id, Outcome::Unknown, ErrorOf(ownershipStatus));
      continue;
    }
    Start(std::move(*stage));
  }
}

bool AgentMachine::MayStartLong() const
{
  if (options_.policy.queue != QueueKind::Fair) {
    return true;
  }
  const auto running = std::ranges::count_if(running_, [](const auto& aItem) {
    return HasLongInput(aItem.second.request);
  });
  const std::uint32_t maxLong =
    std::max(1U, Concurrency() * kMaxLongEighths / 8);
  return static_cast<std::uint32_t>(running) < maxLong;
}

void AgentMachine::Start(QueuedStage aStage)
{
  const std::uint64_t call = nextCall_++;
  const StageRequest& request = aStage.request;
  ++counters_.executed;
  effects_.emplace_back(CallBackend{ call,
                                     request.operation,
                                     request.id.request,
                                     request.input,
                                     aStage.deadline - now_.steady,
                                     request.isRepeatable,
                                     request.priority });
  running_.emplace(call,
                   RunningCall{ std::move(aStage.route),
                                std::move(aStage.request),
                                aStage.arrival,
                                now_.steady,
                                false });
}

void AgentMachine::On(BackendReturned& aEvent)
{
  auto node = running_.extract(aEvent.call);
  if (node.empty()) {
    return;
  }
  RunningCall& running = node.mapped();
  StageReply reply;
  reply.id = running.request.id;
  reply.serviceTime = now_.steady - running.startedAt;
  reply.queueTime = running.startedAt - running.queuedAt;
  const unsigned status = aEvent.result.httpStatus;
  if (status >= kFirstSuccess && status < kFirstRedirect) {
    reply.outcome = Outcome::Complete;
    reply.output = std::move(aEvent.result.body);
    reply.checksum = Checksum(reply.output);
    queue_.OnServed(running.request, reply.serviceTime);
    meanService_ += (reply.serviceTime - meanService_) / kMeanServiceSmoothing;
  } else {
    reply.outcome = aEvent.result.wasSent ? Outcome::Unknown : Outcome::NotRun;
    reply.error = ErrorKind::BackendFailed;
  }
  ReplyToAll(running, std::move(reply));
  shutdownLinger_.OnTraffic(now_.steady);
  StartQueued();
}

void AgentMachine::ReplyToAll(const RunningCall& aRunning, StageReply aReply)
{
  if (aRunning.request.isRepeatable) {
    if (!aRunning.isCancelled) {
      Reply(aRunning.route, std::move(aReply));
    }
    return;
  }
  const StageId& id = aRunning.request.id;
  if (aReply.outcome == Outcome::NotRun) {
    records_.Withdraw(id);
  } else {
    records_.Finish(id, aReply, now_.steady);
  }
  const auto waiters = waiters_.extract({ id.request, id.stage });
  if (!waiters.empty()) {
    for (const Waiter& waiter : waiters.mapped()) {
      StageReply copy = aReply;
      copy.id = waiter.id;
      Reply(waiter.route, std::move(copy));
    }
  }
  Reply(aRunning.route, std::move(aReply));
}

void AgentMachine::On(AgentManifestAdopted& aEvent)
{
  if (aEvent.manifest->revision <= ActiveRevision()) {
    return;
  }
  manifest_ = std::move(aEvent.manifest);
  ownership_.Adopt(*manifest_,
                   { manifest_->revision,
                     records_.ForgottenUntil(now_.wall),
                     now_.steady + records_.RetentionPeriod() });
  RequestReleases();
  StartQueued();
}

void AgentMachine::On(AgentLeavingListUpdated& aEvent)
{
  const bool wasLeaving = IsLeaving();
  isListedLeaving_ = std::ranges::find(aEvent.replicas, options_.self.name) !=
                     aEvent.replicas.end();
  AnnounceIfLeavingChanged(wasLeaving);
}

void AgentMachine::AnnounceIfLeavingChanged(bool aWasLeaving)
{
  if (IsLeaving() == aWasLeaving) {
    return;
  }
  effects_.emplace_back(
    LogLine{ Severity::Info,
             kComponent,
             aWasLeaving ? "no longer leaving, accepting new work again"
                         : "leaving, finishing accepted work" });
  // Entries poll their agents in turn; with many agents they would otherwise
  // learn of the change late.
  for (const auto& [incarnation, route] : knownEntries_.All()) {
    Send(route, incarnation, Load());
  }
}

bool AgentMachine::IsLeaving() const
{
  return isStopping_ || isListedLeaving_ || now_.steady < reportedLeavingUntil_;
}

void AgentMachine::On(AgentStopRequested& /*aEvent*/)
{
  const bool wasLeaving = IsLeaving();
  isStopping_ = true;
  shutdownLinger_.Begin(now_.steady);
  AnnounceIfLeavingChanged(wasLeaving);
}

OwnershipStatus AgentMachine::CheckOwnership(const RequestId& aId) const
{
  return ownership_.Check(aId, UuidV7Time(aId.key), now_.steady);
}

void AgentMachine::RequestReleases()
{
  for (DueReleaseRequest& due :
       release_.TakeDueRequests(ownership_, ActiveRevision(), now_.steady)) {
    PeerHeader header{ options_.self, 0, ActiveRevision() };
    effects_.emplace_back(SendTo{
      due.slot.address, { std::move(header), std::move(due.request) } });
  }
}

void AgentMachine::OnBody(const AgentMessage& aEvent, ReleaseRequest& aBody)
{
  auto reply =
    KeyRelease::MakeReply(aBody, ownership_, records_, ActiveRevision(), now_);
  if (reply) {
    Send(aEvent.route,
         aEvent.message.header.sender.incarnation,
         std::move(*reply));
  }
}

void AgentMachine::OnBody(const AgentMessage& aEvent, ReleaseReply& aBody)
{
  release_.OnReply(aBody,
                   aEvent.message.header.sender.incarnation,
                   ownership_,
                   records_,
                   ActiveRevision(),
                   now_);
  RequestReleases();
}

void AgentMachine::On(AgentTick& /*aEvent*/)
{
  RequestReleases();
  StartQueued();
  knownEntries_.Expire(now_.steady);
  ReportIfDrained();
}

void AgentMachine::ReportIfDrained()
{
  const bool isEmpty = running_.empty() && queue_.Size() == 0;
  if (isStopping_ && isEmpty && shutdownLinger_.IsOver(now_.steady)) {
    effects_.emplace_back(AgentDrained{});
  }
}

void AgentMachine::Refuse(const Route& aRoute,
                          const StageId& aId,
                          Outcome aOutcome,
                          ErrorKind aError)
{
  ++counters_.refused;
  StageReply reply;
  reply.id = aId;
  reply.outcome = aOutcome;
  reply.error = aError;
  reply.retryAfter = ErrorResponseOf(aError).retryAfter;
  Reply(aRoute, std::move(reply));
}

void AgentMachine::Reply(const Route& aRoute, StageReply aReply)
{
  aReply.load = Load();
  const Incarnation entry = aReply.id.entry;
  Send(aRoute, entry, std::move(aReply));
}

void AgentMachine::Send(const Route& aRoute,
                        Incarnation aTarget,
                        PeerBody aBody)
{
  PeerHeader header{ options_.self, aTarget, ActiveRevision() };
  effects_.emplace_back(
    SendBack{ aRoute, { std::move(header), std::move(aBody) } });
}

Report AgentMachine::Load() const
{
  return { static_cast<std::uint32_t>(queue_.Size()),
           static_cast<std::uint32_t>(running_.size()),
           Concurrency(),
           IsLeaving(),
           meanService_ };
}

std::uint32_t AgentMachine::Concurrency() const
{
  const Replica* const replica =
    manifest_ ? manifest_->FindReplica(options_.self.name) : nullptr;
  const ServiceSpec* const service =
    replica ? manifest_->FindService(replica->service) : nullptr;
  return service ? service->concurrency : options_.defaultConcurrency;
}

Revision AgentMachine::ActiveRevision() const
{
  return manifest_ ? manifest_->revision : 0;
}

void AgentMachine::Describe(boost::json::object& aState) const
{
  aState["name"] = options_.self.name;
  aState["incarnation"] = options_.self.incarnation;
  aState["revision"] = ActiveRevision();
  aState["leaving"] = IsLeaving();
  aState["stopping"] = isStopping_;
  aState["queued"] = queue_.Size();
  aState["running"] = running_.size();
  aState["concurrency"] = Concurrency();
  aState["records"] = records_.Size();
  aState["record_output_bytes"] = records_.OutputBytes();
  aState["unreleased_slots"] = ownership_.Unreleased().size();
  aState["entries_seen"] = seen_.Size();
  aState["tombstones"] = counters_.tombstones;
  aState["duplicates"] = counters_.duplicates;
  aState["executed"] = counters_.executed;
  aState["refused"] = counters_.refused;
  aState["replayed"] = counters_.replayed;
  aState["joined"] = counters_.joined;
  aState["misdirected"] = counters_.misdirected;
  aState["corrupt"] = counters_.corrupt;
  boost::json::object& inFlight = aState["in_flight"].emplace_object();
  for (const auto& [call, running] : running_) {
    boost::json::object& info =
      inFlight[ToText(running.request.id)].emplace_object();
    info["operation"] = running.request.operation;
    info["repeatable"] = running.request.isRepeatable;
    info["cancelled"] = running.isCancelled;
    info["queue_us"] = (running.startedAt - running.queuedAt).count();
    info["running_us"] = (now_.steady - running.startedAt).count();
  }
}

} // namespace gypsum
