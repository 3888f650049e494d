#pragma once

#include "core/gateway/backend_registry.h"
#include "core/gateway/send_permissions.h"
#include "core/gateway/served_configuration.h"
#include "core/gateway/service_availability.h"
#include "core/gateway/stage_schedule.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum {

/** Identifies a job; numbered by the gateway that requests it. */
struct PieceJobId
{
  std::uint64_t requester = 0; ///< Incarnation of that gateway.
  std::uint64_t number = 0;

  auto operator<=>(const PieceJobId&) const = default;
};

/** All pieces of one stage that one request needs. */
struct PieceJob
{
  PieceJobId id;
  std::string attempt; ///< Attempt id of the client.
  std::string request; ///< Name of the request, see `RequestIdentity`.
  std::uint32_t stage = 0;
  std::uint32_t pieces = 0;
  bool readsResults = false; ///< Whether it reads results of earlier stages.
  std::string key;           ///< Piece key, if it reads no results.
  std::vector<std::string> inputs; ///< Handles of the results that it reads.
  std::uint64_t resultBytes = 0;   ///< Estimated size of one result, in bytes.
  std::string preferredZone;   ///< Zone that stores or reads most of its bytes.
  std::uint64_t zoneBytes = 0; ///< Bytes that cross zones if it runs elsewhere.
  std::uint32_t priority = 0;
  Instant due{};           ///< Latest end for the request to meet its target.
  Instant deadline{};      ///< Results are of no use after this.
  std::uint32_t moves = 0; ///< From owner to owner, see `MustMoveJob`.
};

/** Reason why pieces could not be computed. */
enum class PieceFailure
{
  Late,         ///< The deadline cannot be met; nothing else failed.
  InputMissing, ///< A result that the pieces read no longer exists.
  Error,        ///< Backend servers failed too often.
  None,         ///< No failure.
  Moved,        ///< Not begun; the queue has another owner now.
};

/** How the pieces of a job may be sent. */
enum class PieceAdmission
{
  Shared, ///< In calls with pieces of other jobs.
  Alone,  ///< In one call that has no pieces of other jobs.
  Wait,   ///< Not now.
};

/** Outcome of a job; one handle per piece, none after a failure. */
struct PieceJobEnd
{
  PieceJobId id;
  PieceFailure failure = PieceFailure::None;
  std::vector<std::string> handles;
  /** Address of the owner that a moved job is for; empty if its queue stops. */
  std::string nextOwner;
};

/** One piece of one job, as part of a call. */
struct BatchItem
{
  PieceJobId job;
  std::uint32_t piece = 0;
};

/** One call to a replica. */
struct Batch
{
  std::uint64_t number = 0;
  BackendPtr backend;
  std::vector<BatchItem> items;
  Duration expected{}; ///< Expected duration of the call.
  Instant abandonAt{}; ///< After this, its pieces go to another replica.
  std::size_t waitingPieces = 0; ///< Pieces that still wait for a call.
  std::uint64_t freeMemory = 0;  ///< Bytes for further results at the replica.
  Duration expectedHold{};       ///< Usual time until results are released.
};

/** Result of one item of a call. */
struct BatchItemResult
{
  std::string handle; ///< Empty after a failure.
  PieceFailure failure = PieceFailure::None;
  bool isOutOfMemory = false; ///< The replica has no memory for the result.
};

/** Outcome of a call as a whole. */
enum class BatchEnd
{
  Answered,
  Rejected, ///< Not run, for instance because the replica was full.
  Unreachable,
  Lost,     ///< Sent, but no usable answer arrived.
  HeldBack, ///< Not sent: the replica may not get a call now.
};

/**
 * Batches the pieces of stage services whose calls have a high fixed cost.
 *
 * One queue serves all replicas of a stage service: a call carries pieces of
 * several requests, in the order of `ScheduleJobs`. A replica gets a call if it
 * is expected to finish it before a faster replica that is still busy. A
 * replica has memory for few large results, so pieces wait until earlier
 * results are released instead of failing at the end of a call. Pure logic: the
 * caller passes in the time, makes the calls and collects the ended jobs.
 */
