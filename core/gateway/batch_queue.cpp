#include "core/gateway/batch_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

namespace gypsum {

namespace {

/** What it is worth to make a megabyte where it is read: its price. */
constexpr Duration kMegabyteElsewhere = std::chrono::milliseconds(20);
/** A call is given up after this many times its expected time, and a bit. */
constexpr double kPatience = 3.0;
constexpr Duration kPatienceExtra = std::chrono::milliseconds(150);
/** A piece that failed this often fails its job. */
constexpr std::uint32_t kMostFailures = 6;
/** Beliefs on speed lose half of their strength in this time. */
constexpr Duration kHalfLife = std::chrono::milliseconds(4'000);
constexpr double kSlownessWeight = 0.5; ///< Calls are few and alike.
constexpr Duration kFirstPause = std::chrono::milliseconds(200);
constexpr Duration kLongestPause = std::chrono::milliseconds(1'600);
/** Stands for "not before a replica comes". */
constexpr Duration kNoReplicaWait = std::chrono::seconds(10);
/** Wait before a replica is asked again after it was full. */
constexpr Duration kFullPause = std::chrono::milliseconds(30);
/** About one call. */
constexpr Duration kLongestFullPause = std::chrono::milliseconds(240);
/** Wait before a replica without room is asked again: about one request. */
constexpr Duration kNoRoomPause = std::chrono::milliseconds(250);
/** Until measured: time from a result to the first event that it is for. */
constexpr double kFirstHoldMs = 600.0;
constexpr double kHoldWeight = 0.05; ///< Some tens of results a second.
/** A job that takes more than this part of a replica's room waits in line for
 * it; smaller ones pass. */
constexpr std::uint64_t kLargeDivisor = 50;
/** Weight of one call in the share of places; some tens of calls a second. */
constexpr double kShareWeight = 0.05;
/** Results of less than this part of the room say nothing of how long room is
 * taken: nothing waits for theirs. */
constexpr std::uint64_t kCountedDivisor = 1'000;
/** Part of the stated memory that is planned with; sizes are estimates. */
constexpr double kRoomShare = 0.95;

Duration Scaled(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

BatchQueue::BatchQueue(BatchSpec aSpec)
  : spec_(aSpec)
  , holdMs_(kFirstHoldMs)
{
}

Duration BatchQueue::TimeOf(std::size_t aPieces) const
{
  return spec_.fixedCallTime +
         spec_.pieceTime * static_cast<std::int64_t>(aPieces);
}

double BatchQueue::SlownessOf(const ReplicaState& aReplica, Instant aNow) const
{
  const double lives =
    static_cast<double>((aNow - aReplica.slownessAt).count()) /
    static_cast<double>(kHalfLife.count());
  return 1.0 + (aReplica.slowness - 1.0) * std::exp2(-std::max(0.0, lives));
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
  jobs_.emplace(id, std::move(state));
}

void BatchQueue::Cancel(PieceJobId aId)
{
  if (JobState* const state = StateOf(aId)) {
    Orphan(*state);
    jobs_.erase(aId);
  }
}

void BatchQueue::Orphan(JobState& aState)
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
    if (result->second.bytes > spec_.resultBytes / kCountedDivisor) {
      const double held =
        std::chrono::duration<double, std::milli>(aNow - result->second.madeAt)
          .count();
      holdMs_ += kHoldWeight * (held - holdMs_);
    }
    results_.erase(result);
  }
}

void BatchQueue::ExpireResults(Instant aNow)
{
  std::erase_if(results_, [&](const auto& aItem) {
    if (aNow < aItem.second.expiresAt) {
      return false;
    }
    std::uint64_t& used = replicas_[aItem.second.replica].usedBytes;
    used -= std::min(used, aItem.second.bytes);
    return true;
  });
}

std::uint64_t BatchQueue::RoomOf(const ReplicaState& aReplica) const
{
  if (spec_.resultBytes == 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const auto planned = static_cast<std::uint64_t>(
    kRoomShare * static_cast<double>(spec_.resultBytes));
  return planned - std::min(planned, aReplica.usedBytes);
}

void BatchQueue::Finish(JobState& aState, PieceFailure aFailure)
{
  const PieceJobId id = aState.job.id;
  PieceJobEnd end{ id, aFailure, {} };
  if (aFailure == PieceFailure::None) {
    end.handles = std::move(aState.handles);
  } else {
    Orphan(aState);
  }
  ended_.push_back(std::move(end));
  jobs_.erase(id);
}

std::vector<PieceJobEnd> BatchQueue::TakeEnded()
{
  return std::exchange(ended_, {});
}

void BatchQueue::DropHopeless(Instant aNow)
{
  std::vector<PieceJobId> hopeless;
  for (const auto& [id, state] : jobs_) {
    if (!state.waiting.empty() && state.job.deadline < aNow + TimeOf(1)) {
      hopeless.push_back(id);
    }
  }
  for (const PieceJobId& id : hopeless) {
    Finish(*StateOf(id), PieceFailure::Late);
  }
}

StageCapacity BatchQueue::CapacityOf(std::span<const Option> aOptions) const
{
  StageCapacity capacity;
  capacity.inTimeShare = inTimeShare_;
  const auto replicas = static_cast<double>(aOptions.size());
  const double callMs =
    std::chrono::duration<double, std::milli>(TimeOf(spec_.maxPieces)).count();
  capacity.piecesPerMs = replicas * spec_.maxPieces / callMs;
  if (spec_.resultBytes > 0) {
    capacity.bytesPerMs =
      replicas * static_cast<double>(spec_.resultBytes) / (holdMs_ + callMs);
  }
  for (const Option& option : aOptions) {
    capacity.freeBytes += std::min(option.room, spec_.resultBytes);
  }
  return capacity;
}

std::vector<BatchQueue::JobState*> BatchQueue::OrderedJobs(
  std::span<const Option> aOptions,
  Instant aNow)
{
  const std::size_t waiting = WaitingPieces();
  std::vector<JobState*> states;
  std::vector<ScheduledJob> jobs;
  for (auto& [id, state] : jobs_) {
    if (state.waiting.empty()) {
      continue;
    }
    const auto pieces = static_cast<std::uint32_t>(state.waiting.size());
    states.push_back(&state);
    // With more waiting than a call carries, others fill its call.
    const std::uint32_t inCall = waiting > spec_.maxPieces
                                   ? spec_.maxPieces
                                   : std::min(pieces, spec_.maxPieces);
    jobs.push_back({ state.job.priority,
                     state.job.due,
                     TimeOf(inCall),
                     pieces,
                     IsLarge(state) ? state.job.resultBytes * pieces : 0 });
  }
  const StageSchedule schedule = ScheduleJobs(jobs, CapacityOf(aOptions), aNow);
  std::vector<JobState*> ordered;
  for (std::size_t place = 0; place < schedule.order.size(); ++place) {
    JobState* const state = states[schedule.order[place]];
    state->isInTime = place < schedule.inTime;
    const Instant start = aNow + schedule.startsIn[place];
    if (!aOptions.empty() && start + TimeOf(1) > state->job.deadline) {
      Finish(*state, PieceFailure::Late);
      continue;
    }
    ordered.push_back(state);
  }
  return ordered;
}

bool BatchQueue::IsLarge(const JobState& aState) const
{
  return spec_.resultBytes > 0 &&
         aState.job.resultBytes * aState.waiting.size() >
           spec_.resultBytes / kLargeDivisor;
}

bool BatchQueue::Fits(const JobState& aState, std::uint64_t aRoom) const
{
  // Pieces may be made at several replicas, but only if there is room for all
  // of them: half a job would hold room for nothing.
  const std::uint64_t bytes = aState.job.resultBytes * aState.waiting.size();
  const bool hasRoomForAll = bytes <= freeRoom_ || bytes > spec_.resultBytes;
  return aState.job.resultBytes <= aRoom && (!IsLarge(aState) || hasRoomForAll);
}

std::vector<BatchItem> BatchQueue::TakePieces(std::span<JobState* const> aJobs,
                                              std::size_t aIdle,
                                              std::uint64_t aRoom,
                                              std::string_view aZone)
{
  const std::size_t waiting =
    std::accumulate(aJobs.begin(),
                    aJobs.end(),
                    std::size_t{ 0 },
                    [](std::size_t aSum, const JobState* aState) {
                      return aSum + aState->waiting.size();
                    });
  // Idle replicas share what waits: two short calls beat one long call.
  const std::size_t idle = std::max<std::size_t>(1, aIdle);
  const std::size_t share = (waiting + idle - 1) / idle;
  // With half a round of calls waiting, full calls go before short ways.
  const bool isBacklog = waiting * 2 > spec_.maxPieces * replicas_.size();
  bool isRoomTaken = false;
  std::vector<BatchItem> items;
  for (JobState* const state : aJobs) {
    const std::size_t places = spec_.maxPieces - items.size();
    if (places == 0 || (!items.empty() && items.size() >= share)) {
      break;
    }
    const bool isElsewhere = !items.empty() && !isBacklog &&
                             !state->job.preferredZone.empty() &&
                             state->job.preferredZone != aZone;
    if (isElsewhere) {
      continue;
    }
    if (!Fits(*state, aRoom) || (isRoomTaken && IsLarge(*state))) {
      // Room goes to large jobs in their order, or they would starve.
      isRoomTaken = isRoomTaken || IsLarge(*state);
      continue;
    }
    std::size_t count = std::min(places, state->waiting.size());
    if (const std::uint64_t bytes = state->job.resultBytes; bytes > 0) {
      count = std::min<std::size_t>(count, aRoom / bytes);
      aRoom -= count * bytes;
    }
    for (std::size_t taken = 0; taken < count; ++taken) {
      items.push_back({ state->job.id, state->waiting.back() });
      state->waiting.pop_back();
    }
  }
  return items;
}

void BatchQueue::WakeBy(Instant aAt)
{
  wakeAt_ = std::min(wakeAt_.value_or(aAt), aAt);
}

std::vector<BatchQueue::Option> BatchQueue::Options(
  std::span<const BackendPtr> aReplicas,
  Instant aNow)
{
  std::vector<Option> options;
  for (const BackendPtr& backend : aReplicas) {
    ReplicaState& replica = replicas_[backend->id];
    if (aNow < replica.suspectUntil) {
      WakeBy(replica.suspectUntil);
      continue;
    }
    const bool isFree = replica.calls < std::max(1U, spec_.calls);
    const Instant start = isFree ? aNow : std::max(aNow, replica.freeAt);
    options.push_back({ backend,
                        start + Scaled(TimeOf(1), SlownessOf(replica, aNow)),
                        RoomOf(replica),
                        isFree });
  }
  return options;
}

const BatchQueue::Option* BatchQueue::BestFor(const JobState& aState,
                                              std::span<const Option> aOptions,
                                              Instant aNow) const
{
  const PieceJob& job = aState.job;
  const bool hasTime = job.due > aNow + TimeOf(aState.waiting.size()) * 2;
  const auto cost = [&](const Option& aOption) {
    const bool isElsewhere =
      !job.preferredZone.empty() && aOption.backend->zone != job.preferredZone;
    const double megabytes = static_cast<double>(job.zoneBytes) / 1e6;
    return aOption.finish + (isElsewhere && hasTime
                               ? Scaled(kMegabyteElsewhere, megabytes)
                               : Duration{});
  };
  const Option* best = nullptr;
  for (const Option& option : aOptions) {
    if (Fits(aState, option.room) && (!best || cost(option) < cost(*best))) {
      best = &option;
    }
  }
  return best;
}

Batch BatchQueue::MakeBatch(std::span<JobState* const> aJobs,
                            const Option& aOption,
                            std::size_t aIdle,
                            Instant aNow)
{
  Batch batch;
  batch.number = ++lastNumber_;
  batch.backend = aOption.backend;
  batch.items = TakePieces(aJobs, aIdle, aOption.room, aOption.backend->zone);
  std::uint64_t bytes = 0;
  std::size_t inTime = 0;
  for (const BatchItem& item : batch.items) {
    const JobState& state = *StateOf(item.job);
    bytes += state.job.resultBytes;
    inTime += state.isInTime ? 1 : 0;
  }
  inTimeShare_ += kShareWeight *
                  (static_cast<double>(inTime) / std::max(1U, spec_.maxPieces) -
                   inTimeShare_);
  ReplicaState& replica = replicas_[batch.backend->id];
  replica.usedBytes += bytes;
  batch.waitingPieces = WaitingPieces();
  batch.freeMemory = RoomOf(replica);
  batch.expectedHold = HoldTime();
  batch.expected =
    Scaled(TimeOf(batch.items.size()), SlownessOf(replica, aNow));
  batch.abandonAt = aNow + Scaled(batch.expected, kPatience) + kPatienceExtra;
  ++replica.calls;
  replica.freeAt = aNow + batch.expected;
  calls_[batch.number] = { batch.backend->id, aNow, bytes };
  return batch;
}

std::optional<Batch> BatchQueue::Next(std::span<const BackendPtr> aReplicas,
                                      Instant aNow)
{
  wakeAt_.reset();
  ExpireResults(aNow);
  DropHopeless(aNow);
  const std::vector<Option> options = Options(aReplicas, aNow);
  const std::vector<JobState*> ordered = OrderedJobs(options, aNow);
  if (ordered.empty()) {
    return std::nullopt;
  }
  freeRoom_ = 0;
  for (const Option& option : options) {
    freeRoom_ += option.isFree ? std::min(option.room, spec_.resultBytes) : 0;
  }
  const auto idle = static_cast<std::size_t>(
    std::ranges::count(options, true, &Option::isFree));
  bool isRoomTaken = false;
  for (std::size_t first = 0; idle > 0 && first < ordered.size(); ++first) {
    if (isRoomTaken && IsLarge(*ordered[first])) {
      continue;
    }
    const Option* const best = BestFor(*ordered[first], options, aNow);
    isRoomTaken = isRoomTaken || (!best && IsLarge(*ordered[first]));
    // Without room, or with a better replica about to be free, it lets the
    // jobs behind it go first.
    if (best && best->isFree) {
      return MakeBatch(std::span(ordered).subspan(first), *best, idle, aNow);
    }
  }
  // Results expire without a word when nobody gives them up.
  WakeBy(aNow + (idle > 0 ? kFullPause : kNoRoomPause));
  return std::nullopt;
}

void BatchQueue::Requeue(const Batch& aBatch, bool aCountsFailure)
{
  for (const BatchItem& item : aBatch.items) {
    JobState* const state = StateOf(item.job);
    if (!state) {
      continue;
    }
    state->waiting.push_back(item.piece);
    if (aCountsFailure && ++state->failures > kMostFailures) {
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
  state->waiting.push_back(aItem.piece);
  if (!aResult.isOutOfMemory && ++state->failures > kMostFailures) {
    Finish(*state, PieceFailure::Error);
  }
}

void BatchQueue::Keep(const Batch& aBatch,
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
    results_[aResults[index].handle] = {
      aBatch.backend->id, bytes, aNow, aNow + spec_.resultLifetime
    };
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
        1.0, static_cast<double>(TimeOf(aBatch.items.size()).count()));
    const double before = SlownessOf(replica, aNow);
    replica.slowness = before + kSlownessWeight * (ratio - before);
    replica.slownessAt = aNow;
    replica.pause = Duration{};
    replica.fullPause = Duration{};
    Keep(aBatch, aResults, aNow);
    bool isOutOfMemory = false;
    for (std::size_t index = 0; index < aResults.size(); ++index) {
      isOutOfMemory = isOutOfMemory || aResults[index].isOutOfMemory;
      ApplyResult(aBatch.items[index], aResults[index]);
    }
    if (isOutOfMemory) {
      replica.suspectUntil = aNow + kNoRoomPause;
    }
    return;
  }
  if (aEnd == BatchEnd::Rejected) {
    // Full again and again: another gateway's queue has it.
    replica.fullPause = replica.fullPause.count() == 0
                          ? kFullPause
                          : std::min(replica.fullPause * 2, kLongestFullPause);
    replica.suspectUntil = aNow + replica.fullPause;
    Requeue(aBatch, false);
    return;
  }
  replica.pause = replica.pause.count() == 0
                    ? kFirstPause
                    : std::min(replica.pause * 2, kLongestPause);
  replica.suspectUntil = aNow + replica.pause;
  Requeue(aBatch, true);
}

std::size_t BatchQueue::WaitingPieces() const
{
  return std::accumulate(jobs_.begin(),
                         jobs_.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aItem) {
                           return aSum + aItem.second.waiting.size();
                         });
}

Duration BatchQueue::RoomWork(std::uint32_t aPriority) const
{
  if (spec_.resultBytes == 0) {
    return Duration{};
  }
  double bytes = 0.0;
  for (const auto& [id, state] : jobs_) {
    if (state.job.priority <= aPriority && IsLarge(state)) {
      bytes +=
        static_cast<double>(state.job.resultBytes * state.waiting.size());
    }
  }
  return Scaled(HoldTime() + TimeOf(spec_.maxPieces),
                bytes / static_cast<double>(spec_.resultBytes));
}

Duration BatchQueue::ExpectedWait(std::uint32_t aPriority,
                                  std::size_t aReplicas,
                                  Instant aNow) const
{
  if (aReplicas == 0) {
    return kNoReplicaWait;
  }
  Duration busy{};
  std::size_t busyReplicas = 0;
  for (const auto& [id, replica] : replicas_) {
    if (replica.calls > 0 && replica.freeAt > aNow) {
      busy += replica.freeAt - aNow;
      ++busyReplicas;
    }
  }
  const std::size_t ahead = std::accumulate(
    jobs_.begin(),
    jobs_.end(),
    std::size_t{ 0 },
    [&](std::size_t aSum, const auto& aItem) {
      const JobState& state = aItem.second;
      return aSum +
             (state.job.priority <= aPriority ? state.waiting.size() : 0);
    });
  if (ahead == 0 && busyReplicas < aReplicas) {
    return Duration{};
  }
  const std::size_t full = ahead / std::max(1U, spec_.maxPieces);
  const Duration work =
    busy + TimeOf(spec_.maxPieces) * static_cast<std::int64_t>(full);
  return std::max(work, RoomWork(aPriority)) /
         static_cast<std::int64_t>(aReplicas);
}

} // namespace gypsum
