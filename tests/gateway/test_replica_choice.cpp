#include "core/gateway/replica_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ChoiceFixture
{
  ChoiceFixture()
  {
    for (int index = 0; index < 6; ++index) {
      backends.push_back(std::make_shared<const BackendRecord>(
        BackendRecord{ "r" + std::to_string(index),
                       "model",
                       "10.0.0." + std::to_string(index + 1) + ":1",
                       index % 2 == 0 ? "a" : "b",
                       64,
                       false,
                       1,
                       "v1" }));
    }
  }

  std::optional<ChosenReplica> Choose(
    const PromptSpec& aPrompt,
    std::span<const std::string> aExcluded = {})
  {
    ChoiceCriteria criteria;
    criteria.zone = "a";
    criteria.prompt = &aPrompt;
    criteria.prefixes = &prefixes;
    criteria.excluded = aExcluded;
    return ChooseReplica(backends, criteria, loads, now);
  }

  void CachePrefixes(const std::string& aBackend, const PromptSpec& aPrompt)
  {
    prefixes.OnSent({ aBackend, aPrompt.SharedPrefixes() }, 600'000, now);
  }

  Instant now{ seconds(100) };
  std::vector<BackendPtr> backends;
  BackendLoads loads;
  PrefixCacheIndex prefixes;
  const PromptSpec prompt{ { { "shared", 13'000 }, { "own", 3'000 } }, 16'000 };
};

} // namespace

TEST_CASE_FIXTURE(
  ChoiceFixture,
  "[ReplicaChoice] a prompt goes to the replica that has its prefix cached")
{
  CachePrefixes("r3", prompt);
  const auto choice = Choose(prompt);
  REQUIRE(choice);
  CHECK(choice->backend->id == "r3");
  CHECK(choice->uncachedTokens == 3'000);
  CHECK(choice->cachedTokens == 13'000);
}

TEST_CASE_FIXTURE(ChoiceFixture,
                  "[ReplicaChoice] a long queue outweighs a cached prefix")
{
  CachePrefixes("r3", prompt);
  for (int sent = 0; sent < 10; ++sent) {
    loads.OnSent("r3", 16'000, milliseconds(300), now);
  }
  CHECK(Choose(prompt)->backend->id != "r3");
}

TEST_CASE_FIXTURE(ChoiceFixture,
                  "[ReplicaChoice] gateways without reports from peers choose "
                  "the same replica for a prefix")
{
  const auto first = Choose(prompt);
  PrefixCacheIndex emptyIndex;
  ChoiceCriteria criteria;
  criteria.zone = "a";
  criteria.prompt = &prompt;
  criteria.prefixes = &emptyIndex;
  std::ranges::reverse(backends);
  const auto second = ChooseReplica(backends, criteria, BackendLoads{}, now);
  REQUIRE(first);
  REQUIRE(second);
  CHECK(first->backend->id == second->backend->id);
}

TEST_CASE_FIXTURE(
  ChoiceFixture,
  "[ReplicaChoice] many shared prefixes spread over the replicas")
{
  std::map<std::string, int> counts;
  for (int prefix = 0; prefix < 300; ++prefix) {
    const PromptSpec spec{
      { { "s" + std::to_string(prefix), 13'000 }, { "own", 3'000 } }, 16'000
    };
    ++counts[Choose(spec)->backend->id];
  }
  CHECK(counts.size() == backends.size());
  for (const auto& [id, count] : counts) {
    CHECK(count > 20);
  }
}

TEST_CASE_FIXTURE(
  ChoiceFixture,
  "[ReplicaChoice] unreachable, unresponsive and failing servers are avoided")
{
  CachePrefixes("r0", prompt);
  loads.OnSent("r0", 0, milliseconds(10), now);
  SUBCASE("a server that could not be reached")
  {
    loads.OnEnded("r0", 0, SendOutcome::Unreachable, now);
    CHECK(Choose(prompt)->backend->id != "r0");
    now += seconds(3);
    CHECK(Choose(prompt)->backend->id == "r0");
  }
  SUBCASE("a server with an overdue answer")
  {
    now += milliseconds(400);
    CHECK(Choose(prompt)->backend->id == "r0");
    now += milliseconds(200);
    CHECK(Choose(prompt)->backend->id != "r0");
    loads.OnDataReceived("r0", now);
    CHECK(Choose(prompt)->backend->id == "r0");
  }
  SUBCASE("a server that a peer reports as unresponsive")
  {
    loads.OnPeerReport(
      "peer", std::array{ BackendLoad{ "r0", 1, 0, true } }, now);
    CHECK(Choose(prompt)->backend->id != "r0");
    now += seconds(2);
    loads.OnDataReceived("r0", now);
    CHECK(Choose(prompt)->backend->id == "r0");
  }
  SUBCASE("a server that fails some of its requests")
  {
    for (int sent = 0; sent < 6; ++sent) {
      loads.OnSent("r0", 0, milliseconds(10), now);
      loads.OnEnded("r0", 0, SendOutcome::Failed, now);
    }
    CHECK(Choose(prompt)->backend->id != "r0");
    now += seconds(20);
    loads.OnDataReceived("r0", now);
    CHECK(Choose(prompt)->backend->id == "r0");
  }
}

TEST_CASE_FIXTURE(
  ChoiceFixture,
  "[ReplicaChoice] servers that were already tried are excluded")
{
  std::vector<std::string> tried;
  for (std::size_t count = 0; count < backends.size(); ++count) {
    const auto choice = Choose(prompt, tried);
    REQUIRE(choice);
    CHECK(std::ranges::count(tried, choice->backend->id) == 0);
    tried.push_back(choice->backend->id);
  }
  CHECK_FALSE(Choose(prompt, tried));
}

TEST_CASE_FIXTURE(
  ChoiceFixture,
  "[ReplicaChoice] a request with large inputs goes to their zone")
{
  ChoiceCriteria criteria;
  const PromptSpec plain{ { { "own", 1'000 } }, 1'000 };
  criteria.zone = "a";
  criteria.prompt = &plain;
  criteria.prefixes = &prefixes;
  criteria.inputZone = "b";
  criteria.inputBytes = 7'500'000;
  CHECK(ChooseReplica(backends, criteria, loads, now)->backend->zone == "b");
}

TEST_CASE_FIXTURE(
  ChoiceFixture,
  "[ReplicaChoice] a plain service spreads a burst over its servers")
{
  ChoiceCriteria criteria;
  criteria.zone = "a";
  std::map<std::string, int> counts;
  for (int request = 0; request < 60; ++request) {
    const auto choice = ChooseReplica(backends, criteria, loads, now);
    loads.OnSent(choice->backend->id, 0, choice->expected, now);
    ++counts[choice->backend->id];
  }
  for (const auto& [id, count] : counts) {
    CHECK(count >= 5);
  }
  CHECK(counts.size() == backends.size());
}

TEST_CASE_FIXTURE(ChoiceFixture,
                  "[ReplicaChoice] gateways that announce long prompts at once "
                  "send six of them to six replicas")
{
  // All prompts are sent at the same instant, before any status message.
  std::array<BackendLoads, 6> gateways;
  std::map<std::string, int> prompts;
  for (std::size_t sender = 0; sender < gateways.size(); ++sender) {
    const PromptSpec spec{
      { { "s" + std::to_string(sender), 12'000 }, { "own", 2'000 } }, 14'000
    };
    ChoiceCriteria criteria;
    criteria.zone = "a";
    criteria.prompt = &spec;
    criteria.prefixes = &prefixes;
    const auto choice =
      ChooseReplica(backends, criteria, gateways[sender], now);
    REQUIRE(choice);
    ++prompts[choice->backend->id];
    for (std::size_t other = 0; other < gateways.size(); ++other) {
      if (other != sender) {
        gateways[other].OnPeerPromptSent(
          choice->backend->id, choice->uncachedTokens, now);
      }
    }
  }
  CHECK(prompts.size() == backends.size());
}

TEST_CASE_FIXTURE(ChoiceFixture,
                  "[BackendLoads] a prompt announced by a peer is processed at "
                  "the assumed rate")
{
  loads.OnPeerPromptSent("r0", 9'000, now);
  CHECK(loads.Estimate("r0", now).pendingPromptTokens ==
        doctest::Approx(9'000));
  CHECK(loads.Estimate("r0", now + milliseconds(100)).pendingPromptTokens ==
        doctest::Approx(4'500));
  CHECK(loads.Estimate("r0", now + milliseconds(200)).pendingPromptTokens ==
        0.0);
  SUBCASE("a second prompt is processed after the first")
  {
    loads.OnPeerPromptSent("r0", 9'000, now + milliseconds(100));
    CHECK(loads.Estimate("r0", now + milliseconds(100)).pendingPromptTokens ==
          doctest::Approx(13'500));
  }
  SUBCASE("a report of the same prompt does not count twice")
  {
    loads.OnPeerReport(
      "peer", std::array{ BackendLoad{ "r0", 1, 9'000, false } }, now);
    CHECK(loads.Estimate("r0", now).pendingPromptTokens ==
          doctest::Approx(9'000));
  }
  SUBCASE("a report decreases as the replica processes prompts")
  {
    loads.OnPeerReport(
      "peer", std::array{ BackendLoad{ "r1", 1, 9'000, false } }, now);
    CHECK(loads.Estimate("r1", now + milliseconds(100)).pendingPromptTokens ==
          doctest::Approx(4'500));
  }
}

TEST_CASE_FIXTURE(ChoiceFixture,
                  "[BackendLoads] a server whose responses have no end is "
                  "avoided by all gateways, for longer each time")
{
  BackendLoads peer;
  Duration avoidance = BackendLoads::kInitialAvoidance;
  for (int round = 0; round < 8; ++round) {
    loads.OnSent("r0", 0, {}, now);
    loads.OnEnded("r0", 0, SendOutcome::Endless, now);
    loads.OnEnded("r0", 0, SendOutcome::Served, now);
    CHECK(loads.Estimate("r0", now).isSuspect);
    peer.OnPeerReport("gateway", loads.OwnLoads(now), now);
    CHECK(peer.Estimate("r0", now).isSuspect);
    now += avoidance - milliseconds(1);
    CHECK(loads.Estimate("r0", now).isSuspect);
    now += milliseconds(1);
    CHECK_FALSE(loads.Estimate("r0", now).isSuspect);
    avoidance = std::min(avoidance * 2, BackendLoads::kMaxAvoidance);
  }
}

TEST_CASE(
  "[PrefixCacheIndex] a part counts only if all parts before it are cached")
{
  PrefixCacheIndex cache;
  const Instant now{ seconds(1) };
  const PromptSpec one{ { { "x", 100 }, { "y", 50 }, { "own", 10 } }, 160 };
  const PromptSpec other{ { { "x", 100 }, { "z", 50 }, { "own", 10 } }, 160 };
  cache.OnSent({ "r", one.SharedPrefixes() }, 10'000, now);
  CHECK(cache.CachedTokens("r", one.SharedPrefixes()) == 150);
  CHECK(cache.CachedTokens("r", other.SharedPrefixes()) == 100);
  CHECK(cache.CachedTokens("q", one.SharedPrefixes()) == 0);
  cache.RemoveReplica("r");
  CHECK(cache.CachedTokens("r", one.SharedPrefixes()) == 0);
}

TEST_CASE("[PrefixCacheIndex] the least recently used prefixes are evicted")
{
  PrefixCacheIndex cache;
  Instant now{ seconds(1) };
  const auto prefixOf = [](int aPrefix) {
    return PromptSpec{
      { { "s" + std::to_string(aPrefix), 100 }, { "own", 10 } }, 110
    }
      .SharedPrefixes();
  };
  // Half of 1,000 tokens holds five of these.
  for (int prefix = 0; prefix < 6; ++prefix) {
    now += milliseconds(10);
    cache.OnSent({ "r", prefixOf(prefix) }, 1'000, now);
  }
  CHECK(cache.CachedTokens("r", prefixOf(0)) == 0);
  CHECK(cache.CachedTokens("r", prefixOf(1)) == 100);
  CHECK(cache.CachedTokens("r", prefixOf(5)) == 100);
}

TEST_CASE("[PromptSpec] many short parts are as many prefixes as their tokens "
          "are worth")
{
  PromptSpec prompt;
  for (int part = 0; part < 2'600; ++part) {
    prompt.parts.push_back({ std::to_string(part), part % 2 == 0 ? 1U : 0U });
  }
  prompt.tokens = 1'300;
  const auto prefixes = prompt.SharedPrefixes();
  CHECK(prefixes.size() <= 1'300 / PromptSpec::kPrefixTokens + 1);
  CHECK(prefixes.back().tokens == 1'300);
  // A longer prompt that begins with the same parts has the same prefixes.
  PromptSpec longer = prompt;
  longer.parts.push_back({ "own", 500 });
  longer.parts.push_back({ "last", 1 });
  longer.tokens = 1'801;
  PrefixCacheIndex cache;
  cache.OnSent({ "r", prefixes }, 600'000, Instant{ seconds(1) });
  CHECK(cache.CachedTokens("r", longer.SharedPrefixes()) >
        1'300 - PromptSpec::kPrefixTokens);
}

TEST_CASE("[PrefixCacheIndex] parts of few or no tokens are bounded in number")
{
  PrefixCacheIndex cache;
  constexpr std::uint64_t kCapacity = 64'000;
  for (std::uint64_t hash = 1; hash <= 10'000; ++hash) {
    cache.OnSent(
      { "r", { { hash, hash % 2 } } }, kCapacity, Instant{ seconds(hash) });
  }
  CHECK(cache.KnownParts() <= kCapacity / 2 / PrefixCacheIndex::kMinPartTokens);
  CHECK(cache.CachedTokens("r", std::array{ PromptPrefix{ 9'999, 1 } }) == 1);
}

TEST_CASE("[PrefixCacheIndex] of one prompt the last parts are evicted first")
{
  PrefixCacheIndex cache;
  const std::vector<PromptPrefix> prompt{ { 1, 100 }, { 2, 200 }, { 3, 300 } };
  cache.OnSent({ "r", prompt }, 800, Instant{ seconds(1) });
  CHECK(cache.CachedTokens("r", prompt) == 300);
  cache.OnSent({ "r", { { 4, 200 } } }, 800, Instant{ seconds(2) });
  CHECK(cache.CachedTokens("r", prompt) == 200);
}

TEST_CASE_FIXTURE(ChoiceFixture,
                  "[ReplicaChoice] with a required software version, no server "
                  "of another one is chosen, however cheap")
{
  BackendRecord other = *backends[4];
  other.version = "v2";
  backends[4] = std::make_shared<const BackendRecord>(other);
  CachePrefixes("r0", prompt);
  ChoiceCriteria criteria;
  criteria.zone = "a";
  criteria.prompt = &prompt;
  criteria.prefixes = &prefixes;
  CHECK(ChooseReplica(backends, criteria, loads, now)->backend->id == "r0");
  criteria.version = "v2";
  CHECK(ChooseReplica(backends, criteria, loads, now)->backend->id == "r4");
  const std::array<std::string, 1> tried{ "r4" };
  criteria.excluded = tried;
  CHECK_FALSE(ChooseReplica(backends, criteria, loads, now));
  criteria.version = "v3";
  CHECK_FALSE(ChooseReplica(backends, criteria, loads, now));
}

TEST_CASE("[BackendLoads] an estimate looks at the peers that use the server, "
          "however many peers there are")
{
  constexpr int kServersOfPeer = 3;
  int peers = 0;
  SUBCASE("5 peers")
  {
    peers = 5;
  }
  SUBCASE("68 peers")
  {
    peers = 68;
  }
  SUBCASE("300 peers")
  {
    peers = 300;
  }
  SUBCASE("1338 peers")
  {
    peers = 1'338;
  }
  const Instant now{ std::chrono::seconds(100) };
  const int servers = 3 * peers;
  BackendLoads loads;
  const auto report = [&](int aPeer, std::uint32_t aRunning) {
    std::vector<BackendLoad> own;
    own.reserve(kServersOfPeer);
    for (int index = 0; index < kServersOfPeer; ++index) {
      own.push_back(
        { "i-" + std::to_string((aPeer + index * peers) % servers), aRunning });
    }
    loads.OnPeerReport("gw-" + std::to_string(aPeer), own, now);
  };
  for (int peer = 0; peer < peers; ++peer) {
    report(peer, 5);
    report(peer, 2);
  }
  double running = 0.0;
  for (int server = 0; server < servers; ++server) {
    running += loads.Estimate("i-" + std::to_string(server), now).running;
  }
  CHECK(running == 2.0 * kServersOfPeer * peers);
  CHECK(loads.PeerLoadsVisited() ==
        static_cast<std::uint64_t>(kServersOfPeer * peers));
  loads.RemovePeer("gw-0");
  CHECK(loads.Estimate("i-0", now).running == 0.0);
}

TEST_CASE("[BackendLoads] forgetting servers that are not listed asks once for "
          "each that was used")
{
  constexpr int kServers = 229;
  const Instant now{ std::chrono::seconds(100) };
  BackendLoads loads;
  for (int server = 0; server < kServers; ++server) {
    const std::string id = "i-" + std::to_string(server);
    loads.OnSent(id, 0, Duration{}, now);
    loads.OnEnded(id, 0, SendOutcome::Unreachable, now);
  }
  int questions = 0;
  loads.Retain([&](std::string_view aId) {
    ++questions;
    return aId != "i-7";
  });
  CHECK(questions == kServers);
  CHECK_FALSE(loads.Estimate("i-7", now).isSuspect);
  CHECK(loads.Estimate("i-8", now).isSuspect);
}

} // namespace gypsum::tests
