#pragma once

#include "core/agent/agent_machine.h"
#include "core/entry/entry_machine.h"
#include "core/replay/backend_model.h"
#include "core/replay/replay_record.h"
#include "core/routing/policy_options.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace gypsum {

/**
 * Replays a trace through the state machines of entries and agents in virtual
 * time.
 *
 * The state machines are those that the processes run. Only the network, the
 * backend servers and the clock are simulated.
 */
class ReplayRunner
{
public:
  ReplayRunner(const Trace& aTrace,
               ManifestPtr aManifest,
               const PolicyOptions& aPolicy);

  /**
   * Runs the trace until every request has a response, or until the drain
   * timeout after the last arrival. Call once.
   */
  ReplayRecord Run();

private:
  /** A running call of a backend server. */
  struct OpenCall
  {
    std::size_t recordIndex = 0; ///< Index in `ReplayRecord::calls`.
    Instant startedAt{};
  };
  /** An agent and its backend server. */
  struct Host
  {
    std::string name;
    std::string zone;
    bool isEngine = false;
    std::unique_ptr<AgentMachine> agent;
    BackendModel model{ EngineModel{} };
    bool isDead = false;
    bool isFrozen = false;
    bool isFailing = false;
    bool isMute = false;
    std::vector<AgentEvent> heldEvents; ///< Received while frozen.
    std::map<std::uint64_t, OpenCall> calls;
  };
  /** A callback scheduled in virtual time. */
  struct Action
  {
    Instant at{};
    std::uint64_t sequence = 0; ///< Orders actions due at the same time.
    std::function<void()> run;
    bool operator>(const Action& aOther) const
    {
      return std::pair(at, sequence) > std::pair(aOther.at, aOther.sequence);
    }
  };

  void Build(const PolicyOptions& aPolicy);
  void ScheduleAt(Instant aTime, std::function<void()> aRun);
  void ScheduleAfter(Duration aDelay, std::function<void()> aRun);
  ClockReading Now() const;
  void Tick();
  void Submit(std::size_t aArrival);
  void Apply(const TraceFault& aFault);
  void Recover(Host& aHost);

  void HandleEntry(std::size_t aEntry, EntryEvent aEvent);
  void HandleAgent(Host& aHost, AgentEvent aEvent);
  void OnEffect(std::size_t aEntry, AnswerCaller& aEffect);
  void OnEffect(std::size_t aEntry, SendTo& aEffect);
  void OnEffect(Host& aHost, SendBack& aEffect);
  void OnEffect(Host& aHost, CallBackend& aEffect);
  void OnEffect(Host& aHost, AbortBackend& aEffect);
  /** Ignores all other effects. */
  template<typename Self, typename Other>
  void OnEffect(Self& aSelf, Other& aEffect);
  void FinishCall(Host& aHost, std::uint64_t aCall, BackendResult aResult);

  const Trace& trace_;
  ManifestPtr manifest_;
  std::vector<std::unique_ptr<EntryMachine>> entries_;
  std::map<std::string, Host> hosts_; ///< Keyed by address.
  std::map<std::string, std::size_t> arrivalByKey_;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
  std::uint64_t nextActionNumber_ = 0;
  Instant now_{};
  std::set<std::pair<std::string, std::uint32_t>> sentStages_;
  Duration reportLag_{};
  std::size_t unanswered_ = 0;
  ReplayRecord record_;
};

} // namespace gypsum
