#include "drivers/clock.h"
#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Set by the operators; with a second for all gateways to hear the word. */
constexpr milliseconds kDrainBound{ 3'000 };
constexpr milliseconds kInterval{ 20 };

/** Servers that say that they leave, while the store lists them as ready. */
struct ServerLeavingFixture
{
  using Group = std::vector<std::unique_ptr<CellReplica>>;

  ServerLeavingFixture() { REQUIRE(cell.Start()); }

  void StartClients(const std::string& aPath)
  {
    load.Start([this, aPath] { return MakeRequest(cell, aPath); }, kInterval);
  }

  /** The first servers of a group say from now on that they leave. */
  void SetLeaving(Group& aGroup, std::size_t aCount)
  {
    cell.Run([&] {
      for (std::size_t index = 0; index < aCount; ++index) {
        aGroup[index]->SetLeaving(true);
        leaving.push_back(aGroup[index].get());
      }
    });
  }

  /** Requests of any kind that have reached leaving servers. */
  std::size_t Arrivals()
  {
    return cell.Run([&] {
      std::size_t arrivals = 0;
      for (const CellReplica* const server : leaving) {
        arrivals += server->Arrivals().size();
      }
      return arrivals;
    });
  }

  /** Arrivals in the next two seconds. */
  std::size_t ArrivalsFromNowOn()
  {
    const std::size_t before = Arrivals();
    std::this_thread::sleep_for(seconds(2));
    return Arrivals() - before;
  }

  Cell cell{ CellSize{ 5, 6, 6, 3 } };
  CellLoad load{ cell };
  std::vector<CellReplica*> leaving;
};

} // namespace

TEST_CASE_FIXTURE(ServerLeavingFixture,
                  "[ServerLeaving] a server that says it leaves gets nothing "
                  "although the store lists it as ready")
{
  SUBCASE("model replicas")
  {
    StartClients("/chat/x");
    StartClients("/long/x");
    SetLeaving(cell.ModelReplicas(), 2);
  }
  SUBCASE("plain servers")
  {
    StartClients("/read/x");
    StartClients("/once/x");
    SetLeaving(cell.PlainServers(), 2);
  }
  SUBCASE("stage servers")
  {
    StartClients("/staged/x");
    SetLeaving(cell.StageServers(), 1);
  }
  std::this_thread::sleep_for(kDrainBound);
  load.ResetCounts();
  CHECK(ArrivalsFromNowOn() == 0);
  load.Stop();
  CHECK(load.Sent() > 0);
  CHECK(load.Served() * 10 >= load.Sent() * 9);
}

TEST_CASE_FIXTURE(ServerLeavingFixture,
                  "[ServerLeaving] neither the store nor a later response "
                  "undoes the word of an incarnation")
{
  StartClients("/read/x");
  SetLeaving(cell.PlainServers(), cell.PlainServers().size());
  std::this_thread::sleep_for(kDrainBound);
  SUBCASE("the store lists it as ready once more")
  {
    cell.Run([&] {
      std::ranges::for_each(leaving,
                            [](CellReplica* aServer) { aServer->Register(); });
    });
  }
  SUBCASE("its entry is removed and comes back")
  {
    cell.Run([&] {
      std::ranges::for_each(
        leaving, [](CellReplica* aServer) { aServer->Unregister(); });
    });
    std::this_thread::sleep_for(milliseconds(600));
    cell.Run([&] {
      std::ranges::for_each(leaving,
                            [](CellReplica* aServer) { aServer->Register(); });
    });
  }
  SUBCASE("the store is away")
  {
    cell.Run([&] { cell.Store().SetMode(StoreMode::Unavailable); });
  }
  CHECK(ArrivalsFromNowOn() == 0);
}

TEST_CASE_FIXTURE(ServerLeavingFixture,
                  "[ServerLeaving] a gateway that starts learns from its peers "
                  "which servers leave")
{
  StartClients("/read/x");
  StartClients("/chat/x");
  SetLeaving(cell.PlainServers(), 2);
  SetLeaving(cell.ModelReplicas(), 2);
  std::this_thread::sleep_for(kDrainBound);
  cell.Run([&] {
    std::ranges::for_each(
      leaving, [](CellReplica* aServer) { aServer->SetLeaving(false); });
  });
  for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
    REQUIRE(load.RestartGateway(gateway));
    std::this_thread::sleep_for(seconds(1));
    CAPTURE(gateway);
    CHECK(ArrivalsFromNowOn() == 0);
  }
}

TEST_CASE_FIXTURE(ServerLeavingFixture,
                  "[ServerLeaving] the next incarnation of a server that left "
                  "gets requests")
{
  StartClients("/read/x");
  SetLeaving(cell.PlainServers(), cell.PlainServers().size());
  std::this_thread::sleep_for(kDrainBound);
  cell.Run([&] {
    std::ranges::for_each(leaving, [](CellReplica* aServer) {
      aServer->SetLeaving(false);
      aServer->Restart();
    });
  });
  std::this_thread::sleep_for(seconds(1));
  CHECK(ArrivalsFromNowOn() > 0);
}

TEST_CASE_FIXTURE(ServerLeavingFixture,
                  "[ServerLeaving] while all servers of a service leave a "
                  "request is refused at once as not executed")
{
  SetLeaving(cell.PlainServers(), cell.PlainServers().size());
  StartClients("/read/x");
  std::this_thread::sleep_for(kDrainBound);
  load.Stop();
  const CellRequest request = cell.MakePlainRequest("/once/x");
  const CellResponse response = load.Send(request, 1);
  CHECK(response.status == 503);
  CHECK_FALSE(response.retryAfter.empty());
  CHECK(response.endedAt - response.sentAt < request.deadline / 4);
  CHECK(cell.ExecutionsOf(request.attemptId).empty());
}

} // namespace gypsum::tests
