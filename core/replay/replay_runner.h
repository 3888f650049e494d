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
 * Runs a trace over the machines of entries and agents in virtual time.
 *
 * The machines are those of the processes, unchanged; only the network, the
 * backend servers and the clock are replaced by models.
 */
class ReplayRunner
{
public:
  ReplayRunner(const Trace& aTrace,
               ManifestPtr aManifest,
               const PolicyOptions& aPolicy);

  /** Runs the whole trace and until every request is answered. */
  ReplayRecord Run();

private:
  /** A call at a backend server. */
  struct OpenCall
  {
    std::size_t index = 0; ///< In the record.
    Instant startedAt{};
  };
  /** One agent with its backend server. */
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
    std::vector<AgentEvent> held; ///< Came while frozen.
    std::map<std::uint64_t, OpenCall> calls;
  };
  struct Action
  {
    Instant at{};
    std::uint64_t number = 0; ///< Keeps actions of one time in order.
    std::function<void()> run;
    bool operator>(const Action& aOther) const
    {
      return std::pair(at, number) > std::pair(aOther.at, aOther.number);
    }
  };

  void Build(const PolicyOptions& aPolicy);
  void At(Instant aTime, std::function<void()> aRun);
  void After(Duration aDelay, std::function<void()> aRun);
  ClockReading Now() const;
  void Tick();
  void Submit(std::size_t aArrival);
  void Apply(const TraceFault& aFault);
  void Heal(Host& aHost);

  void HandleEntry(std::size_t aEntry, EntryEvent aEvent);
  void HandleAgent(Host& aHost, AgentEvent aEvent);
  void OnEffect(std::size_t aEntry, AnswerCaller& aEffect);
  void OnEffect(std::size_t aEntry, SendTo& aEffect);
  void OnEffect(Host& aHost, SendBack& aEffect);
  void OnEffect(Host& aHost, CallBackend& aEffect);
  void OnEffect(Host& aHost, AbortBackend& aEffect);
  template<typename Self, typename Other>
  void OnEffect(Self& aSelf, Other& aEffect);
  void FinishCall(Host& aHost, std::uint64_t aCall, BackendResult aResult);

  const Trace& trace_;
  ManifestPtr manifest_;
  std::vector<std::unique_ptr<EntryMachine>> entries_;
  std::map<std::string, Host> hosts_; ///< By address.
  std::map<std::string, std::size_t> arrivalOfKey_;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions_;
  std::uint64_t nextAction_ = 0;
  Instant now_{};
  std::set<std::pair<std::string, std::uint32_t>> sent_;
  Duration reportLag_{};
  std::size_t unanswered_ = 0;
  ReplayRecord record_;
};

} // namespace gypsum
