#pragma once

#include "core/fleet/configuration_follower.h"
#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gypsum::tests {

/** State of the simulated platform, with counts of the calls to it. */
struct TestPlatform
{
  std::string text;
  Revision revision = 0;
  std::vector<std::string> leaving;
  bool isUnavailable = false;
  bool isBusy = false;
  std::uint64_t calls = 0;
  std::map<std::int64_t, std::uint64_t> callsBySecond;
};

/**
 * Simulates a fleet of followers, the messages in flight between them and a
 * platform, in virtual time.
 *
 * Four in five followers are agents and one is an entry, spread over twelve
 * availability zones. Messages and replies of the platform take 0.5 to 1.5 ms.
 */
class FollowerFleet
{
public:
  explicit FollowerFleet(std::size_t aAgentsPerZone, std::size_t aSeeds = 3)
  {
    const std::size_t agents = aAgentsPerZone * kZones;
    for (std::size_t index = 0; index < agents + agents / 4; ++index) {
      const bool isAgent = index < agents;
      Node node;
      node.name = (isAgent ? "agent-" : "entry-") + std::to_string(index);
      node.zone = "zone-" + std::to_string(index % kZones);
      node.address = "127.0.0.1:" + std::to_string(10'000 + index);
      node.isAgent = isAgent;
      nodes_.push_back(std::move(node));
    }
    for (std::size_t index = 0; index < aSeeds; ++index) {
      seeds_.push_back(nodes_[index * (agents / aSeeds)].address);
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      byAddress_[nodes_[index].address] = index;
    }
  }

  std::size_t Size() const { return nodes_.size(); }
  Instant Now() const { return now_; }

  void Publish(Revision aRevision)
  {
    platform.text = ManifestText(aRevision);
    platform.revision = aRevision;
    for (const auto& [node, epoch] : std::exchange(watchers_, {})) {
      ReplyToRead(node, epoch, PlatformStatus::Ok);
    }
  }

  void Start(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    ++node.epoch;
    FollowerOptions options;
    options.self = { node.name, random_() | 1U };
    options.zone = node.zone;
    options.address = node.address;
    options.seeds = seeds_;
    options.pollInterval = std::chrono::seconds(30);
    options.seed = random_();
    options.parse = [this](std::string_view aText) { return Parse(aText); };
    node.follower = std::make_unique<ConfigurationFollower>(
      std::move(options), ClockReading{ now_, {} });
    node.lastRevision = 0;
    const Duration firstTickDelay(random_() % kTickPeriod.count());
    ScheduleTick(aNode, node.epoch, now_ + firstTickDelay);
  }
  void StartAll()
  {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      Start(node);
    }
  }
  void Kill(std::size_t aNode)
  {
    ++nodes_[aNode].epoch;
    nodes_[aNode].follower.reset();
  }

  void RunFor(Duration aTime)
  {
    const Instant end = now_ + aTime;
    while (!events_.empty() && events_.top().time <= end) {
      const auto run = events_.top().run;
      now_ = events_.top().time;
      events_.pop();
      run();
    }
    now_ = end;
  }

