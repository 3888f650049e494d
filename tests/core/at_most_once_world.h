#pragma once

#include "core/agent/agent_machine.h"
#include "core/entry/entry_machine.h"
#include "core/hash.h"
#include "tests/core/at_most_once_checker.h"
#include "tests/core/at_most_once_manifests.h"
#include "tests/core/test_execution_records.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace gypsum::tests {

/** Setup of a simulated world, without the schedule. */
struct WorldOptions
{
  std::uint64_t seed = 0;
  unsigned revisionCount = 4;
  bool areNewAgentsStale = false; ///< No peer sends them a later revision.
};

/**
 * Simulates one key, two entries, three agents of one service and a checker.
 *
 * Each action is a line of text, so that a schedule can be stored as a trace.
 * Packets are identified by sender, receiver, kind and sequence number.
 */
class AtMostOnceWorld
{
public:
  explicit AtMostOnceWorld(WorldOptions aOptions)
    : seed_(aOptions.seed)
    , areNewAgentsStale_(aOptions.areNewAgentsStale)
    , random_(aOptions.seed)
    , isTimedKey_(random_() % 4 != 0)
  {
    manifests_ = MakeManifests(random_, aOptions.revisionCount);
    for (const char* const name :
         { "entry-1", "entry-2", "a-1", "a-2", "a-3", "a-4" }) {
      Process& process = processes_[name];
      process.name = name;
      Start(process, 1);
    }
    now_ += kLifetime * (isTimedKey_ ? 0 : 2);
    const auto age = std::chrono::milliseconds(random_() % 1'000);
    key_ = isTimedKey_ ? KeyAt(WallAt(now_) + age) : "plain-key";
    Apply("advance 300");
    Apply("settle");
  }

  /** Carries out one action; does nothing if the action no longer applies. */
  void Apply(const std::string& aAction)
  {
    std::istringstream words(aAction);
    std::string verb;
    std::string subject;
    std::string argument;
    words >> verb >> subject >> argument;
    if (verb == "settle") {
      Settle();
    } else if (verb == "advance") {
      Advance(std::chrono::milliseconds(std::stoul(subject)));
    } else if (verb == "move") {
      for (auto& [name, process] : processes_) {
        ActOn("adopt", process, subject);
      }
    } else if (verb == "deliver" || verb == "drop" || verb == "double") {
      HandlePacket(verb, subject);
    } else if (processes_.contains(subject)) {
      ActOn(verb, processes_.at(subject), argument);
    }
    checker_.Check();
  }

  /** Draws the next action of a random schedule. */
  std::string DrawAction()
  {
    const std::string process = DrawProcess();
    const std::string revision =
      std::to_string(1 + random_() % manifests_.size());
    const unsigned choice = random_() % 100;
    if (choice < 22 && !packets_.empty()) {
      const std::string& label = packets_[random_() % packets_.size()].label;
      constexpr std::array kPacketActions{ "deliver ", "deliver ", "deliver ",
                                           "double ",  "double ",  "drop " };
      return kPacketActions[random_() % kPacketActions.size()] + label;
    }
    if (choice < 40) {
      return "settle";
    }
    if (choice < 52) {
      constexpr std::array kStepsMs{ 1, 5, 20, 100, 300, 400, 1'100, 6'500 };
      return "advance " + std::to_string(kStepsMs[random_() % kStepsMs.size()]);
    }
    if (choice < 65) {
      return "submit entry-" + std::to_string(1 + random_() % 2) +
             (random_() % 4 ? "" : " first");
    }
    if (choice < 75) {
      return "dispatch " + DrawProcessWith(&Process::undispatched) +
             (random_() % 5 ? " sent" : " unsent");
    }
    if (choice < 82) {
      return "return " + DrawProcessWith(&Process::dispatched) +
             (random_() % 4 ? " 200" : " 500");
    }
    if (choice < 90) {
      constexpr std::array kFaults{
        "freeze ",  "thaw ",    "thaw ",   "kill ",
        "restart ", "restart ", "bounce ", "load "
      };
      return kFaults[random_() % kFaults.size()] + process + " " + revision;
    }
    if (choice < 95) {
      return "adopt " + process + " " + revision;
    }
    return choice < 98          ? "move " + revision
           : random_() % 8 == 0 ? "stop " + process
                                : "settle";
  }

  /** First violation; empty if there was none. */
  const std::string& Violation() const { return checker_.Violation(); }
  const Tally& Totals() const { return checker_.Totals(); }

private:
  using Machine =
    std::variant<std::unique_ptr<EntryMachine>, std::unique_ptr<AgentMachine>>;

  struct Process
  {
    std::string name;
    Duration wallClockError{};
    bool isAlive = false;
    bool isFrozen = false;
    Machine machine;
    Incarnation incarnation = 0;
    /** Calls that the agent has decided on but not yet sent to the backend. */
    std::deque<CallBackend> undispatched;
    /** Calls sent to the backend whose result has not been reported. */
    std::set<std::uint64_t> dispatched;

    bool IsActive() const { return isAlive && !isFrozen; }
  };
  struct Packet
  {
    std::string label;
    std::string from;
    std::string to;
    PeerMessage message;
    Duration sentAt{};
  };
  static constexpr int kClockErrorMs = 200;
  static constexpr Duration kLifetime = std::chrono::seconds(5);
  static constexpr Duration kMaxDelay = std::chrono::seconds(1);
  static constexpr std::size_t kMaxPackets = 60;
  static constexpr unsigned kMaxSettledPackets = 300;

  static bool IsEntry(const Process& aProcess)
  {
    return aProcess.name.starts_with("entry");
  }

  std::string DrawProcess()
  {
    auto process = processes_.begin();
    std::advance(process, random_() % processes_.size());
    return process->first;
  }

  /** An agent whose member is not empty, or any process if there is none. */
  template<typename Member>
  std::string DrawProcessWith(Member aMember)
  {
    const auto busy = std::ranges::find_if(processes_, [&](const auto& aItem) {
      return !(aItem.second.*aMember).empty();
    });
    return busy == processes_.end() ? DrawProcess() : busy->first;
  }

  static WallTime WallAt(Duration aNow)
  {
    return WallTime(std::chrono::hours(490'000)) +
           std::chrono::duration_cast<std::chrono::milliseconds>(aNow);
  }

  ClockReading NowOf(const Process& aProcess) const
  {
    return { Instant(std::chrono::hours(1)) + now_,
             WallAt(now_ + aProcess.wallClockError) };
  }

  void Start(Process& aProcess, unsigned aRevision)
  {
    // The fourth VM can replace the VM of the second slot.
    const ProcessId self{ aProcess.name == "a-4" ? "a-2" : aProcess.name,
                          ++lastIncarnation_ };
    // Each incarnation may run on another VM with another clock.
    const std::uint64_t draw =
      Checksum(std::to_string(seed_ + lastIncarnation_));
    aProcess.wallClockError = std::chrono::milliseconds(
      static_cast<int>(draw % kClockErrorMs) - kClockErrorMs / 2);
    aProcess.incarnation = lastIncarnation_;
    aProcess.isAlive = true;
    aProcess.isFrozen = false;
    aProcess.undispatched.clear();
    aProcess.dispatched.clear();
    if (IsEntry(aProcess)) {
      aProcess.machine = std::make_unique<EntryMachine>(EntryOptions{
        self, "zone-a", 3, std::chrono::milliseconds(250), lastIncarnation_ });
    } else {
      AgentOptions options;
      options.self = self;
      options.maxQueued = 2;
      options.records = {
        4, kLifetime, std::chrono::milliseconds(kClockErrorMs), 1'024
      };
      options.peerAddress = "127.0.0.1:" + aProcess.name.substr(2);
      aProcess.machine =
        std::make_unique<AgentMachine>(std::move(options), NowOf(aProcess));
    }
    // A new agent adopts the highest revision that its peers know.
    const bool hasNoPeerRevision = IsEntry(aProcess) || areNewAgentsStale_;
    Adopt(aProcess,
          hasNoPeerRevision ? aRevision
                            : std::max(aRevision, highestRevision_));
  }

  void Adopt(Process& aProcess, unsigned aRevision)
  {
    highestRevision_ = std::max(highestRevision_, aRevision);
    const ManifestPtr& manifest = manifests_.at(aRevision - 1);
    if (IsEntry(aProcess)) {
      Feed(aProcess, EntryManifestAdopted{ manifest });
    } else {
      Feed(aProcess, AgentManifestAdopted{ manifest });
    }
  }

  void ActOn(const std::string& aVerb,
             Process& aProcess,
             const std::string& aArgument)
  {
    if (aVerb == "restart") {
      if (!aProcess.isAlive) {
        Start(aProcess, std::stoul(aArgument));
      }
      return;
    }
    if (!aProcess.isAlive) {
      return;
    }
    if (aVerb == "kill" || aVerb == "bounce") {
      Kill(aProcess);
      if (aVerb == "bounce") {
        Start(aProcess, std::stoul(aArgument));
      }
    } else if (aVerb == "freeze") {
      checker_.MutableTotals().freezes += aProcess.isFrozen ? 0 : 1;
      aProcess.isFrozen = true;
    } else if (aVerb == "thaw") {
      aProcess.isFrozen = false;
    } else if (!aProcess.isFrozen) {
      ActOnActive(aVerb, aProcess, aArgument);
    }
  }

  void ActOnActive(const std::string& aVerb,
                   Process& aProcess,
                   const std::string& aArgument)
  {
    if (aVerb == "adopt") {
      ++checker_.MutableTotals().adoptions;
      Adopt(aProcess, std::stoul(aArgument));
    } else if (aVerb == "submit" && IsEntry(aProcess)) {
      Submit(aProcess, aArgument == "first");
    } else if (aVerb == "stop") {
      ++checker_.MutableTotals().stops;
      if (IsEntry(aProcess)) {
        Feed(aProcess, EntryStopRequested{});
      } else {
        Feed(aProcess, AgentStopRequested{});
      }
    } else if (aVerb == "load" && !IsEntry(aProcess)) {
      OccupyBackend(aProcess);
    } else if (aVerb == "dispatch" && !aProcess.undispatched.empty()) {
      Dispatch(aProcess, aArgument == "sent");
    } else if (aVerb == "return" && !aProcess.dispatched.empty()) {
      const std::uint64_t call = *aProcess.dispatched.begin();
      aProcess.dispatched.erase(call);
      const unsigned status = std::stoul(aArgument);
      Feed(aProcess, BackendReturned{ call, { true, status, "confirmed" } });
    }
  }

  /** Occupies the backend server, whose concurrency is 1, with a request. */
  void OccupyBackend(Process& aProcess)
  {
    StageRequest other;
    other.id = { { "atelier", "other" }, 0, ++sentCounts_["other"], 1 };
    other.budget = kLifetime;
    other.checksum = Checksum(other.input);
    const Incarnation target = aProcess.incarnation;
    Feed(aProcess,
         AgentMessage{ "", { { { "other", 1 }, target, 1 }, other } });
  }

  void Kill(Process& aProcess)
  {
    ++checker_.MutableTotals().kills;
    aProcess.isAlive = false;
    checker_.OnEntryKilled(aProcess.name);
  }

  void Submit(Process& aProcess, bool aIsFirst)
  {
    const bool isTooLate =
      !isTimedKey_ && checker_.SinceFirst(now_) > kLifetime - kMaxDelay;
    if (isTooLate) {
      return;
    }
    const std::uint64_t number = checker_.OnSubmitted(aProcess.name, now_);
    Feed(aProcess,
         CallerRequest{ number,
                        { "atelier", key_ },
                        "hold",
                        "body",
                        AtMostOnceChecker::DeadlineOf(number),
                        aIsFirst && number == 1 });
  }

  void Dispatch(Process& aProcess, bool aWasSent)
  {
    const CallBackend call = std::move(aProcess.undispatched.front());
    aProcess.undispatched.pop_front();
    if (!aWasSent) {
      Feed(aProcess, BackendReturned{ call.call, { false, 0, {} } });
      return;
    }
    checker_.OnExecuted(call.input);
    aProcess.dispatched.insert(call.call);
  }

  void Advance(Duration aStep)
  {
    now_ += aStep;
    if (!isTimedKey_) {
      // For a key without a time, the guarantee requires that the delay of
      // messages is bounded.
      std::erase_if(packets_, [&](const Packet& aItem) {
        return now_ - aItem.sentAt > kMaxDelay;
      });
    }
    for (auto& [name, process] : processes_) {
      if (process.IsActive() && IsEntry(process)) {
        Feed(process, EntryTick{});
      } else if (process.IsActive()) {
        Feed(process, AgentTick{});
      }
    }
    checker_.CheckOverdue(now_, [this](const std::string& aEntry) {
      return processes_.at(aEntry).IsActive();
    });
  }

  void Settle()
  {
    for (unsigned round = 0; round < kMaxSettledPackets; ++round) {
      const auto next =
        std::ranges::find_if(packets_, [&](const Packet& aItem) {
          return processes_.at(aItem.to).IsActive();
        });
      if (next == packets_.end()) {
        return;
      }
      const Packet packet = std::move(*next);
      packets_.erase(next);
      Deliver(packet);
    }
  }

  void HandlePacket(const std::string& aVerb, const std::string& aLabel)
  {
    const auto found = std::ranges::find(packets_, aLabel, &Packet::label);
    if (found == packets_.end()) {
      return;
    }
    const Packet packet = *found;
    if (aVerb != "drop" && !processes_.at(packet.to).IsActive()) {
      return;
    }
    if (aVerb != "double") {
      packets_.erase(found);
    }
    if (aVerb != "drop") {
      Deliver(packet);
    }
  }

  void Deliver(const Packet& aPacket)
  {
    Process& process = processes_.at(aPacket.to);
    if (IsEntry(process)) {
      Feed(process, EntryMessage{ aPacket.message });
    } else {
      Feed(process, AgentMessage{ aPacket.from, aPacket.message });
    }
  }

  static std::string ProcessAt(const std::string& aAddress)
  {
    return "a-" + aAddress.substr(aAddress.rfind(':') + 1);
  }

  void Feed(Process& aProcess, EntryEvent aEvent)
  {
    auto& machine = std::get<std::unique_ptr<EntryMachine>>(aProcess.machine);
    for (EntryEffect& effect :
         machine->Handle(std::move(aEvent), NowOf(aProcess))) {
      if (auto* const sent = std::get_if<SendTo>(&effect)) {
        Send(aProcess.name, ProcessAt(sent->address), std::move(sent->message));
      } else if (auto* const answer = std::get_if<AnswerCaller>(&effect)) {
        checker_.OnAnswer(*answer);
      }
    }
  }

  void Feed(Process& aProcess, AgentEvent aEvent)
  {
    auto& machine = std::get<std::unique_ptr<AgentMachine>>(aProcess.machine);
    for (AgentEffect& effect :
         machine->Handle(std::move(aEvent), NowOf(aProcess))) {
      if (auto* const reply = std::get_if<SendBack>(&effect)) {
        Send(aProcess.name, reply->route, std::move(reply->message));
      } else if (auto* const sent = std::get_if<SendTo>(&effect)) {
        Send(aProcess.name, ProcessAt(sent->address), std::move(sent->message));
      } else if (auto* const call = std::get_if<CallBackend>(&effect)) {
        OnCall(aProcess, std::move(*call));
      }
    }
  }

  void OnCall(Process& aProcess, CallBackend aCall)
  {
    if (aCall.isRepeatable) {
      aProcess.dispatched.insert(aCall.call);
      return;
    }
    checker_.OnCallDecided(aCall, aProcess.incarnation);
    aProcess.undispatched.push_back(std::move(aCall));
  }

  void Send(const std::string& aFrom,
            const std::string& aTo,
            PeerMessage aMessage)
  {
    if (auto* const stage = std::get_if<StageRequest>(&aMessage.body)) {
      // The input identifies the attempt, so that an execution can be traced
      // back to its call.
      stage->input = ToText(stage->id) + "@" + std::to_string(stage->id.entry);
      checker_.OnSent(aFrom, *stage, aMessage.header.target, now_);
      stage->checksum = Checksum(stage->input);
    }
    static constexpr std::array kKinds{ "hello",  "report", "request",  "reply",
                                        "cancel", "ask",    "manifest", "news",
                                        "pull",   "release" };
    const std::string name =
      aFrom + ">" + aTo + ":" + kKinds.at(aMessage.body.index());
    const std::string label = name + std::to_string(++sentCounts_[name]);
    packets_.push_back({ label, aFrom, aTo, std::move(aMessage), now_ });
    if (packets_.back().to.empty()) {
      packets_.pop_back();
    } else if (packets_.size() > kMaxPackets) {
      packets_.pop_front();
    }
  }

  std::uint64_t seed_;
  bool areNewAgentsStale_;
  std::mt19937_64 random_;
  bool isTimedKey_;
  std::vector<ManifestPtr> manifests_;
  std::map<std::string, Process> processes_;
  AtMostOnceChecker checker_;
  std::deque<Packet> packets_;
  std::map<std::string, unsigned> sentCounts_;
  unsigned highestRevision_ = 1; ///< Highest one ever active in a process.
  Incarnation lastIncarnation_ = 100;
  std::string key_;
  Duration now_{};
};

} // namespace gypsum::tests
