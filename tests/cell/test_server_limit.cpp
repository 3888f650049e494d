#include "drivers/clock.h"
#include "tests/cell/cell.h"
#include "tests/cell/limit_check.h"
#include "tests/cell/stream_check.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Servers that name limits, and clients that use all gateways. */
struct ServerLimitFixture
{
  using Group = std::vector<std::unique_ptr<CellReplica>>;

  ServerLimitFixture() { REQUIRE(cell.Start()); }
  ~ServerLimitFixture() { Stop(); }

  /** Names a limit at each server of a group, in order; empty: none. */
  void SetLimits(Group& aGroup, const std::vector<std::string>& aLimits)
  {
    cell.Run([&] {
      for (std::size_t index = 0; index < aLimits.size(); ++index) {
        aGroup[index]->SetLimit(aLimits[index].empty()
                                  ? std::nullopt
                                  : std::optional(aLimits[index]));
      }
    });
  }

  /** Sends requests to each gateway, until `Stop`. */
  void StartClients(const std::string& aPath, milliseconds aInterval)
  {
    for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
      clients.emplace_back([this, gateway, aPath, aInterval] {
        while (!isOver) {
          const CellResponse response = Send(Make(aPath), gateway);
          ++sent;
          served += response.status == 200 && response.isComplete ? 1 : 0;
          std::this_thread::sleep_for(aInterval);
        }
      });
    }
  }

  void Stop()
  {
    isOver = true;
    std::ranges::for_each(clients, &std::thread::join);
    clients.clear();
  }

  CellRequest Make(const std::string& aPath)
  {
    const std::lock_guard lock(mutex);
    if (aPath.starts_with("/staged/")) {
      return cell.MakeStagedRequest();
    }
    return aPath.starts_with("/chat/") || aPath.starts_with("/long/")
             ? cell.MakeStreamRequest(aPath)
             : cell.MakePlainRequest(aPath);
  }

  CellResponse Send(const CellRequest& aRequest, std::size_t aGateway)
  {
    return CellClient(cell.Gateways()[aGateway].clientAddress).Send(aRequest);
  }

  std::size_t MostArrivalsAt(const CellReplica& aReplica, Instant aFrom)
  {
    return cell.Run([&] { return MostArrivals(aReplica.Arrivals(), aFrom); });
  }

  /** Arrivals a second since a time. */
  double RateAt(const CellReplica& aReplica, Instant aFrom)
  {
    return cell.Run([&] {
      const auto count =
        std::ranges::count_if(aReplica.Arrivals(), [&](Instant aArrival) {
          return aArrival >= aFrom;
        });
      return static_cast<double>(count) /
             std::chrono::duration<double>(Now().steady - aFrom).count();
    });
  }

  Cell cell{ CellSize{ 5, 5, 5, 3 } };
  std::mutex mutex;
  std::vector<std::thread> clients;
  std::atomic<bool> isOver = false;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
};

} // namespace

TEST_CASE_FIXTURE(ServerLimitFixture,
                  "[ServerLimit] servers get no more than the limits that they "
                  "name from all gateways together")
{
  const std::array<double, 3> limits{ 1.0, 2.5, 0.5 };
  Group* group = nullptr;
  SUBCASE("model replicas")
  {
    group = &cell.ModelReplicas();
    StartClients("/chat/x", milliseconds(20));
    StartClients("/long/x", milliseconds(20));
  }
  SUBCASE("plain servers")
  {
    group = &cell.PlainServers();
    StartClients("/read/x", milliseconds(20));
    StartClients("/once/x", milliseconds(20));
  }
  SUBCASE("stage servers")
  {
    group = &cell.StageServers();
    StartClients("/staged/x", milliseconds(20));
  }
  SetLimits(*group, { "1", "2.5", group->size() > 3 ? "0.5" : "" });
  std::this_thread::sleep_for(kLimitContact);
  const Instant from = Now().steady;
  std::this_thread::sleep_for(kLimitWindow + seconds(2));
  for (std::size_t index = 0; index < limits.size(); ++index) {
    if (index == 2 && group->size() <= 3) {
      break;
    }
    CAPTURE(index);
    CHECK(static_cast<double>(MostArrivalsAt(*(*group)[index], from)) <=
          MostWithin(limits[index]));
  }
  Stop();
  CHECK(served > 0);
}

} // namespace gypsum::tests