class BatchQueue
{
public:
  explicit BatchQueue(BatchSpec aSpec);

  void SetSpec(BatchSpec aSpec) { spec_ = aSpec; }
  void Add(PieceJob aJob);
  void Cancel(PieceJobId aId);

  /** The next call that can start now, if any. A replica that may not get a
   * call now gets none; with null, each may. */
  std::optional<Batch> Next(std::span<const BackendPtr> aReplicas,
                            Instant aNow,
                            const SendPermissions* aPermissions = nullptr);
  /** A call has ended; `aResults` follow the order of its items. */
  void OnEnd(const Batch& aBatch,
             BatchEnd aEnd,
             std::span<const BatchItemResult> aResults,
             Instant aNow);
  /** Jobs with pieces that are not in a call. */
  std::vector<PieceJobId> WaitingJobs() const;
  /** Holds no job back any more. */
  void AdmitAll();
  /** Holds for the calls that start from now on. */
  void Admit(PieceJobId aId, PieceAdmission aAdmission);
  /** Ends a job as failed by its servers. */
  void Fail(PieceJobId aId);
  /** Which jobs leave a queue that another gateway takes over. */
  enum class Leaving
  {
    NotBegun, ///< Those without a piece in a call or a result.
    All,
  };
  /** Ends jobs as moved, as the queue stops. */
  void HandOver(Leaving aLeaving);
  /** Ends as moved the jobs that have not begun and that another gateway takes,
   * see `MustMoveJob`. */
  void MoveTo(std::string_view aNextOwner);
  /** Takes the jobs that have ended. */
  std::vector<PieceJobEnd> TakeEnded();
  /** Takes the results that no job is waiting for any more. */
  std::vector<std::string> TakeOrphans() { return std::exchange(orphans_, {}); }
  /** Replicas have released results, so their memory is free again. */
  void OnResultsReleased(std::span<const std::string> aHandles, Instant aNow);

  /** Expected wait of a new job of a priority until its call starts. */
  Duration ExpectedWait(std::uint32_t aPriority,
                        const ServiceAvailability& aReplicas,
                        Instant aNow) const;
  /** When to call `Next` again even if no event occurs; empty: not needed. */
  std::optional<Instant> WakeAt() const { return wakeAt_; }
  std::size_t WaitingPieces() const { return waitingPieces_; }
  /** Jobs that schedules have put in order so far: the work of the queue. */
  std::uint64_t OrderedJobs() const { return orderedJobs_; }
  bool IsIdle() const { return jobs_.empty() && calls_.empty(); }
  const PieceJob* Find(PieceJobId aId) const;

private:
  struct JobState
  {
    PieceJob job;
    std::vector<std::string> handles;
    std::vector<std::uint32_t> waiting; ///< Pieces that are not in a call.
    std::uint32_t missing = 0;          ///< Pieces without a result.
    std::uint32_t failures = 0;
    PieceAdmission admission = PieceAdmission::Shared;
    bool isInTime = true; ///< Meets its due time by the last schedule.
    std::optional<std::size_t> position; ///< In `order_`.
  };
  struct ReplicaState
  {
    std::uint32_t calls = 0;
    Instant freeAt{};          ///< Expected end of its latest call.
    double latencyRatio = 1.0; ///< Measured over expected call time.
    Instant latencyRatioAt{};
    Instant blockedUntil{};
    Duration failureBackoff{};   ///< Last one; zero after an answered call.
    Duration fullBackoff{};      ///< Last one; zero after an answered call.
    std::uint64_t usedBytes = 0; ///< By stored and pending results.
  };
  struct Call
  {
    std::string replica;
    Instant startedAt{};
    std::uint64_t bytes = 0; ///< Memory reserved for its results.
  };
  struct Result
  {
    std::string replica;
    std::uint64_t bytes = 0;
    Instant computedAt{};
  };