  /** Share of the live processes with at least this active revision. */
  double ShareWithRevision(Revision aRevision) const
  {
    std::size_t live = 0;
    std::size_t withRevision = 0;
    for (const Node& node : nodes_) {
      live += node.follower ? 1 : 0;
      withRevision +=
        node.follower && node.follower->ActiveRevision() >= aRevision ? 1 : 0;
    }
    return live == 0
             ? 0
             : static_cast<double>(withRevision) / static_cast<double>(live);
  }
  /** Runs until a share of the fleet has a revision; returns the time taken. */
  Duration TimeUntil(double aShare, Revision aRevision, Duration aTimeout)
  {
    const Instant start = now_;
    while (ShareWithRevision(aRevision) < aShare && now_ - start < aTimeout) {
      RunFor(std::chrono::milliseconds(10));
    }
    return now_ - start;
  }
  std::size_t CountProcessesKnowingLeaving(const std::string& aName) const
  {
    return std::ranges::count_if(nodes_, [&](const Node& aNode) {
      return aNode.follower &&
             std::ranges::find(aNode.leaving, aName) != aNode.leaving.end();
    });
  }
  std::uint64_t MaxCallsInOneSecond() const
  {
    std::uint64_t maxCalls = 0;
    for (const auto& [second, calls] : platform.callsBySecond) {
      maxCalls = std::max(maxCalls, calls);
    }
    return maxCalls;
  }
  /** Whether the active revision of any process has ever decreased. */
  bool HasRevisionDecreased() const { return hasRevisionDecreased_; }
  bool IsAlive(std::size_t aNode) const
  {
    return nodes_[aNode].follower != nullptr;
  }
  const ConfigurationFollower& Follower(std::size_t aNode) const
  {
    return *nodes_[aNode].follower;
  }
  bool IsAgent(std::size_t aNode) const { return nodes_[aNode].isAgent; }
  const std::string& NameOf(std::size_t aNode) const
  {
    return nodes_[aNode].name;
  }
  std::uint64_t Messages() const { return messages_; }

  TestPlatform platform;

private:
  static constexpr std::size_t kZones = 12;
  static constexpr std::chrono::microseconds kTickPeriod{ 50'000 };

  struct Node
  {
    std::string name;
    std::string zone;
    std::string address;
    bool isAgent = false;
    std::uint64_t epoch = 0; ///< Counts the starts and kills of the process.
    Revision lastRevision = 0;
    std::vector<std::string> leaving;
    std::unique_ptr<ConfigurationFollower> follower;
  };
  struct Event
  {
    Instant time;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& aOther) const
    {
      return std::pair(time, order) > std::pair(aOther.time, aOther.order);
    }
  };

