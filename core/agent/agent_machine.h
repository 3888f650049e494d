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

/** What an agent's decisions need to know from its settings. */
struct AgentOptions
{
  ProcessId self;
  std::size_t maxQueued = 0;
  RecordLimits records;
  std::uint32_t defaultConcurrency = 1; ///< Until a manifest names one.
  PolicyOptions policy{};
  std::string peerAddress; ///< As the manifest names it; empty takes any.
};

/** What an agent has counted since its start. */
struct AgentCounters
{
  std::uint64_t executed = 0;
  std::uint64_t misdirected = 0; ///< Messages for another incarnation.
  std::uint64_t corrupt = 0;     ///< Inputs whose checksum does not match.
  std::uint64_t refused = 0;
  std::uint64_t replayed = 0;
  std::uint64_t joined = 0;
  std::uint64_t tombstones = 0; ///< Attempts cancelled before they came.
  std::uint64_t duplicates = 0; ///< Attempts that came a second time.
};

/**
 * All decisions of an agent: which stage runs at its backend server and when.
 *
 * Pure: an event and the time go in, effects come out. Not thread-safe.
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
  struct Running
  {
    Route route;
    StageRequest request;
    Instant queuedAt{};
    Instant startedAt{};
    bool isCancelled = false;
  };
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
  template<typename Other>
  void OnBody(const AgentMessage& aEvent, Other& aBody);

  void AdmitOwned(const AgentMessage& aEvent,
                  StageRequest& aRequest,
                  Sight aSight);
  Claim CheckClaim(const RequestId& aId) const;
  void AskForReleases();
  void Join(const AgentMessage& aEvent, const StageRequest& aRequest);
  bool RemoveWaiter(const StageId& aId);
  std::optional<Waiter> TakeWaiter(const StageId& aId);
  void Enqueue(const Route& aRoute, StageRequest aRequest);
  void Refuse(const Route& aRoute,
              const StageId& aId,
              Outcome aOutcome,
              ErrorKind aError);
  void GiveBack(QueuedStage aStage, ErrorKind aError);
  void Withdraw(const Route& aRoute,
                const StageId& aId,
                Outcome aOutcome,
                ErrorKind aError);
  void StartWaiting();
  bool MayStartLong() const;
  void Start(QueuedStage aStage);
  void Reply(const Route& aRoute, StageReply aReply);
  void ReplyToAll(const Running& aRunning, StageReply aReply);
  void Send(const Route& aRoute, Incarnation aTarget, PeerBody aBody);
  void ReportIfDrained();
  void AnnounceIfChanged(bool aWasLeaving);
  Report Load() const;
  /** Whether new work is refused: stopping, or listed as leaving. */
  bool IsLeaving() const;
  std::uint32_t Concurrency() const;

  AgentOptions options_;
  ExecutionRecords records_;
  Ownership ownership_;
  KeyRelease release_;
  StageQueue queue_;
  std::map<std::uint64_t, Running> running_;
  std::map<std::pair<RequestId, std::uint32_t>, std::vector<Waiter>> waiters_;
  SeenAttempts seen_;
  AgentCounters counters_;
  ManifestPtr manifest_;
  bool isLeaving_ = false;
  bool isListedLeaving_ = false;
  KnownEntries knownEntries_;
  ShutdownLinger shutdownLinger_;
  Instant heardLeavingUntil_{}; ///< Lapse of a peer's word that it is listed.
  Duration meanService_{};
  std::uint64_t nextCall_ = 1;
  ClockReading now_;
  AgentEffects effects_;
};

} // namespace gypsum
