#include "core/gateway/peer_liveness.h"
#include "core/gateway/peer_sightings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** By when all must know that a gateway is gone. */
constexpr Duration kNoticeBound = seconds(2);

/** Gateways in simulated time that tell each other whom they have heard. */
class SightingFleet
{
public:
  SightingFleet(std::size_t aSize, double aLoss)
    : loss_(aLoss)
    , random_(aSize)
  {
    for (std::uint32_t node = 0; node < aSize; ++node) {
      nodes_.emplace_back(node);
      for (std::uint32_t peer = 0; peer < aSize; ++peer) {
        nodes_[node].sightings.OnHeard(peer, now_);
      }
      events_.push({ now_ + Random(kStatusInterval), node, true, {} });
    }
  }

  void RunFor(Duration aTime)
  {
    const Instant end = now_ + aTime;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      if (nodes_[event.node].isDown) {
        continue;
      }
      if (event.isRound) {
        SendStatus(event.node);
      } else {
        nodes_[event.node].sightings.OnHeard(event.message->sender, now_);
        nodes_[event.node].sightings.OnReport(event.message->sightings, now_);
      }
    }
    now_ = end;
  }

  void Kill(std::uint32_t aNode) { nodes_[aNode].isDown = true; }
  void Leave(std::uint32_t aNode) { nodes_[aNode].isLeaving = true; }

  /** Longest silence of a peer, as any gateway that is up sees it. */
  Duration LongestSilence(std::uint32_t aPeer) const
  {
    Duration longest{};
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      if (nodes_[node].isDown || node == aPeer) {
        continue;
      }
      const auto at = nodes_[node].sightings.LastAliveAt(aPeer);
      longest =
        std::max(longest, at ? Duration(now_ - *at) : PeerSightings::kMaxAge);
    }
    return longest;
  }

  Duration LongestSilence() const
  {
    Duration longest{};
    for (std::uint32_t peer = 0; peer < nodes_.size(); ++peer) {
      longest = std::max(longest, LongestSilence(peer));
    }
    return longest;
  }

  /** Gateways that know that a peer leaves. */
  std::size_t KnowLeaving(std::uint32_t aPeer) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(nodes_, [&](const Node& aNode) {
        return aNode.sightings.IsLeaving(aPeer);
      }));
  }

  /** Shortest silence of a peer, as any gateway that is up sees it. */
  Duration ShortestSilence(std::uint32_t aPeer) const
  {
    Duration shortest = PeerSightings::kMaxAge;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      const auto at = nodes_[node].sightings.LastAliveAt(aPeer);
      if (!nodes_[node].isDown && node != aPeer && at) {
        shortest = std::min(shortest, Duration(now_ - *at));
      }
    }
    return shortest;
  }

private:
  struct Node
  {
    explicit Node(std::uint32_t aSelf)
      : sightings(aSelf)
    {
    }
    PeerSightings sightings;
    bool isDown = false;
    bool isLeaving = false;
  };
  struct Message
  {
    std::uint32_t sender = 0;
    std::vector<PeerSighting> sightings;
  };
  struct Event
  {
    Instant at{};
    std::uint32_t node = 0;
    bool isRound = false;
    std::shared_ptr<const Message> message;

    bool operator<(const Event& aOther) const { return at > aOther.at; }
  };

  Duration Random(Duration aMost)
  {
    return Duration(
      std::uniform_int_distribution<std::int64_t>(0, aMost.count())(random_));
  }

  void SendStatus(std::uint32_t aNode)
  {
    Node& node = nodes_[aNode];
    node.sightings.Expire(now_);
    auto message = std::make_shared<Message>();
    message->sender = aNode;
    node.sightings.BeginRound();
    message->sightings = node.sightings.Report(now_, node.isLeaving);
    for (std::size_t sent = 0; sent < kPeersPerRound; ++sent) {
      const auto target = std::uniform_int_distribution<std::uint32_t>(
        0, static_cast<std::uint32_t>(nodes_.size() - 1))(random_);
      if (std::bernoulli_distribution(loss_)(random_)) {
        continue;
      }
      events_.push({ now_ + milliseconds(1) + Random(milliseconds(20)),
                     target,
                     false,
                     message });
    }
    events_.push({ now_ + kStatusInterval, aNode, true, {} });
  }

  double loss_;
  Instant now_{ seconds(100) };
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::mt19937_64 random_;
};

