#include "core/gateway/backend_registry.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

struct RegistryFixture
{
  static BackendRecord Record(std::string aId,
                              std::string aAddress,
                              std::uint64_t aStarted = 1)
  {
    return { std::move(aId), "model", std::move(aAddress), "z", 4, false,
             aStarted,       "v1" };
  }

  void Add(const BackendRecord& aRecord, std::uint64_t aRevision)
  {
    registry.Apply({ aRecord.id, { 0, aRevision }, aRecord }, now);
  }

  void Remove(const std::string& aId, std::uint64_t aRevision)
  {
    registry.Apply({ aId, { 0, aRevision }, std::nullopt }, now);
  }

  std::size_t UsableCount() const { return registry.Usable("model").size(); }

  Instant now{ std::chrono::seconds(100) };
  BackendRegistry registry;
};

} // namespace

TEST_CASE_FIXTURE(
  RegistryFixture,
  "[BackendRegistry] a change with an older revision is ignored")
{
  Add(Record("a", "10.0.0.1:1"), 5);
  BackendRecord draining = Record("a", "10.0.0.1:1");
  draining.isDraining = true;
  Add(draining, 4);
  CHECK(UsableCount() == 1);
  Add(draining, 6);
  CHECK(UsableCount() == 0);
  Add(Record("a", "10.0.0.1:1"), 5);
  CHECK(UsableCount() == 0);
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] a draining server accepts no new requests "
                  "but is found by address")
{
  BackendRecord record = Record("a", "10.0.0.1:1");
  Add(record, 1);
  record.isDraining = true;
  Add(record, 2);
  CHECK(UsableCount() == 0);
  CHECK(registry.FindByAddress("10.0.0.1:1") != nullptr);
  CHECK_FALSE(registry.IsUsable(record));
}

