#include "core/gateway/batch_queue.h"

#include "core/gateway/job_moves.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

namespace gypsum {

namespace {

/** Price of a megabyte that crosses zones, as time added to its call. */
constexpr Duration kCrossZoneCostPerMegabyte = std::chrono::milliseconds(20);
/** A call times out after its expected time multiplied by the factor, plus the
 * margin. */
constexpr double kCallTimeoutFactor = 3.0;
constexpr Duration kCallTimeoutMargin = std::chrono::milliseconds(150);
/** A job fails once its pieces have failed more often than this in total. */
constexpr std::uint32_t kMaxFailures = 6;
/** Latency ratios decay towards 1 with this half-life. */
constexpr Duration kLatencyRatioHalfLife = std::chrono::milliseconds(4'000);
/** Weight of one call; high, as calls are few and similar. */
constexpr double kLatencyRatioWeight = 0.5;
/** Backoff of a replica after a failed call; doubles with each further one. */
constexpr Duration kInitialFailureBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxFailureBackoff = std::chrono::milliseconds(1'600);
/** Expected wait reported while there is no replica. */
constexpr Duration kNoReplicaWait = std::chrono::seconds(10);
/** Backoff of a full replica; doubles with each further rejection. */
constexpr Duration kInitialFullBackoff = std::chrono::milliseconds(30);
/** About the duration of one call. */
constexpr Duration kMaxFullBackoff = std::chrono::milliseconds(240);
/** Backoff of a replica without free memory: about the duration of one
 * request. */
constexpr Duration kNoMemoryBackoff = std::chrono::milliseconds(250);
/** Initial estimate of the time from a result to the first event of the answer
 * that uses it. */
constexpr double kInitialHoldMs = 600.0;
/** Weight of one result; low, as there are tens of results per second. */
constexpr double kHoldWeight = 0.05;
/** A job is large if its results need more than the memory of a replica divided
 * by this. Large jobs get memory in order; smaller ones overtake them. */
constexpr std::uint64_t kLargeJobDivisor = 50;
/** Weight of one call in the share of jobs in time; low, as there are tens of
 * calls per second. */
constexpr double kInTimeShareWeight = 0.05;
/** Results smaller than the memory of a replica divided by this do not count in
 * the hold time, as no job waits for their memory. */
constexpr std::uint64_t kHoldSampleDivisor = 1'000;
/** A queue of up to this many jobs is ordered anew at each event. */
constexpr std::size_t kShortQueue = 32;
/** Time for which a longer queue keeps its order; short beside a call. */
constexpr Duration kOrderInterval = std::chrono::milliseconds(10);
/** Usable share of the configured memory, as result sizes are estimates. */
constexpr double kUsableMemoryShare = 0.95;

Duration Scaled(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

BatchQueue::BatchQueue(BatchSpec aSpec)
  : spec_(aSpec)
  , holdMs_(kInitialHoldMs)
{
}

Duration BatchQueue::CallTimeOf(std::size_t aPieces) const
{
  return spec_.fixedCallTime +
         spec_.pieceTime * static_cast<std::int64_t>(aPieces);
}

double BatchQueue::LatencyRatioOf(const ReplicaState& aReplica,
                                  Instant aNow) const
{
  const double halfLives =
    static_cast<double>((aNow - aReplica.latencyRatioAt).count()) /
    static_cast<double>(kLatencyRatioHalfLife.count());
  return 1.0 +
         (aReplica.latencyRatio - 1.0) * std::exp2(-std::max(0.0, halfLives));
}

BatchQueue::JobState* BatchQueue::StateOf(PieceJobId aId)
{
  const auto found = jobs_.find(aId);
  return found == jobs_.end() ? nullptr : &found->second;
}

const PieceJob* BatchQueue::Find(PieceJobId aId) const
{
  const auto found = jobs_.find(aId);
  return found == jobs_.end() ? nullptr : &found->second.job;
}

void BatchQueue::Add(PieceJob aJob)
{
  if (jobs_.contains(aJob.id)) {
    return;
  }
  const PieceJobId id = aJob.id;
  JobState state;
  state.handles.resize(aJob.pieces);
  state.waiting.resize(aJob.pieces);
  std::iota(state.waiting.rbegin(), state.waiting.rend(), 0U);
  state.missing = aJob.pieces;
  state.job = std::move(aJob);
  const std::size_t pieces = state.waiting.size();
  jobs_.emplace(id, std::move(state));
  waitingPieces_ += pieces;
  ++unorderedJobs_;
}

void BatchQueue::Erase(PieceJobId aId)
{
  const auto found = jobs_.find(aId);
  waitingPieces_ -= found->second.waiting.size();
  if (found->second.position) {
    order_[*found->second.position] = nullptr;
  }
  jobs_.erase(found);
}

void BatchQueue::Cancel(PieceJobId aId)
{
  if (JobState* const state = StateOf(aId)) {
    OrphanResults(*state);
    Erase(aId);
  }
}

void BatchQueue::OrphanResults(JobState& aState)
{
  std::ranges::copy_if(
    aState.handles,
    std::back_inserter(orphans_),
    [](const std::string& aHandle) { return !aHandle.empty(); });
}

Duration BatchQueue::HoldTime() const
{
  return Duration(static_cast<std::int64_t>(holdMs_ * 1'000.0));
}

void BatchQueue::OnResultsReleased(std::span<const std::string> aHandles,
                                   Instant aNow)
{
  for (const std::string& handle : aHandles) {
    const auto result = results_.find(handle);
    if (result == results_.end()) {
      continue;
    }
    std::uint64_t& used = replicas_[result->second.replica].usedBytes;
    used -= std::min(used, result->second.bytes);
    if (result->second.bytes > spec_.resultCapacityBytes / kHoldSampleDivisor) {
      const double heldMs = std::chrono::duration<double, std::milli>(
                              aNow - result->second.computedAt)
                              .count();
      holdMs_ += kHoldWeight * (heldMs - holdMs_);
    }
    results_.erase(result);
  }
}

void BatchQueue::ExpireResults(Instant aNow)
{
  while (!expiries_.empty() && expiries_.front().first <= aNow) {
    const auto result = results_.find(expiries_.front().second);
    if (result != results_.end()) {
      std::uint64_t& used = replicas_[result->second.replica].usedBytes;
      used -= std::min(used, result->second.bytes);
      results_.erase(result);
    }
    expiries_.pop_front();
  }
}

std::uint64_t BatchQueue::FreeMemoryOf(const ReplicaState& aReplica) const
{
  if (spec_.resultCapacityBytes == 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const auto planned = static_cast<std::uint64_t>(
    kUsableMemoryShare * static_cast<double>(spec_.resultCapacityBytes));
  return planned - std::min(planned, aReplica.usedBytes);
}

void BatchQueue::Finish(JobState& aState, PieceFailure aFailure)
{
  const PieceJobId id = aState.job.id;
  PieceJobEnd end{ id, aFailure, {}, {} };
  if (aFailure == PieceFailure::None) {
    end.handles = std::move(aState.handles);
  } else {
    OrphanResults(aState);
  }
  ended_.push_back(std::move(end));
  Erase(id);
}

std::vector<PieceJobId> BatchQueue::WaitingJobs() const
{
  std::vector<PieceJobId> waiting;
  for (const auto& [id, state] : jobs_) {
    if (!state.waiting.empty()) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

void BatchQueue::Admit(PieceJobId aId, PieceAdmission aAdmission)
{
  if (JobState* const state = StateOf(aId)) {
    state->admission = aAdmission;
    hasHeldJobs_ = hasHeldJobs_ || aAdmission != PieceAdmission::Shared;
  }
}

void BatchQueue::AdmitAll()
{
  if (!std::exchange(hasHeldJobs_, false)) {
    return;
  }
  for (auto& [id, state] : jobs_) {
    state.admission = PieceAdmission::Shared;
  }
}

void BatchQueue::Fail(PieceJobId aId)
{
  if (JobState* const state = StateOf(aId)) {
    Finish(*state, PieceFailure::Error);
  }
}

void BatchQueue::HandOver(Leaving aLeaving)
{
  std::vector<PieceJobId> leaving;
  for (const auto& [id, state] : jobs_) {
    const bool hasBegun = state.waiting.size() < state.job.pieces;
    if (aLeaving == Leaving::All || !hasBegun) {
      leaving.push_back(id);
    }
  }
  for (const PieceJobId& id : leaving) {
    Finish(*StateOf(id), PieceFailure::Moved);
  }
}

void BatchQueue::MoveTo(std::string_view aNextOwner)
{
  std::vector<PieceJobId> leaving;
  for (const auto& [id, state] : jobs_) {
    const bool hasBegun = state.waiting.size() < state.job.pieces;
    if (!hasBegun && MustMoveJob(state.job.moves, false)) {
      leaving.push_back(id);
    }
  }
  for (const PieceJobId& id : leaving) {
    Finish(*StateOf(id), PieceFailure::Moved);
    ended_.back().nextOwner = aNextOwner;
  }
}

std::vector<PieceJobEnd> BatchQueue::TakeEnded()
{
  return std::exchange(ended_, {});
}

void BatchQueue::FailLateJobs(Instant aNextStart)
{
  std::vector<PieceJobId> late;
  for (const auto& [id, state] : jobs_) {
    if (!state.waiting.empty() &&
        state.job.deadline < aNextStart + CallTimeOf(1)) {
      late.push_back(id);
    }
  }
  for (const PieceJobId& id : late) {
    Finish(*StateOf(id), PieceFailure::Late);
  }
}

StageCapacity BatchQueue::CapacityOf(
  std::span<const Candidate> aCandidates) const
{
  StageCapacity capacity;
  capacity.inTimeShare = inTimeShare_;
  const auto replicas = static_cast<double>(aCandidates.size());
  const double callMs =
    std::chrono::duration<double, std::milli>(CallTimeOf(spec_.maxPieces))
      .count();
  capacity.piecesPerMs = replicas * spec_.maxPieces / callMs;
  if (spec_.resultCapacityBytes > 0) {
    capacity.bytesPerMs = replicas *
                          static_cast<double>(spec_.resultCapacityBytes) /
                          (holdMs_ + callMs);
  }
  for (const Candidate& candidate : aCandidates) {
    capacity.freeBytes +=
      std::min(candidate.freeMemory, spec_.resultCapacityBytes);
  }
  return capacity;
}

bool BatchQueue::IsOrderDue(Instant aNow) const
{
  return jobs_.size() <= kShortQueue || aNow >= orderedAt_ + kOrderInterval;
}

void BatchQueue::Reorder(std::span<const Candidate> aCandidates, Instant aNow)
{
  std::vector<JobState*> states;
  std::vector<ScheduledJob> jobs;
  for (auto& [id, state] : jobs_) {
    state.position.reset();
    if (state.waiting.empty() || state.admission == PieceAdmission::Wait) {
      continue;
    }
    const auto pieces = static_cast<std::uint32_t>(state.waiting.size());
    states.push_back(&state);
    // If more pieces wait than fit into a call, other jobs fill up its call.
    const std::uint32_t inCall = waitingPieces_ > spec_.maxPieces
                                   ? spec_.maxPieces
                                   : std::min(pieces, spec_.maxPieces);
    jobs.push_back({ state.job.priority,
                     state.job.due,
                     CallTimeOf(inCall),
                     pieces,
                     IsLarge(state) ? state.job.resultBytes * pieces : 0 });
  }
  const StageSchedule schedule =
    ScheduleJobs(jobs, CapacityOf(aCandidates), aNow);
  order_.clear();
  orderBegin_ = 0;
  for (std::size_t position = 0; position < schedule.order.size(); ++position) {
    JobState* const state = states[schedule.order[position]];
    state->isInTime = position < schedule.inTime;
    const Instant start = aNow + schedule.startsIn[position];
    if (!aCandidates.empty() && start + CallTimeOf(1) > state->job.deadline) {
      Finish(*state, PieceFailure::Late);
      continue;
    }
    state->position = order_.size();
    order_.push_back(state);
  }
  orderedAt_ = aNow;
  orderedJobs_ += jobs.size();
  unorderedJobs_ = 0;
}

bool BatchQueue::MayBeSent(const JobState* aState)
{
  return aState && !aState->waiting.empty() &&
         aState->admission != PieceAdmission::Wait;
}

std::span<BatchQueue::JobState* const> BatchQueue::WaitingOrder()
{
  const auto first =
    std::find_if(order_.begin() + static_cast<std::ptrdiff_t>(orderBegin_),
                 order_.end(),
                 MayBeSent);
  orderBegin_ = static_cast<std::size_t>(first - order_.begin());
  return std::span(order_).subspan(orderBegin_);
}

bool BatchQueue::IsLarge(const JobState& aState) const
{
  return spec_.resultCapacityBytes > 0 &&
         aState.job.resultBytes * aState.waiting.size() >
           spec_.resultCapacityBytes / kLargeJobDivisor;
}

bool BatchQueue::Fits(const JobState& aState, std::uint64_t aFreeMemory) const
{
  // Pieces of a large job may go to several replicas, but only if memory is
  // free for all of them: results of half a job would only occupy it.
  const std::uint64_t bytes = aState.job.resultBytes * aState.waiting.size();
  const bool fitsAllPieces =
    bytes <= idleFreeMemory_ || bytes > spec_.resultCapacityBytes;
  return aState.job.resultBytes <= aFreeMemory &&
         (!IsLarge(aState) || fitsAllPieces);
}

std::vector<BatchItem> BatchQueue::TakePieces(std::span<JobState* const> aJobs,
                                              std::size_t aIdle,
                                              std::uint64_t aFreeMemory,
                                              std::string_view aZone)
{
  // Idle replicas share the waiting pieces: two short calls finish before one
  // long call.
  const std::size_t idle = std::max<std::size_t>(1, aIdle);
  // More pieces than these make no difference.
  const std::size_t mostWaiting =
    spec_.maxPieces * std::max(idle, replicas_.size());
  std::size_t waiting = 0;
  for (const JobState* const state : aJobs) {
    waiting += state ? state->waiting.size() : 0;
    if (waiting >= mostWaiting) {
      break;
    }
  }
  const std::size_t share = (waiting + idle - 1) / idle;
  // With more than half a call per replica waiting, full calls matter more than
  // the preferred zone.
  const bool isBacklog = waiting * 2 > spec_.maxPieces * replicas_.size();
  bool isMemoryReserved = false;
  std::vector<BatchItem> items;
  for (JobState* const state : aJobs) {
    const std::size_t remaining = spec_.maxPieces - items.size();
    if (remaining == 0 || (!items.empty() && items.size() >= share)) {
      break;
    }
    if (!MayBeSent(state)) {
      continue;
    }
    const bool isOtherZone = !items.empty() && !isBacklog &&
                             !state->job.preferredZone.empty() &&
                             state->job.preferredZone != aZone;
    const bool isAlone = state->admission == PieceAdmission::Alone;
    if (isOtherZone || (isAlone && !items.empty())) {
      continue;
    }
    if (!Fits(*state, aFreeMemory) || (isMemoryReserved && IsLarge(*state))) {
      // Large jobs get memory in order; otherwise they would starve.
      isMemoryReserved = isMemoryReserved || IsLarge(*state);
      continue;
    }
    std::size_t count = std::min(remaining, state->waiting.size());
    if (const std::uint64_t bytes = state->job.resultBytes; bytes > 0) {
      count = std::min<std::size_t>(count, aFreeMemory / bytes);
      aFreeMemory -= count * bytes;
    }
    for (std::size_t taken = 0; taken < count; ++taken) {
      items.push_back({ state->job.id, state->waiting.back() });
      state->waiting.pop_back();
    }
    waitingPieces_ -= count;
    if (isAlone && !items.empty()) {
      break;
    }
  }
  return items;
}

void BatchQueue::WakeBy(Instant aTime)
{
  wakeAt_ = std::min(wakeAt_.value_or(aTime), aTime);
}

std::vector<BatchQueue::Candidate> BatchQueue::FindCandidates(
  std::span<const BackendPtr> aReplicas,
  const SendPermissions* aPermissions,
  Instant aNow)
{
  std::vector<Candidate> candidates;
  for (const BackendPtr& backend : aReplicas) {
    ReplicaState& replica = replicas_[backend->id];
    const SendPermission permission =
      aPermissions ? aPermissions->AskUsable(*backend, LimitPlace::Open, aNow)
                   : SendPermission{};
    if (!permission.IsGranted()) {
      WakeBy(permission.until);
      continue;
    }
    if (aNow < replica.blockedUntil) {
      WakeBy(replica.blockedUntil);
      continue;
    }
    const bool isFree = replica.calls < std::max(1U, spec_.maxRunningCalls);
    const Instant start = isFree ? aNow : std::max(aNow, replica.freeAt);
    candidates.push_back(
      { backend,
        start + Scaled(CallTimeOf(1), LatencyRatioOf(replica, aNow)),
        FreeMemoryOf(replica),
        isFree });
  }
  return candidates;
}

const BatchQueue::Candidate* BatchQueue::BestCandidateFor(
  const JobState& aState,
  std::span<const Candidate> aCandidates,
  Instant aNow) const
{
  const PieceJob& job = aState.job;
  const bool hasSlack = job.due > aNow + CallTimeOf(aState.waiting.size()) * 2;
  const auto cost = [&](const Candidate& aCandidate) {
    const bool isOtherZone = !job.preferredZone.empty() &&
                             aCandidate.backend->zone != job.preferredZone;
    const double megabytes = static_cast<double>(job.zoneBytes) / 1e6;
    return aCandidate.finish + (isOtherZone && hasSlack
                                  ? Scaled(kCrossZoneCostPerMegabyte, megabytes)
                                  : Duration{});
  };
  const Candidate* best = nullptr;
  for (const Candidate& candidate : aCandidates) {
    if (Fits(aState, candidate.freeMemory) &&
        (!best || cost(candidate) < cost(*best))) {
      best = &candidate;
    }
  }
  return best;
}

Batch BatchQueue::MakeBatch(std::span<JobState* const> aJobs,
                            const Candidate& aCandidate,
                            std::size_t aIdle,
                            Instant aNow)
{
  Batch batch;
  batch.number = ++lastNumber_;
  batch.backend = aCandidate.backend;
  batch.items =
    TakePieces(aJobs, aIdle, aCandidate.freeMemory, aCandidate.backend->zone);
  std::uint64_t bytes = 0;
  std::size_t inTime = 0;
  for (const BatchItem& item : batch.items) {
    const JobState& state = *StateOf(item.job);
    bytes += state.job.resultBytes;
    inTime += state.isInTime ? 1 : 0;
  }
  inTimeShare_ += kInTimeShareWeight *
                  (static_cast<double>(inTime) / std::max(1U, spec_.maxPieces) -
                   inTimeShare_);
  ReplicaState& replica = replicas_[batch.backend->id];
  replica.usedBytes += bytes;
  batch.waitingPieces = WaitingPieces();
  batch.freeMemory = FreeMemoryOf(replica);
  batch.expectedHold = HoldTime();
  batch.expected =
    Scaled(CallTimeOf(batch.items.size()), LatencyRatioOf(replica, aNow));
  batch.abandonAt =
    aNow + Scaled(batch.expected, kCallTimeoutFactor) + kCallTimeoutMargin;
  ++replica.calls;
  replica.freeAt = aNow + batch.expected;
  calls_[batch.number] = { batch.backend->id, aNow, bytes };
  return batch;
}

std::optional<Batch> BatchQueue::Next(std::span<const BackendPtr> aReplicas,
                                      Instant aNow,
                                      const SendPermissions* aPermissions)
{
  wakeAt_.reset();
  ExpireResults(aNow);
  const bool isOrderDue = IsOrderDue(aNow);
  if (isOrderDue) {
    FailLateJobs(aPermissions ? AvailabilityOf(
                                  aReplicas, std::nullopt, *aPermissions, aNow)
                                  .EarliestSend(aNow)
                              : aNow);
  }
  const std::vector<Candidate> candidates =
    FindCandidates(aReplicas, aPermissions, aNow);
  if (isOrderDue) {
    Reorder(candidates, aNow);
  }
  if (unorderedJobs_ > 0) {
    WakeBy(orderedAt_ + kOrderInterval);
  }
  const std::span<JobState* const> ordered = WaitingOrder();
  if (ordered.empty()) {
    return std::nullopt;
  }
  idleFreeMemory_ = 0;
  for (const Candidate& candidate : candidates) {
    idleFreeMemory_ += candidate.isFree ? std::min(candidate.freeMemory,
                                                   spec_.resultCapacityBytes)
                                        : 0;
  }
  const auto idle = static_cast<std::size_t>(
    std::ranges::count(candidates, true, &Candidate::isFree));
  bool isMemoryReserved = false;
  for (std::size_t first = 0; idle > 0 && first < ordered.size(); ++first) {
    if (!MayBeSent(ordered[first]) ||
        (isMemoryReserved && IsLarge(*ordered[first]))) {
      continue;
    }
    const Candidate* const best =
      BestCandidateFor(*ordered[first], candidates, aNow);
    isMemoryReserved = isMemoryReserved || (!best && IsLarge(*ordered[first]));
    // A job that finds no memory, or whose best replica is still busy, lets the
    // jobs behind it go first.
    if (best && best->isFree) {
      return MakeBatch(ordered.subspan(first), *best, idle, aNow);
    }
  }
  // No event reports that results have expired, so check again later.
  WakeBy(aNow + (idle > 0 ? kInitialFullBackoff : kNoMemoryBackoff));
  return std::nullopt;
}

void BatchQueue::PutBack(JobState& aState, std::uint32_t aPiece)
{
  aState.waiting.push_back(aPiece);
  ++waitingPieces_;
  if (aState.position) {
    orderBegin_ = std::min(orderBegin_, *aState.position);
  } else {
    ++unorderedJobs_;
  }
}

void BatchQueue::Requeue(const Batch& aBatch, bool aCountsFailure)
{
  for (const BatchItem& item : aBatch.items) {
    JobState* const state = StateOf(item.job);
    if (!state) {
      continue;
    }
    PutBack(*state, item.piece);
    if (aCountsFailure && ++state->failures > kMaxFailures) {
      Finish(*state, PieceFailure::Error);
    }
  }
}

void BatchQueue::ApplyResult(const BatchItem& aItem,
                             const BatchItemResult& aResult)
{
  JobState* const state = StateOf(aItem.job);
  if (!state) {
    if (!aResult.handle.empty()) {
      orphans_.push_back(aResult.handle);
    }
    return;
  }
  if (!aResult.handle.empty()) {
    if (state->handles[aItem.piece].empty()) {
      state->handles[aItem.piece] = aResult.handle;
      --state->missing;
    } else {
      orphans_.push_back(aResult.handle);
    }
    if (state->missing == 0) {
      Finish(*state, PieceFailure::None);
    }
    return;
  }
  if (aResult.failure == PieceFailure::Late ||
      aResult.failure == PieceFailure::InputMissing) {
    Finish(*state, aResult.failure);
    return;
  }
  PutBack(*state, aItem.piece);
  if (!aResult.isOutOfMemory && ++state->failures > kMaxFailures) {
    Finish(*state, PieceFailure::Error);
  }
}

void BatchQueue::RecordResults(const Batch& aBatch,
                               std::span<const BatchItemResult> aResults,
                               Instant aNow)
{
  ReplicaState& replica = replicas_[aBatch.backend->id];
  for (std::size_t index = 0; index < aResults.size(); ++index) {
    const JobState* const state = StateOf(aBatch.items[index].job);
    if (aResults[index].handle.empty() || !state) {
      continue;
    }
    const std::uint64_t bytes = state->job.resultBytes;
    replica.usedBytes += bytes;
    results_[aResults[index].handle] = { aBatch.backend->id, bytes, aNow };
    expiries_.emplace_back(aNow + spec_.resultLifetime, aResults[index].handle);
  }
}

void BatchQueue::OnEnd(const Batch& aBatch,
                       BatchEnd aEnd,
                       std::span<const BatchItemResult> aResults,
                       Instant aNow)
{
  const auto call = calls_.find(aBatch.number);
  if (call == calls_.end()) {
    return;
  }
  ReplicaState& replica = replicas_[call->second.replica];
  replica.calls -= std::min(replica.calls, 1U);
  const Instant startedAt = call->second.startedAt;
  replica.usedBytes -= std::min(replica.usedBytes, call->second.bytes);
  calls_.erase(call);
  if (aEnd == BatchEnd::Answered && aResults.size() == aBatch.items.size()) {
    const double ratio =
      static_cast<double>((aNow - startedAt).count()) /
      std::max<double>(
        1.0, static_cast<double>(CallTimeOf(aBatch.items.size()).count()));
    const double previous = LatencyRatioOf(replica, aNow);
    replica.latencyRatio = previous + kLatencyRatioWeight * (ratio - previous);
    replica.latencyRatioAt = aNow;
    replica.failureBackoff = Duration{};
    replica.fullBackoff = Duration{};
    RecordResults(aBatch, aResults, aNow);
    bool isOutOfMemory = false;
    for (std::size_t index = 0; index < aResults.size(); ++index) {
      isOutOfMemory = isOutOfMemory || aResults[index].isOutOfMemory;
      ApplyResult(aBatch.items[index], aResults[index]);
    }
    if (isOutOfMemory) {
      replica.blockedUntil = aNow + kNoMemoryBackoff;
    }
    return;
  }
  if (aEnd == BatchEnd::HeldBack) {
    Requeue(aBatch, false);
    return;
  }
  if (aEnd == BatchEnd::Rejected) {
    // Repeated rejections mean that another gateway's queue uses the replica.
    replica.fullBackoff =
      replica.fullBackoff.count() == 0
        ? kInitialFullBackoff
        : std::min(replica.fullBackoff * 2, kMaxFullBackoff);
    replica.blockedUntil = aNow + replica.fullBackoff;
    Requeue(aBatch, false);
    return;
  }
  replica.failureBackoff =
    replica.failureBackoff.count() == 0
      ? kInitialFailureBackoff
      : std::min(replica.failureBackoff * 2, kMaxFailureBackoff);
  replica.blockedUntil = aNow + replica.failureBackoff;
  Requeue(aBatch, true);
}

Duration BatchQueue::MemoryTime(std::uint32_t aPriority) const
{
  if (spec_.resultCapacityBytes == 0) {
    return Duration{};
  }
  double bytes = 0.0;
  for (const auto& [id, state] : jobs_) {
    if (state.job.priority <= aPriority && IsLarge(state)) {
      bytes +=
        static_cast<double>(state.job.resultBytes * state.waiting.size());
    }
  }
  return Scaled(HoldTime() + CallTimeOf(spec_.maxPieces),
                bytes / static_cast<double>(spec_.resultCapacityBytes));
}

Duration BatchQueue::ExpectedWait(std::uint32_t aPriority,
                                  const ServiceAvailability& aReplicas,
                                  Instant aNow) const
{
  if (aReplicas.open + aReplicas.held == 0) {
    return kNoReplicaWait;
  }
  // Replicas that are held are no capacity until the first of them opens.
  const Duration closedTime = aReplicas.EarliestSend(aNow) - aNow;
  const std::size_t replicas = std::max<std::size_t>(1, aReplicas.open);
  Duration busyTime{};
  std::size_t busyReplicas = 0;
  for (const auto& [id, replica] : replicas_) {
    if (replica.calls > 0 && replica.freeAt > aNow) {
      busyTime += replica.freeAt - aNow;
      ++busyReplicas;
    }
  }
  const std::size_t piecesAhead = std::accumulate(
    jobs_.begin(),
    jobs_.end(),
    std::size_t{ 0 },
    [&](std::size_t aSum, const auto& aItem) {
      const JobState& state = aItem.second;
      return aSum +
             (state.job.priority <= aPriority ? state.waiting.size() : 0);
    });
  if (piecesAhead == 0 && busyReplicas < replicas) {
    return closedTime;
  }
  const std::size_t fullCalls = piecesAhead / std::max(1U, spec_.maxPieces);
  const Duration work = busyTime + CallTimeOf(spec_.maxPieces) *
                                     static_cast<std::int64_t>(fullCalls);
  return closedTime + std::max(work, MemoryTime(aPriority)) /
                        static_cast<std::int64_t>(replicas);
}

} // namespace gypsum