  std::string ManifestText(Revision aRevision) const
  {
    std::string text =
      "[manifest]\nname = fleet\nrevision = " + std::to_string(aRevision) +
      "\n[zones]\n";
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      text += "zone-" + std::to_string(zone) + " = home\n";
    }
    text += "[customers]\natelier = 1\n[service.writer]\nkind = engine\n"
            "[replicas.writer]\n";
    for (const Node& node : nodes_) {
      if (node.isAgent) {
        text += node.name + " = " + node.zone + " " + node.address + "\n";
      }
    }
    return text + "[pipeline.answer]\ndeadline_ms = 4000\nstages = draft\n"
                  "[stage.answer.draft]\nservice = writer\noperation = /x\n";
  }
  std::variant<ManifestPtr, Faults> Parse(std::string_view aText)
  {
    auto& manifest = parsed_[Checksum(aText)];
    if (!manifest) {
      auto result = ParseManifest(aText);
      if (std::holds_alternative<Faults>(result)) {
        return result;
      }
      manifest = std::get<ManifestPtr>(result);
    }
    return manifest;
  }

  void Schedule(Instant aTime, std::function<void()> aRun)
  {
    events_.push({ aTime, nextOrder_++, std::move(aRun) });
  }
  void ScheduleTick(std::size_t aNode, std::uint64_t aEpoch, Instant aTime)
  {
    Schedule(aTime, [this, aNode, aEpoch, aTime] {
      if (nodes_[aNode].epoch == aEpoch) {
        Handle(aNode, FollowerTick{});
        ScheduleTick(aNode, aEpoch, aTime + kTickPeriod);
      }
    });
  }
  void Handle(std::size_t aNode, FollowerEvent aEvent)
  {
    auto& follower = nodes_[aNode].follower;
    for (FollowerEffect& effect :
         follower->Handle(std::move(aEvent), ClockReading{ now_, {} })) {
      std::visit([&](auto& aEffect) { Apply(aNode, aEffect); }, effect);
    }
    Node& node = nodes_[aNode];
    hasRevisionDecreased_ |= follower->ActiveRevision() < node.lastRevision;
    node.lastRevision = follower->ActiveRevision();
  }
  Duration RandomDelay() { return Duration(500 + random_() % 1'000); }

  void Deliver(const std::string& aAddress,
               const Route& aRoute,
               const PeerMessage& aMessage)
  {
    ++messages_;
    const auto found = byAddress_.find(aAddress);
    if (found == byAddress_.end()) {
      return;
    }
    const std::size_t target = found->second;
    Schedule(now_ + RandomDelay(), [this, target, aRoute, aMessage] {
      if (nodes_[target].follower) {
        Handle(target, FollowerMessage{ aRoute, aMessage });
      }
    });
  }
  void Apply(std::size_t aNode, SendTo& aEffect)
  {
    Deliver(aEffect.address, nodes_[aNode].address, aEffect.message);
  }
  void Apply(std::size_t /*aNode*/, SendBack& aEffect)
  {
    Deliver(aEffect.route, {}, aEffect.message);
  }
  void Apply(std::size_t aNode, PublishLeavingList& aEffect)
  {
    nodes_[aNode].leaving = aEffect.replicas;
  }
  void Apply(std::size_t aNode, ReadManifest& aEffect)
  {
    CountCall();
    const std::uint64_t epoch = nodes_[aNode].epoch;
    if (platform.isUnavailable || platform.isBusy) {
      ReplyToRead(aNode,
                  epoch,
                  platform.isBusy ? PlatformStatus::Busy
                                  : PlatformStatus::Failed);
    } else if (platform.revision > aEffect.after) {
      ReplyToRead(aNode, epoch, PlatformStatus::Ok);
    } else if (aEffect.wait == Duration::zero()) {
      ReplyToRead(aNode, epoch, PlatformStatus::NoChange);
    } else {
      watchers_.emplace_back(aNode, epoch);
      Schedule(now_ + aEffect.wait, [this, aNode, epoch] {
        if (std::erase(watchers_, std::pair(aNode, epoch)) != 0) {
          ReplyToRead(aNode, epoch, PlatformStatus::NoChange);
        }
      });
    }
  }
  void Apply(std::size_t aNode, ReadVmList& /*aEffect*/)
  {
    CountCall();
    const bool isOk = !platform.isUnavailable && !platform.isBusy;
    VmListReadResult read{ isOk ? PlatformStatus::Ok : PlatformStatus::Failed,
                           isOk ? platform.leaving
                                : std::vector<std::string>() };
    HandleAfterDelay(aNode, nodes_[aNode].epoch, std::move(read));
  }
  template<typename Other>
  void Apply(std::size_t /*aNode*/, Other& /*aEffect*/)
  {
  }
  void ReplyToRead(std::size_t aNode,
                   std::uint64_t aEpoch,
                   PlatformStatus aStatus)
  {
    const bool isOk = aStatus == PlatformStatus::Ok;
    HandleAfterDelay(
      aNode,
      aEpoch,
      ManifestReadResult{ aStatus, isOk ? platform.text : std::string() });
  }
  void HandleAfterDelay(std::size_t aNode,
                        std::uint64_t aEpoch,
                        const FollowerEvent& aEvent)
  {
    Schedule(now_ + RandomDelay(), [this, aNode, aEpoch, aEvent] {
      if (nodes_[aNode].epoch == aEpoch) {
        Handle(aNode, aEvent);
      }
    });
  }
  void CountCall()
  {
    ++platform.calls;
    const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(now_.time_since_epoch());
    ++platform.callsBySecond[second.count()];
  }

  std::vector<Node> nodes_;
  std::vector<std::string> seeds_;
  std::map<std::string, std::size_t> byAddress_;
  std::map<std::uint64_t, ManifestPtr> parsed_;
  std::vector<std::pair<std::size_t, std::uint64_t>> watchers_;
  std::priority_queue<Event> events_;
  std::uint64_t nextOrder_ = 0;
  std::uint64_t messages_ = 0;
  bool hasRevisionDecreased_ = false;
  Instant now_{ std::chrono::hours(1) };
  std::mt19937_64 random_{ 5 };
};

} // namespace gypsum::tests