TEST_CASE_FIXTURE(
  RegistryFixture,
  "[BackendRegistry] a restart under the same id is a new incarnation")
{
  const BackendRecord before = Record("a", "10.0.0.1:1", 1);
  Add(before, 1);
  CHECK(registry.IsUsable(before));
  const auto events =
    registry.Apply({ "a", { 0, 2 }, Record("a", "10.0.0.1:1", 2) }, now);
  REQUIRE(events.size() == 1);
  CHECK(events.front().kind == "restarted");
  CHECK_FALSE(registry.IsUsable(before));
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] entries that expired while the store was "
                  "unreachable have time to register again")
{
  Add(Record("a", "10.0.0.1:1"), 1);
  Add(Record("b", "10.0.0.2:1"), 2);
  registry.OnStoreReconnected(now);
  Remove("a", 3);
  Remove("b", 4);
  CHECK(UsableCount() == 2);
  now += milliseconds(1'500);
  Add(Record("a", "10.0.0.1:1"), 5);
  now += milliseconds(1'000);
  const auto events = registry.Expire(now);
  REQUIRE(events.size() == 1);
  CHECK(events.front().id == "b");
  CHECK(UsableCount() == 1);
}

TEST_CASE_FIXTURE(
  RegistryFixture,
  "[BackendRegistry] a removal while the store is reachable applies at once")
{
  Add(Record("a", "10.0.0.1:1"), 1);
  Remove("a", 2);
  CHECK(UsableCount() == 0);
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] an unreadable entry provides no server "
                  "until it is readable again")
{
  Add(Record("a", "10.0.0.1:1"), 1);
  registry.Apply({ "a", { 0, 2 }, std::nullopt, true }, now);
  CHECK(UsableCount() == 0);
  Add(Record("a", "10.0.0.1:1"), 3);
  CHECK(UsableCount() == 1);
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] of entries that name no server nothing is "
                  "kept or sent to peers")
{
  Add(Record("a", "10.0.0.1:1"), 1);
  for (std::uint64_t number = 0; number < 1'000; ++number) {
    registry.Apply({ "a" + std::to_string(number) + "%25",
                     { 0, 2 + number },
                     std::nullopt,
                     true },
                   now);
  }
  CHECK(registry.Snapshot(now).entries.size() == 1);
  CHECK(registry.SnapshotSince({ 0, 1 }, now).entries.empty());
  CHECK(registry.Revision() == StoreRevision{ 0, 1'001 });
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] a page adds its servers and keeps the "
                  "revision and all other servers")
{
  const std::vector<RegistryChange> page{
    { "b", { 0, 7 }, Record("b", "10.0.0.2:1") }
  };
  SUBCASE("of a registry without a list")
  {
    registry.ApplyPage(page, { 0, 9 }, now);
    CHECK(UsableCount() == 1);
    CHECK(registry.Revision() == StoreRevision{});
  }
  SUBCASE("of one that lists another server")
  {
    Add(Record("a", "10.0.0.1:1"), 3);
    registry.ApplyPage(page, { 0, 9 }, now);
    CHECK(UsableCount() == 2);
    CHECK(registry.Revision() == StoreRevision{ 0, 3 });
    SUBCASE("until the whole list is there")
    {
      registry.Replace({ { 0, 9 }, page }, now);
      CHECK(UsableCount() == 1);
      CHECK(registry.Revision() == StoreRevision{ 0, 9 });
    }
  }
  SUBCASE("but not of one of another era")
  {
    Add(Record("a", "10.0.0.1:1"), 3);
    registry.ApplyPage(page, { 1, 9 }, now);
    CHECK(UsableCount() == 1);
  }
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] peers learn of an entry that is no longer "
                  "readable")
{
  Add(Record("a", "10.0.0.1:1"), 1);
  BackendRegistry peer;
  peer.Replace(registry.Snapshot(now), now);
  registry.Apply({ "a", { 0, 2 }, std::nullopt, true }, now);
  peer.Replace(registry.SnapshotSince(peer.Revision(), now), now);
  CHECK(peer.Usable("model").empty());
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] a snapshot removes the entries it lacks, "
                  "an older one does not")
{
  Add(Record("a", "10.0.0.1:1"), 10);
  Add(Record("b", "10.0.0.2:1"), 11);
  registry.Replace({ { 0, 9 }, {} }, now);
  CHECK(UsableCount() == 2);
  registry.Replace(
    { { 0, 12 }, { { "b", { 0, 11 }, Record("b", "10.0.0.2:1") } } }, now);
  CHECK(UsableCount() == 1);
  CHECK(registry.Revision() == StoreRevision{ 0, 12 });
}

TEST_CASE_FIXTURE(
  RegistryFixture,
  "[BackendRegistry] a snapshot reproduces the registry in another gateway")
{
  Add(Record("a", "10.0.0.1:1"), 10);
  registry.Apply({ "u", { 0, 11 }, std::nullopt, true }, now);
  BackendRegistry other;
  other.Replace(registry.Snapshot(now), now);
  CHECK(other.Usable("model").size() == 1);
  CHECK(other.Revision() == registry.Revision());
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] a removal that waits for the server to "
                  "return reaches peers that fetch a snapshot meanwhile")
{
  const BackendRecord record = Record("a", "10.0.0.1:1");
  Add(record, 5);
  BackendRegistry peer;
  peer.Replace(registry.Snapshot(now), now);
  registry.OnStoreReconnected(now);
  Remove("a", 9);
  CHECK(UsableCount() == 1);
  now += milliseconds(200);
  peer.Replace(registry.Snapshot(now), now);
  CHECK(peer.Usable("model").size() == 1);
  now += BackendRegistry::kReregistrationTimeout;
  CHECK(peer.Expire(now).size() == 1);
  CHECK(peer.Usable("model").empty());
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] a snapshot does not bring a removed "
                  "server back for which its sender waits")
{
  const BackendRecord record = Record("a", "10.0.0.1:1");
  Add(record, 5);
  BackendRegistry peer;
  peer.Replace(registry.Snapshot(now), now);
  peer.Apply({ "a", { 0, 9 }, std::nullopt }, now);
  CHECK(peer.Usable("model").empty());
  registry.OnStoreReconnected(now);
  Remove("a", 9);
  registry.Apply({ "b", { 0, 12 }, Record("b", "10.0.0.2:1") }, now);
  peer.Replace(registry.Snapshot(now), now);
  REQUIRE(peer.Usable("model").size() == 1);
  CHECK(peer.Usable("model").front()->id == "b");
  // One that registers again is taken as any other.
  Add(record, 13);
  peer.Replace(registry.Snapshot(now), now);
  CHECK(peer.Usable("model").size() == 2);
}

