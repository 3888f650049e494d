#pragma once

#include "core/agent/agent_machine.h"
#include "core/entry/entry_machine.h"
#include "core/hash.h"
#include "tests/core/at_most_once_judge.h"
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

/** How a seed sets up a world besides the schedule itself. */
struct WorldOptions
{
  std::uint64_t seed = 0;
  unsigned mostRevisions = 4;
  bool areFreshAgentsStale = false; ///< No peer tells them a later revision.
};

/**
 * One key, two entries, three agents of one service and a judge.
 *
 * An action is a line of text, so that a schedule can be kept as a trace:
 * packets are named by sender, receiver, kind and running number.
 */
class AtMostOnceWorld
{
public:
  explicit AtMostOnceWorld(WorldOptions aOptions)
    : seed_(aOptions.seed)
    , areFreshAgentsStale_(aOptions.areFreshAgentsStale)
    , random_(aOptions.seed)
    , isTimedKey_(random_() % 4 != 0)
  {
    manifests_ = MakeManifests(random_, aOptions.mostRevisions);
    for (const char* const name :
         { "entry-1", "entry-2", "a-1", "a-2", "a-3", "a-4" }) {
      Party& party = parties_[name];
      party.name = name;
      Start(party, 1);
    }
    now_ += kLifetime * (isTimedKey_ ? 0 : 2);
    const auto age = std::chrono::milliseconds(random_() % 1'000);
    key_ = isTimedKey_ ? KeyAt(WallAt(now_) + age) : "plain-key";
    Do("advance 300");
    Do("settle");
  }

  /** Carries out one action; one that no longer applies does nothing. */
  void Do(const std::string& aAction)
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
      for (auto& [name, party] : parties_) {
        Act("adopt", party, subject);
      }
    } else if (verb == "deliver" || verb == "drop" || verb == "double") {
      Carry(verb, subject);
    } else if (parties_.contains(subject)) {
      Act(verb, parties_.at(subject), argument);
    }
    judge_.Check();
  }

  /** Draws the next action of a random schedule. */
  std::string Draw()
  {
    const std::string party = DrawName();
    const std::string revision =
      std::to_string(1 + random_() % manifests_.size());
    const unsigned choice = random_() % 100;
    if (choice < 22 && !packets_.empty()) {
      const std::string& label = packets_[random_() % packets_.size()].label;
      constexpr std::array kFates{ "deliver ", "deliver ", "deliver ",
                                   "double ",  "double ",  "drop " };
      return kFates[random_() % kFates.size()] + label;
    }
    if (choice < 40) {
      return "settle";
    }
    if (choice < 52) {
      constexpr std::array kSteps{ 1, 5, 20, 100, 300, 400, 1'100, 6'500 };
      return "advance " + std::to_string(kSteps[random_() % kSteps.size()]);
    }
    if (choice < 65) {
      return "submit entry-" + std::to_string(1 + random_() % 2) +
             (random_() % 4 ? "" : " first");
    }
    if (choice < 75) {
      return "dispatch " + DrawBusy(&Party::decided) +
             (random_() % 5 ? " sent" : " unsent");
    }
    if (choice < 82) {
      return "return " + DrawBusy(&Party::written) +
             (random_() % 4 ? " 200" : " 500");
    }
    if (choice < 90) {
      constexpr std::array kFaults{
        "freeze ",  "thaw ",    "thaw ",   "kill ",
        "restart ", "restart ", "bounce ", "load "
      };
      return kFaults[random_() % kFaults.size()] + party + " " + revision;
    }
    if (choice < 95) {
      return "adopt " + party + " " + revision;
    }
    return choice < 98          ? "move " + revision
           : random_() % 8 == 0 ? "stop " + party
                                : "settle";
  }

  /** What was broken; empty if nothing was. */
  const std::string& Violation() const { return judge_.Violation(); }
  const Tally& Seen() const { return judge_.Seen(); }