std::vector<std::size_t> FleetSizes()
{
  return { 5, 63, 300, 1'338 };
}

} // namespace

TEST_CASE("[PeerSightings] no sound gateway is given up in a fleet of any "
          "size")
{
  for (const std::size_t size : FleetSizes()) {
    CAPTURE(size);
    SightingFleet fleet(size, 0.025);
    fleet.RunFor(seconds(3));
    const int samples = size > 300 ? 8 : 60;
    for (int sample = 0; sample < samples; ++sample) {
      fleet.RunFor(milliseconds(100));
      CHECK(fleet.LongestSilence() < SilenceTimeout(size - 1));
    }
  }
}

TEST_CASE("[PeerSightings] a silent gateway is noticed by all within two "
          "seconds in a fleet of any size")
{
  for (const std::size_t size : FleetSizes()) {
    CAPTURE(size);
    SightingFleet fleet(size, 0.025);
    fleet.RunFor(seconds(3));
    fleet.Kill(1);
    fleet.RunFor(kNoticeBound);
    CHECK(fleet.ShortestSilence(1) >= SilenceTimeout(size - 1));
  }
}

TEST_CASE("[PeerSightings] all gateways know soon that one leaves")
{
  for (const std::size_t size : FleetSizes()) {
    CAPTURE(size);
    SightingFleet fleet(size, 0.025);
    fleet.RunFor(seconds(3));
    fleet.Leave(1);
    fleet.RunFor(kNoticeBound);
    CHECK(fleet.KnowLeaving(1) >= size - 1);
  }
}

TEST_CASE("[PeerSightings] a round that is told again does not make its "
          "peer look younger")
{
  const Instant now{ seconds(100) };
  PeerSightings gone(7);
  PeerSightings first(1);
  PeerSightings second(2);
  first.OnReport(gone.Report(now, false), now);
  // Each message takes a tenth of a second, which its age does not show.
  Instant at = now;
  for (int hop = 0; hop < 10; ++hop) {
    second.OnReport(first.Report(at, false), at + milliseconds(100));
    first.OnReport(second.Report(at, false), at + milliseconds(100));
    at += milliseconds(100);
  }
  CHECK(*first.LastAliveAt(7) == now);
  CHECK(*second.LastAliveAt(7) == now + milliseconds(100));
}

TEST_CASE("[PeerSightings] the round of a peer goes on after its number has "
          "wrapped")
{
  Instant now{ seconds(100) };
  PeerSightings peer(7);
  PeerSightings other(1);
  for (int round = 0; round < 600; ++round) {
    now += kStatusInterval;
    peer.BeginRound();
    other.OnReport(peer.Report(now, false), now);
    CHECK(*other.LastAliveAt(7) == now);
  }
}

TEST_CASE("[PeerSightings] rounds that come after a long time are new however "
          "far their number has gone")
{
  Instant now{ seconds(100) };
  PeerSightings peer(7);
  PeerSightings other(1);
  other.OnReport(peer.Report(now, false), now);
  for (int round = 0; round < 200; ++round) {
    now += kStatusInterval;
    peer.BeginRound();
    other.OnHeard(7, now - kStatusInterval);
    other.Expire(now);
  }
  other.OnReport(peer.Report(now, false), now);
  CHECK(*other.LastAliveAt(7) == now);
}

TEST_CASE("[PeerSightings] an older report does not undo a newer one, nor that "
          "a peer leaves")
{
  const Instant now{ seconds(100) };
  PeerSightings sightings(1);
  const std::vector<PeerSighting> newer{ { 7, 4, Duration{}, true } };
  const std::vector<PeerSighting> older{ { 7, 3, Duration{}, false } };
  sightings.OnReport(newer, now);
  sightings.OnReport(older, now + seconds(1));
  CHECK(*sightings.LastAliveAt(7) == now);
  CHECK(sightings.IsLeaving(7));
  sightings.Expire(now + PeerSightings::kMaxAge);
  CHECK_FALSE(sightings.LastAliveAt(7));
}

} // namespace gypsum::tests