TEST_CASE_FIXTURE(
  RegistryFixture,
  "[BackendRegistry] a removal does not wait for a server whose "
  "address another one has registered since")
{
  Add(Record("old", "10.0.0.1:1", 5), 1);
  Add(Record("other", "10.0.0.2:1", 5), 2);
  registry.OnStoreReconnected(now);
  SUBCASE("before the removal")
  {
    Add(Record("new", "10.0.0.1:1", 9), 3);
  }
  Remove("old", 4);
  Remove("other", 5);
  SUBCASE("after the removal")
  {
    Add(Record("new", "10.0.0.1:1", 9), 6);
  }
  CHECK(UsableCount() == 2);
  CHECK_FALSE(registry.IsListed(Record("old", "10.0.0.1:1", 5)));
  CHECK(registry.IsListed(Record("other", "10.0.0.2:1", 5)));
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] an older entry for its address does not "
                  "end the wait for a server")
{
  Add(Record("new", "10.0.0.1:1", 9), 1);
  registry.OnStoreReconnected(now);
  Remove("new", 2);
  Add(Record("odd", "10.0.0.1:1", 5), 3);
  CHECK(registry.IsListed(Record("new", "10.0.0.1:1", 9)));
}

TEST_CASE_FIXTURE(
  RegistryFixture,
  "[BackendRegistry] a reused address belongs to the server that started later")
{
  Add(Record("old", "10.0.0.1:1", 5), 1);
  Add(Record("new", "10.0.0.1:1", 9), 2);
  CHECK(registry.FindByAddress("10.0.0.1:1")->id == "new");
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] a server that says it leaves accepts no "
                  "requests whatever the store says of this incarnation")
{
  const BackendRecord record = Record("a", "10.0.0.1:1");
  Add(record, 1);
  CHECK(registry.OnLeaving({ "a", 1, {} }, now));
  CHECK_FALSE(registry.OnLeaving({ "a", 1, {} }, now));
  CHECK(UsableCount() == 0);
  CHECK_FALSE(registry.IsUsable(record));
  CHECK(registry.FindByAddress("10.0.0.1:1") != nullptr);
  BackendRecord changed = record;
  changed.slots = 8;
  Add(changed, 2);
  CHECK(UsableCount() == 0);
  Remove("a", 3);
  Add(record, 4);
  CHECK(UsableCount() == 0);
  Add(Record("a", "10.0.0.1:1", 2), 5);
  CHECK(UsableCount() == 1);
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] the word of a server that is not listed "
                  "yet holds when it is")
{
  CHECK(registry.OnLeaving({ "a", 1, milliseconds(500) }, now));
  Add(Record("a", "10.0.0.1:1"), 1);
  CHECK(UsableCount() == 0);
  Add(Record("b", "10.0.0.2:1"), 2);
  CHECK(UsableCount() == 1);
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] the word of a listed server is kept for "
                  "good and that of another one for a bounded time")
{
  Add(Record("a", "10.0.0.1:1"), 1);
  registry.OnLeaving({ "a", 1, {} }, now);
  registry.OnLeaving({ "b", 1, {} }, now);
  now += BackendRegistry::kLeavingMemory;
  registry.Expire(now);
  REQUIRE(registry.Leaving(now).size() == 1);
  CHECK(registry.Leaving(now).front() ==
        LeavingBackend{ "a", 1, BackendRegistry::kLeavingMemory });
  // A peer that forgets later must not bring it back.
  CHECK_FALSE(
    registry.OnLeaving({ "b", 1, BackendRegistry::kLeavingMemory }, now));
  CHECK(UsableCount() == 0);
}

