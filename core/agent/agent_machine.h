#pragma once

#include "core/agent/agent_events.h"
#include "core/agent/known_entries.h"
#include "core/agent/stage_queue.h"
#include "core/membership/shutdown_linger.h"
#include "core/ownership/execution_records.h"
#include "core/ownership/key_release.h"
#include "core/ownership/ownership.h"
#include "core/ownership/seen_attempts.h"
#include "core/routing/policy_options.h"

#include <boost/json/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Settings that the decisions of an agent depend on. */
struct AgentOptions
{
  ProcessId self;
  std::size_t maxQueued = 0;
  RecordLimits records;
  std::uint32_t defaultConcurrency = 1; ///< Used until a manifest sets one.
  PolicyOptions policy{};
  std::string peerAddress; ///< Own address; if empty, the manifest's is used.
};

/** Event counts of an agent since its start. */
struct AgentCounters
{
  std::uint64_t executed = 0;
  std::uint64_t misdirected = 0; ///< For another incarnation or not for agents.
  std::uint64_t corrupt = 0;     ///< Inputs whose checksum does not match.
  std::uint64_t refused = 0;
  std::uint64_t replayed = 0;   ///< Answered from the record of a past run.
  std::uint64_t joined = 0;     ///< Attached to a run already in progress.
  std::uint64_t tombstones = 0; ///< Attempts cancelled before their arrival.
  std::uint64_t duplicates = 0; ///< Attempts received more than once.
};

/**
 * Decides which stages run at the agent's backend server, and when.
 *
 * Pure state machine: takes an event and the time, and returns effects for the
 * caller to carry out. Not thread-safe.
 */
class AgentMachine
{
public:
  AgentMachine(AgentOptions aOptions, ClockReading aStart);

  AgentEffects Handle(AgentEvent aEvent, ClockReading aNow);

  const AgentCounters& Counters() const { return counters_; }
  Revision ActiveRevision() const;
  void Describe(boost::json::object& aState) const;

private:
  struct RunningCall
  {
    Route route;
    StageRequest request;
    Instant queuedAt{};
    Instant startedAt{};
    bool isCancelled = false;
  };
  /** An attempt that waits for the result of a run started by another one. */
  struct Waiter
  {
    Route route;
    StageId id;
    Instant deadline{};
  };

  void On(AgentMessage& aEvent);
  void On(BackendReturned& aEvent);
  void On(AgentManifestAdopted& aEvent);
  void On(AgentLeavingListUpdated& aEvent);
  void On(AgentStopRequested& aEvent);
  void On(AgentTick& aEvent);

  void OnBody(const AgentMessage& aEvent, Hello& aBody);
  void OnBody(const AgentMessage& aEvent, StageRequest& aBody);
  void OnBody(const AgentMessage& aEvent, Cancel& aBody);
  void OnBody(const AgentMessage& aEvent, ReleaseRequest& aBody);
  void OnBody(const AgentMessage& aEvent, ReleaseReply& aBody);
  template<typename UnexpectedBody>
  void OnBody(const AgentMessage& aEvent, UnexpectedBody& aBody);

  /** Admits a non-repeatable stage, which needs ownership of its key. */
  void AdmitOwned(const AgentMessage& aEvent,
                  StageRequest& aRequest,
                  AttemptStatus aAttemptStatus);
  OwnershipStatus CheckOwnership(const RequestId& aId) const;
  void RequestReleases();
  /** Attaches an attempt to the run of its key that is in progress. */
  void Join(const AgentMessage& aEvent, const StageRequest& aRequest);
  bool RemoveWaiter(const StageId& aId);
  /** Removes the waiter with the latest deadline, if it is not yet past. */
  std::optional<Waiter> TakeWaiter(const StageId& aId);
  void Enqueue(const Route& aRoute, StageRequest aRequest);
  void Refuse(const Route& aRoute,
              const StageId& aId,
              Outcome aOutcome,
              ErrorKind aError);
  /** Refuses a queued attempt, or hands its place to a waiting attempt. */
  void RejectQueued(QueuedStage aStage, ErrorKind aError);
  /** Refuses an attempt and its waiters, and removes the key's record. */
  void Withdraw(const Route& aRoute,
                const StageId& aId,
                Outcome aOutcome,
                ErrorKind aError);
  void StartQueued();
  /** Whether another long input may start now. */
  bool MayStartLong() const;
  void Start(QueuedStage aStage);
  void Reply(const Route& aRoute, StageReply aReply);
  void ReplyToAll(const RunningCall& aRunning, StageReply aReply);
  void Send(const Route& aRoute, Incarnation aTarget, PeerBody aBody);
  void ReportIfDrained();
  /** Notifies the known entries if `IsLeaving` has changed. */
  void AnnounceIfLeavingChanged(bool aWasLeaving);
  Report Load() const;
  /** Whether new work is refused: stopping, or listed as leaving. */
  bool IsLeaving() const;
  std::uint32_t Concurrency() const;

  AgentOptions options_;
  ExecutionRecords records_;
  Ownership ownership_;
  KeyRelease release_;
  StageQueue queue_;
  std::map<std::uint64_t, RunningCall> running_;
  std::map<std::pair<RequestId, std::uint32_t>, std::vector<Waiter>> waiters_;
  SeenAttempts seen_;
  AgentCounters counters_;
  ManifestPtr manifest_;
  bool isStopping_ = false;
  bool isListedLeaving_ = false;
  KnownEntries knownEntries_;
  ShutdownLinger shutdownLinger_;
  Instant reportedLeavingUntil_{}; ///< Expiry of a peer's leaving report.
  Duration meanService_{};         ///< Smoothed time of a successful call.
  std::uint64_t nextCall_ = 1;
  ClockReading now_;
  AgentEffects effects_;
};

} // namespace gypsum