  Duration CallTimeOf(std::size_t aPieces) const;
  double LatencyRatioOf(const ReplicaState& aReplica, Instant aNow) const;
  /** Fails the jobs that miss their deadlines if the next call starts then. */
  void FailLateJobs(Instant aNextStart);
  /** A replica that a job could go to, and when it would finish one piece. */
  struct Candidate
  {
    BackendPtr backend;
    Instant finish{};
    std::uint64_t freeMemory = 0;
    bool isFree = false;
  };
  std::vector<Candidate> FindCandidates(std::span<const BackendPtr> aReplicas,
                                        const SendPermissions* aPermissions,
                                        Instant aNow);
  StageCapacity CapacityOf(std::span<const Candidate> aCandidates) const;
  /** Whether the jobs are to be put in order again. A long queue keeps an order
   * for a while: the work of each event would grow with its length. */
  bool IsOrderDue(Instant aNow) const;
  /** Orders the waiting jobs; fails those that the work before them makes
   * miss their deadlines. */
  void Reorder(std::span<const Candidate> aCandidates, Instant aNow);
  /** Whether a job of the order still waits, and has not been held since. */
  static bool MayBeSent(const JobState* aState);
  /** Jobs of the order from the first on that may be sent. */
  std::span<JobState* const> WaitingOrder();
  void Erase(PieceJobId aId);
  const Candidate* BestCandidateFor(const JobState& aState,
                                    std::span<const Candidate> aCandidates,
                                    Instant aNow) const;
  /** Whether a job may use the free memory of a replica now. */
  bool Fits(const JobState& aState, std::uint64_t aFreeMemory) const;
  bool IsLarge(const JobState& aState) const;
  Duration HoldTime() const;
  /** Time for which the large results of the jobs ahead would occupy the memory
   * of one replica. */
  Duration MemoryTime(std::uint32_t aPriority) const;
  Batch MakeBatch(std::span<JobState* const> aJobs,
                  const Candidate& aCandidate,
                  std::size_t aIdle,
                  Instant aNow);
  std::vector<BatchItem> TakePieces(std::span<JobState* const> aJobs,
                                    std::size_t aIdle,
                                    std::uint64_t aFreeMemory,
                                    std::string_view aZone);
  void WakeBy(Instant aTime);
  std::uint64_t FreeMemoryOf(const ReplicaState& aReplica) const;
  void ExpireResults(Instant aNow);
  void OrphanResults(JobState& aState);
  void RecordResults(const Batch& aBatch,
                     std::span<const BatchItemResult> aResults,
                     Instant aNow);
  void Finish(JobState& aState, PieceFailure aFailure);
  void Requeue(const Batch& aBatch, bool aCountsFailure);
  void PutBack(JobState& aState, std::uint32_t aPiece);
  void ApplyResult(const BatchItem& aItem, const BatchItemResult& aResult);
  JobState* StateOf(PieceJobId aId);

  BatchSpec spec_;
  std::map<PieceJobId, JobState> jobs_;
  std::map<std::string, ReplicaState, std::less<>> replicas_;
  std::map<std::uint64_t, Call> calls_;
  std::vector<PieceJobEnd> ended_;
  std::vector<std::string> orphans_;
  std::map<std::string, Result, std::less<>> results_;
  /** Handles in the order in which their results expire. */
  std::deque<std::pair<Instant, std::string>> expiries_;
  /** Jobs as last ordered; null for those that have ended since. */
  std::vector<JobState*> order_;
  std::size_t orderBegin_ = 0; ///< No job before it may be sent.
  Instant orderedAt_{};
  std::uint64_t orderedJobs_ = 0;
  std::size_t unorderedJobs_ = 0; ///< Added since the last order.
  std::size_t waitingPieces_ = 0; ///< Of all jobs.
  bool hasHeldJobs_ = false;      ///< Some may not be sent as others are.
  std::uint64_t lastNumber_ = 0;
  std::optional<Instant> wakeAt_;
  std::uint64_t idleFreeMemory_ = 0; ///< Total of all idle replicas.
  double inTimeShare_ = 0.0;         ///< Smoothed call share of jobs in time.
  double holdMs_; ///< Smoothed time that large results are held.
};

} // namespace gypsum