// Guards against changes that are missed because a store that came back from a
// copy gives out revisions again.
TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] a smaller revision of a later era is "
                  "newer")
{
  registry.Replace({ { 1, 30 }, { { "a", { 1, 30 }, Record("a", "h:1") } } },
                   now);
  registry.Replace({ { 2, 20 }, { { "a", { 2, 20 }, Record("a", "h:2") } } },
                   now);
  CHECK(registry.FindByAddress("h:2") != nullptr);
  CHECK(registry.Revision() == StoreRevision{ 2, 20 });
  registry.Replace({ { 1, 40 }, {} }, now);
  registry.Apply({ "a", { 1, 41 }, std::nullopt }, now);
  CHECK(UsableCount() == 1);
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] servers that the copy of a new era lacks "
                  "have time to register again")
{
  registry.Replace({ { 1, 30 },
                     { { "a", { 1, 29 }, Record("a", "h:1") },
                       { "b", { 1, 30 }, Record("b", "h:2") } } },
                   now);
  registry.Replace({ { 2, 20 }, {} }, now);
  CHECK(UsableCount() == 2);
  registry.Apply({ "a", { 2, 21 }, Record("a", "h:1") }, now);
  now += BackendRegistry::kReregistrationTimeout;
  registry.Expire(now);
  REQUIRE(UsableCount() == 1);
  CHECK(registry.Usable("model").front()->id == "a");
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] the copy of a new era neither ends the "
                  "leaving of a server nor brings its former incarnation back")
{
  BackendRecord leaving = Record("a", "h:1", 1);
  leaving.isDraining = true;
  registry.Replace({ { 1, 30 },
                     { { "a", { 1, 29 }, leaving },
                       { "b", { 1, 30 }, Record("b", "h:2", 5) } } },
                   now);
  registry.Replace({ { 2, 20 },
                     { { "a", { 2, 12 }, Record("a", "h:1", 1) },
                       { "b", { 2, 13 }, Record("b", "h:2", 4) } } },
                   now);
  REQUIRE(UsableCount() == 1);
  CHECK(registry.IsUsable(Record("b", "h:2", 5)));
  // The later incarnation registers again, or is gone.
  SUBCASE("it registers again")
  {
    registry.Apply({ "b", { 2, 21 }, Record("b", "h:2", 5) }, now);
    now += BackendRegistry::kReregistrationTimeout;
    registry.Expire(now);
    CHECK(UsableCount() == 1);
  }
  SUBCASE("it is gone")
  {
    now += BackendRegistry::kReregistrationTimeout;
    registry.Expire(now);
    CHECK(UsableCount() == 0);
  }
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "[BackendRegistry] the listed software versions follow the "
                  "entries, draining ones included")
{
  CHECK(registry.Versions().empty());
  for (std::uint64_t server = 1; server <= 20; ++server) {
    Add(Record("a" + std::to_string(server), std::to_string(server)), server);
  }
  CHECK(registry.Versions() == std::set<ServiceVersion>{ { "model", "v1" } });
  BackendRecord next = Record("b", "b");
  next.version = "v2";
  next.isDraining = true;
  Add(next, 30);
  CHECK(registry.Versions().size() == 2);
  CHECK(registry.Lists("b"));
  Remove("b", 31);
  CHECK(registry.Versions().size() == 1);
  CHECK_FALSE(registry.Lists("b"));
}

TEST_CASE(
  "[BackendRegistry] what a list costs grows with its length, and what a "
  "change costs does not grow with other changes beside it")
{
  for (const std::uint64_t servers : { 300U, 1'000U, 3'000U }) {
    CAPTURE(servers);
    RegistrySnapshot list{ { 0, servers }, {} };
    for (std::uint64_t index = 0; index < servers; ++index) {
      const std::string id = "i-" + std::to_string(index);
      list.entries.push_back(
        { id,
          { 0, index + 1 },
          BackendRecord{ id,
                         "model",
                         "10.0.0.1:" + std::to_string(index + 1),
                         "z",
                         8,
                         false,
                         17,
                         "v1" } });
    }
    BackendRegistry registry;
    const Instant now{ std::chrono::seconds(100) };
    CHECK(registry.Replace(list, now).size() == servers);
    CHECK(registry.EntriesVisited() <= 3 * servers);
    const std::uint64_t before = registry.EntriesVisited();
    // A tenth of the servers leaves at once.
    std::vector<RegistryChange> leaving;
    for (std::uint64_t index = 0; index < servers; index += 10) {
      RegistryChange change = list.entries[index];
      change.revision.revision += servers;
      change.record->isDraining = true;
      leaving.push_back(change);
    }
    CHECK(registry.Apply(leaving, now).size() == leaving.size());
    CHECK(registry.EntriesVisited() - before <= 3 * servers);
    CHECK(registry.Usable("model").size() == servers - leaving.size());
  }
}

