#pragma once

#include "core/gateway/backend_registry.h"
#include "core/gateway/served_configuration.h"
#include "core/gateway/stage_schedule.h"

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum {

/** A job of pieces, as the gateway that asks for it numbers it. */
struct PieceJobId
{
  std::uint64_t requester = 0; ///< Incarnation of the asking gateway.
  std::uint64_t number = 0;

  auto operator<=>(const PieceJobId&) const = default;
};

/** All pieces that one request needs of one stage. */
struct PieceJob
{
  PieceJobId id;
  std::string attempt; ///< The client's attempt.
  std::uint32_t stage = 0;
  std::uint32_t pieces = 0;
  bool readsResults = false;       ///< Of earlier stages.
  std::string key;                 ///< For stages that read no results.
  std::vector<std::string> inputs; ///< Handles of results, otherwise.
  std::uint64_t resultBytes = 0;   ///< About; of one piece.
  std::string preferredZone;       ///< Where most of its bytes lie or are read.
  std::uint64_t zoneBytes = 0; ///< That cross zones if it is made elsewhere.
  std::uint32_t priority = 0;
  Instant due{};      ///< Finished by then, the request makes its target.
  Instant deadline{}; ///< Of no use after that.
};

/** Why pieces could not be made. */
enum class PieceFailure
{
  Late,         ///< Not in time; nothing was wrong.
  InputMissing, ///< A result that the pieces read does not exist any more.
  Error,        ///< Backend servers failed too often.
  None,         ///< No failure.
};

/** The end of one job; `handles` by piece, empty after a failure. */
struct PieceJobEnd
{
  PieceJobId id;
  PieceFailure failure = PieceFailure::None;
  std::vector<std::string> handles;
};

/** One piece of one job in a call. */
struct BatchItem
{
  PieceJobId job;
  std::uint32_t piece = 0;
};

/** One call to make. */
struct Batch
{
  std::uint64_t number = 0;
  BackendPtr backend;
  std::vector<BatchItem> items;
  Duration expected{};
  Instant abandonAt{};           ///< Its pieces are made elsewhere after that.
  std::size_t waitingPieces = 0; ///< Pieces that still wait for a call.
  std::uint64_t freeMemory = 0;  ///< At the replica, for further results.
  Duration expectedHold{};       ///< Usual time until results are given up.
};

/** What a backend server said of one item. */
struct BatchItemResult
{
  std::string handle; ///< Empty after a failure.
  PieceFailure failure = PieceFailure::None;
  bool isOutOfMemory = false;
};

/** How a whole call ended. */
enum class BatchEnd
{
  Answered,
  Rejected, ///< Full; nothing was done.
  Unreachable,
  Lost, ///< Sent, without a usable answer.
};

/**
 * Answers the load of stages whose calls have a high fixed cost.
 *
 * One queue for all replicas of a stage service: a call carries pieces of
 * several requests in the order of `ScheduleJobs`. A replica gets a call when
 * that finishes sooner than waiting for a faster one. A replica has room for
 * few large results: pieces wait for the results before them to be given up
 * rather than fail at the end of a call. Pure: time comes in, calls and ends go
 * out.
 */
class BatchQueue
{
public:
  explicit BatchQueue(BatchSpec aSpec);

  void SetSpec(BatchSpec aSpec) { spec_ = aSpec; }
  void Add(PieceJob aJob);
  void Cancel(PieceJobId aId);

  /** The next call to make now, if any. */
  std::optional<Batch> Next(std::span<const BackendPtr> aReplicas,
                            Instant aNow);
  void OnEnd(const Batch& aBatch,
             BatchEnd aEnd,
             std::span<const BatchItemResult> aResults,
             Instant aNow);
  /** Jobs that have ended since the last call. */
  std::vector<PieceJobEnd> TakeEnded();
  /** Results since the last call that no job waits for any more. */
  std::vector<std::string> TakeOrphans() { return std::exchange(orphans_, {}); }
  /** Results were given up at their makers: their room is free again. */
  void OnResultsReleased(std::span<const std::string> aHandles, Instant aNow);

  /** Expected wait of a new job of a priority until its call starts. */
  Duration ExpectedWait(std::uint32_t aPriority,
                        std::size_t aReplicas,
                        Instant aNow) const;
  /** When `Next` should be asked again though nothing happens; maybe never. */
  std::optional<Instant> WakeAt() const { return wakeAt_; }
  std::size_t WaitingPieces() const;
  bool IsIdle() const { return jobs_.empty() && calls_.empty(); }
  const PieceJob* Find(PieceJobId aId) const;

private:
  struct JobState
  {
    PieceJob job;
    std::vector<std::string> handles;
    std::vector<std::uint32_t> waiting; ///< Pieces not in a call.
    std::uint32_t missing = 0;
    std::uint32_t failures = 0;
    bool isInTime = true; ///< By the last schedule.
  };
  struct ReplicaState
  {
    std::uint32_t calls = 0;
    Instant freeAt{};
    double slowness = 1.0;
    Instant slownessAt{};
    Instant suspectUntil{};
    Duration pause{};
    Duration fullPause{}; ///< After the last rejection; zero: it took a call.
    std::uint64_t usedBytes = 0; ///< By results made or being made.
  };
  struct Call
  {
    std::string replica;
    Instant startedAt{};
    std::uint64_t bytes = 0; ///< Room set aside for its results.
  };
  struct Result
  {
    std::string replica;
    std::uint64_t bytes = 0;
    Instant madeAt{};
    Instant expiresAt{};
  };

  Duration TimeOf(std::size_t aPieces) const;
  double SlownessOf(const ReplicaState& aReplica, Instant aNow) const;
  void DropHopeless(Instant aNow);
  /** A replica that a job could go to, and when that would be done. */
  struct Option
  {
    BackendPtr backend;
    Instant finish{};
    std::uint64_t room = 0;
    bool isFree = false;
  };
  std::vector<Option> Options(std::span<const BackendPtr> aReplicas,
                              Instant aNow);
  StageCapacity CapacityOf(std::span<const Option> aOptions) const;
  /** Ends the jobs that the work before them leaves no time for. */
  std::vector<JobState*> OrderedJobs(std::span<const Option> aOptions,
                                     Instant aNow);
  const Option* BestFor(const JobState& aState,
                        std::span<const Option> aOptions,
                        Instant aNow) const;
  /** Whether a job may take room of a replica now. */
  bool Fits(const JobState& aState, std::uint64_t aRoom) const;
  bool IsLarge(const JobState& aState) const;
  Duration HoldTime() const;
  /** Time that the large results waiting ahead keep one replica's room. */
  Duration RoomWork(std::uint32_t aPriority) const;
  Batch MakeBatch(std::span<JobState* const> aJobs,
                  const Option& aOption,
                  std::size_t aIdle,
                  Instant aNow);
  std::vector<BatchItem> TakePieces(std::span<JobState* const> aJobs,
                                    std::size_t aIdle,
                                    std::uint64_t aRoom,
                                    std::string_view aZone);
  void WakeBy(Instant aAt);
  std::uint64_t RoomOf(const ReplicaState& aReplica) const;
  void ExpireResults(Instant aNow);
  void Orphan(JobState& aState);
  void Keep(const Batch& aBatch,
            std::span<const BatchItemResult> aResults,
            Instant aNow);
  void Finish(JobState& aState, PieceFailure aFailure);
  void Requeue(const Batch& aBatch, bool aCountsFailure);
  void ApplyResult(const BatchItem& aItem, const BatchItemResult& aResult);
  JobState* StateOf(PieceJobId aId);

  BatchSpec spec_;
  std::map<PieceJobId, JobState> jobs_;
  std::map<std::string, ReplicaState, std::less<>> replicas_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<PieceJobEnd> ended_;
  std::vector<std::string> orphans_;
  std::map<std::string, Result, std::less<>> results_;
  std::uint64_t lastNumber_ = 0;
  std::optional<Instant> wakeAt_;
  std::uint64_t freeRoom_ = 0; ///< Of the replicas that could take a call.
  double inTimeShare_ = 0.0;   ///< Smoothed, of the places in calls.
  double holdMs_;              ///< Smoothed time that large results are kept.
};

} // namespace gypsum