private:
  using Machine =
    std::variant<std::unique_ptr<EntryMachine>, std::unique_ptr<AgentMachine>>;

  struct Party
  {
    std::string name;
    Duration wallError{};
    bool isAlive = false;
    bool isFrozen = false;
    Machine machine;
    Incarnation incarnation = 0;
    std::deque<CallBackend> decided; ///< Not yet written to the backend.
    std::set<std::uint64_t> written; ///< Calls whose end was not reported.

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
  static constexpr Duration kLongestDelay = std::chrono::seconds(1);
  static constexpr std::size_t kMostPackets = 60;
  static constexpr unsigned kMostSettled = 300;

  static bool IsEntry(const Party& aParty)
  {
    return aParty.name.starts_with("entry");
  }

  std::string DrawName()
  {
    auto party = parties_.begin();
    std::advance(party, random_() % parties_.size());
    return party->first;
  }

  /** An agent with something to do, if there is one. */
  template<typename Member>
  std::string DrawBusy(Member aMember)
  {
    const auto busy = std::ranges::find_if(parties_, [&](const auto& aItem) {
      return !(aItem.second.*aMember).empty();
    });
    return busy == parties_.end() ? DrawName() : busy->first;
  }

  static WallTime WallAt(Duration aNow)
  {
    return WallTime(std::chrono::hours(490'000)) +
           std::chrono::duration_cast<std::chrono::milliseconds>(aNow);
  }

  ClockReading NowOf(const Party& aParty) const
  {
    return { Instant(std::chrono::hours(1)) + now_,
             WallAt(now_ + aParty.wallError) };
  }

  void Start(Party& aParty, unsigned aRevision)
  {
    // The fourth VM replaces the one that held the second slot.
    const ProcessId self{ aParty.name == "a-4" ? "a-2" : aParty.name,
                          ++lastIncarnation_ };
    // Every incarnation may stand on another VM with another clock.
    const std::uint64_t draw =
      Checksum(std::to_string(seed_ + lastIncarnation_));
    aParty.wallError = std::chrono::milliseconds(
      static_cast<int>(draw % kClockErrorMs) - kClockErrorMs / 2);
    aParty.incarnation = lastIncarnation_;
    aParty.isAlive = true;
    aParty.isFrozen = false;
    aParty.decided.clear();
    aParty.written.clear();
    if (IsEntry(aParty)) {
      aParty.machine = std::make_unique<EntryMachine>(EntryOptions{
        self, "zone-a", 3, std::chrono::milliseconds(250), lastIncarnation_ });
    } else {
      AgentOptions options;
      options.self = self;
      options.maxQueued = 2;
      options.records = {
        4, kLifetime, std::chrono::milliseconds(kClockErrorMs), 1'024
      };
      options.peerAddress = "127.0.0.1:" + aParty.name.substr(2);
      aParty.machine =
        std::make_unique<AgentMachine>(std::move(options), NowOf(aParty));
    }
    // A fresh agent takes the highest revision that its peers know.
    const bool isAlone = IsEntry(aParty) || areFreshAgentsStale_;
    Adopt(aParty, isAlone ? aRevision : std::max(aRevision, highest_));
  }

  void Adopt(Party& aParty, unsigned aRevision)
  {
    highest_ = std::max(highest_, aRevision);
    const ManifestPtr& manifest = manifests_.at(aRevision - 1);
    if (IsEntry(aParty)) {
      Feed(aParty, EntryManifestAdopted{ manifest });
    } else {
      Feed(aParty, AgentManifestAdopted{ manifest });
    }
  }

  void Act(const std::string& aVerb,
           Party& aParty,
           const std::string& aArgument)
  {
    if (aVerb == "restart") {
      if (!aParty.isAlive) {
        Start(aParty, std::stoul(aArgument));
      }
      return;
    }
    if (!aParty.isAlive) {
      return;
    }
    if (aVerb == "kill" || aVerb == "bounce") {
      Kill(aParty);
      if (aVerb == "bounce") {
        Start(aParty, std::stoul(aArgument));
      }
    } else if (aVerb == "freeze") {
      judge_.Count().freezes += aParty.isFrozen ? 0 : 1;
      aParty.isFrozen = true;
    } else if (aVerb == "thaw") {
      aParty.isFrozen = false;
    } else if (!aParty.isFrozen) {
      ActActive(aVerb, aParty, aArgument);
    }
  }

  void ActActive(const std::string& aVerb,
                 Party& aParty,
                 const std::string& aArgument)
  {
    if (aVerb == "adopt") {
      ++judge_.Count().moves;
      Adopt(aParty, std::stoul(aArgument));
    } else if (aVerb == "submit" && IsEntry(aParty)) {
      Submit(aParty, aArgument == "first");
    } else if (aVerb == "stop") {
      ++judge_.Count().stops;
      if (IsEntry(aParty)) {
        Feed(aParty, EntryStopRequested{});
      } else {
        Feed(aParty, AgentStopRequested{});
      }
    } else if (aVerb == "load" && !IsEntry(aParty)) {
      Load(aParty);
    } else if (aVerb == "dispatch" && !aParty.decided.empty()) {
      Dispatch(aParty, aArgument == "sent");
    } else if (aVerb == "return" && !aParty.written.empty()) {
      const std::uint64_t call = *aParty.written.begin();
      aParty.written.erase(call);
      const unsigned status = std::stoul(aArgument);
      Feed(aParty, BackendReturned{ call, { true, status, "confirmed" } });
    }
  }

  /** Another request takes the only place at the backend server. */
  void Load(Party& aParty)
  {
    StageRequest other;
    other.id = { { "atelier", "other" }, 0, ++sent_["other"], 1 };
    other.budget = kLifetime;
    other.checksum = Checksum(other.input);
    const Incarnation target = aParty.incarnation;
    Feed(aParty, AgentMessage{ "", { { { "other", 1 }, target, 1 }, other } });
  }

  void Kill(Party& aParty)
  {
    ++judge_.Count().kills;
    aParty.isAlive = false;
    judge_.OnEntryLost(aParty.name);
  }

  void Submit(Party& aParty, bool aIsFirst)
  {
    const bool isTooLate =
      !isTimedKey_ && judge_.SinceFirst(now_) > kLifetime - kLongestDelay;
    if (isTooLate) {
      return;
    }
    const std::uint64_t number = judge_.OnSubmitted(aParty.name, now_);
    Feed(aParty,
         CallerRequest{ number,
                        { "atelier", key_ },
                        "hold",
                        "body",
                        AtMostOnceJudge::DeadlineOf(number),
                        aIsFirst && number == 1 });
  }

  void Dispatch(Party& aParty, bool aIsSent)
  {
    const CallBackend call = std::move(aParty.decided.front());
    aParty.decided.pop_front();
    if (!aIsSent) {
      Feed(aParty, BackendReturned{ call.call, { false, 0, {} } });
      return;
    }
    judge_.OnExecuted(call.input);
    aParty.written.insert(call.call);
  }

  void Advance(Duration aStep)
  {
    now_ += aStep;
    if (!isTimedKey_) {
      // Without a time in the key the promise holds for a bounded delay.
      std::erase_if(packets_, [&](const Packet& aItem) {
        return now_ - aItem.sentAt > kLongestDelay;
      });
    }
    for (auto& [name, party] : parties_) {
      if (party.IsActive() && IsEntry(party)) {
        Feed(party, EntryTick{});
      } else if (party.IsActive()) {
        Feed(party, AgentTick{});
      }
    }
    judge_.CheckOverdue(now_, [this](const std::string& aEntry) {
      return parties_.at(aEntry).IsActive();
    });
  }

  void Settle()
  {
    for (unsigned round = 0; round < kMostSettled; ++round) {
      const auto next =
        std::ranges::find_if(packets_, [&](const Packet& aItem) {
          return parties_.at(aItem.to).IsActive();
        });
      if (next == packets_.end()) {
        return;
      }
      const Packet packet = std::move(*next);
      packets_.erase(next);
      Deliver(packet);
    }
  }

  void Carry(const std::string& aVerb, const std::string& aLabel)
  {
    const auto found = std::ranges::find(packets_, aLabel, &Packet::label);
    if (found == packets_.end()) {
      return;
    }
    const Packet packet = *found;
    if (aVerb != "drop" && !parties_.at(packet.to).IsActive()) {
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
    Party& party = parties_.at(aPacket.to);
    if (IsEntry(party)) {
      Feed(party, EntryMessage{ aPacket.message });
    } else {
      Feed(party, AgentMessage{ aPacket.from, aPacket.message });
    }
  }

  static std::string PartyAt(const std::string& aAddress)
  {
    return "a-" + aAddress.substr(aAddress.rfind(':') + 1);
  }

  void Feed(Party& aParty, EntryEvent aEvent)
  {
    auto& machine = std::get<std::unique_ptr<EntryMachine>>(aParty.machine);
    for (EntryEffect& effect :
         machine->Handle(std::move(aEvent), NowOf(aParty))) {
      if (auto* const sent = std::get_if<SendTo>(&effect)) {
        Send(aParty.name, PartyAt(sent->address), std::move(sent->message));
      } else if (auto* const answer = std::get_if<AnswerCaller>(&effect)) {
        judge_.OnAnswer(*answer);
      }
    }
  }

  void Feed(Party& aParty, AgentEvent aEvent)
  {
    auto& machine = std::get<std::unique_ptr<AgentMachine>>(aParty.machine);
    for (AgentEffect& effect :
         machine->Handle(std::move(aEvent), NowOf(aParty))) {
      if (auto* const reply = std::get_if<SendBack>(&effect)) {
        Send(aParty.name, reply->route, std::move(reply->message));
      } else if (auto* const sent = std::get_if<SendTo>(&effect)) {
        Send(aParty.name, PartyAt(sent->address), std::move(sent->message));
      } else if (auto* const call = std::get_if<CallBackend>(&effect)) {
        OnCall(aParty, std::move(*call));
      }
    }
  }

  void OnCall(Party& aParty, CallBackend aCall)
  {
    if (aCall.isRepeatable) {
      aParty.written.insert(aCall.call);
      return;
    }
    judge_.OnDecided(aCall, aParty.incarnation);
    aParty.decided.push_back(std::move(aCall));
  }

  void Send(const std::string& aFrom,
            const std::string& aTo,
            PeerMessage aMessage)
  {
    if (auto* const stage = std::get_if<StageRequest>(&aMessage.body)) {
      // The input names the attempt, to trace an execution to its call.
      stage->input = ToText(stage->id) + "@" + std::to_string(stage->id.entry);
      judge_.OnSent(aFrom, *stage, aMessage.header.target, now_);
      stage->checksum = Checksum(stage->input);
    }
    static constexpr std::array kKinds{ "hello",  "report", "request",  "reply",
                                        "cancel", "ask",    "manifest", "news",
                                        "pull",   "release" };
    const std::string name =
      aFrom + ">" + aTo + ":" + kKinds.at(aMessage.body.index());
    const std::string label = name + std::to_string(++sent_[name]);
    packets_.push_back({ label, aFrom, aTo, std::move(aMessage), now_ });
    if (packets_.back().to.empty()) {
      packets_.pop_back();
    } else if (packets_.size() > kMostPackets) {
      packets_.pop_front();
    }
  }

  std::uint64_t seed_;
  bool areFreshAgentsStale_;
  std::mt19937_64 random_;
  bool isTimedKey_;
  std::vector<ManifestPtr> manifests_;
  std::map<std::string, Party> parties_;
  AtMostOnceJudge judge_;
  std::deque<Packet> packets_;
  std::map<std::string, unsigned> sent_;
  unsigned highest_ = 1; ///< Revision that some party has or had in force.
  Incarnation lastIncarnation_ = 100;
  std::string key_;
  Duration now_{};
};

} // namespace gypsum::tests