TEST_CASE(
  "[BackendRegistry] peers that get what has changed have the same entries "
  "as the source")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    BackendRegistry source;
    std::vector<BackendRegistry> peers(5);
    Instant now{ std::chrono::seconds(100) };
    std::uint64_t revision = 1;
    std::size_t sent = 0;
    std::size_t fetches = 0;
    const auto change = [&] {
      const std::string id = "i-" + std::to_string(random() % 60);
      RegistryChange one{ id, { 0, ++revision }, std::nullopt };
      const std::uint64_t kind = random() % 8;
      if (kind == 0) {
        one.isUnreadable = true;
      } else if (kind > 1) {
        one.record = BackendRecord{
          id,       "model", "10.0.0.1:" + std::to_string(random() % 50),
          "z",      8,       random() % 6 == 0,
          revision, "v1"
        };
      }
      source.Apply(one, now);
    };
    const auto fetch = [&](BackendRegistry& aPeer) {
      const RegistrySnapshot list = source.SnapshotSince(aPeer.Revision(), now);
      sent += list.entries.size();
      ++fetches;
      aPeer.Replace(list, now);
    };
    for (int step = 0; step < 600; ++step) {
      now += std::chrono::milliseconds(random() % 60);
      if (random() % 150 == 0) {
        source.OnStoreReconnected(now);
      }
      change();
      source.Expire(now);
      BackendRegistry& peer = peers[random() % peers.size()];
      peer.Expire(now);
      fetch(peer);
    }
    now += BackendRegistry::kReregistrationTimeout * 2;
    source.Expire(now);
    for (BackendRegistry& peer : peers) {
      fetch(peer);
      peer.Expire(now);
      const RegistrySnapshot expected = source.Snapshot(now);
      const RegistrySnapshot actual = peer.Snapshot(now);
      REQUIRE(actual.entries.size() == expected.entries.size());
      for (std::size_t index = 0; index < actual.entries.size(); ++index) {
        CHECK(actual.entries[index].id == expected.entries[index].id);
        CHECK(actual.entries[index].record == expected.entries[index].record);
      }
      CHECK(actual.revision == expected.revision);
    }
    // Five changes come between two fetches of a peer, of 60 entries.
    CHECK(sent < fetches * 12);
  }
}

TEST_CASE(
  "[BackendRegistry] a peer that knows nothing, or too little, gets all "
  "entries")
{
  BackendRegistry source;
  const Instant now{ std::chrono::seconds(100) };
  const BackendRecord record{ "i-1", "model", "10.0.0.1:1", "z",
                              8,     false,   17,           "v1" };
  source.Replace({ { 1, 20 }, { { "i-1", { 1, 9 }, record } } }, now);
  CHECK_FALSE(source.SnapshotSince({}, now).since.has_value());
  // Of another era, and from before this gateway followed the registry.
  CHECK_FALSE(source.SnapshotSince({ 0, 30 }, now).since.has_value());
  CHECK_FALSE(source.SnapshotSince({ 1, 19 }, now).since.has_value());
  CHECK(source.SnapshotSince({ 1, 20 }, now).since.has_value());
  SUBCASE("what leaves out more than is known changes nothing")
  {
    BackendRegistry peer;
    peer.Replace({ { 1, 5 }, {} }, now);
    CHECK(peer.Replace(source.SnapshotSince({ 1, 20 }, now), now).empty());
    CHECK(peer.Revision() == StoreRevision{ 1, 5 });
  }
}

} // namespace gypsum::tests
