#include "drivers/clock.h"
#include "tests/cell/cell.h"
#include "tests/cell/limit_check.h"
#include "tests/cell/stream_check.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
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
      const auto count = std::ranges::count_if(
        aReplica.Arrivals(),
        [&](const CellArrival& aArrival) { return aArrival.at >= aFrom; });
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

TEST_CASE_FIXTURE(ServerLimitFixture,
                  "[ServerLimit] where all servers are limited the limits are "
                  "used and the rest is refused at once")
{
  SetLimits(cell.PlainServers(), { "2", "2", "2", "2", "2" });
  StartClients("/once/x", milliseconds(20));
  std::this_thread::sleep_for(kLimitContact);
  const Instant from = Now().steady;
  std::this_thread::sleep_for(kLimitWindow);
  CHECK(WaitUntil([&] {
    const CellRequest request = Make("/once/x");
    const CellResponse response = Send(request, 1);
    return response.status == 503 && !response.retryAfter.empty() &&
           response.endedAt - response.sentAt < request.deadline / 4;
  }));
  double used = 0.0;
  for (const auto& server : cell.PlainServers()) {
    CHECK(static_cast<double>(MostArrivalsAt(*server, from)) <=
          MostWithin(2.0));
    used += RateAt(*server, from);
  }
  CHECK(used >= 0.5 * 10.0);
  Stop();
}

TEST_CASE_FIXTURE(ServerLimitFixture,
                  "[ServerLimit] a server that no longer names a limit gets "
                  "requests as before")
{
  SetLimits(cell.PlainServers(), { "1", "1", "1", "1", "1" });
  StartClients("/read/x", milliseconds(20));
  std::this_thread::sleep_for(kLimitContact);
  SetLimits(cell.PlainServers(), { "", "", "", "", "" });
  std::this_thread::sleep_for(kLimitContact);
  const int sentBefore = sent;
  const int servedBefore = served;
  std::this_thread::sleep_for(seconds(1));
  Stop();
  CHECK(sent > sentBefore);
  CHECK((served - servedBefore) * 10 >= (sent - sentBefore) * 9);
}

TEST_CASE_FIXTURE(ServerLimitFixture,
                  "[ServerLimit] limits hold while gateways restart, freeze "
                  "and stop")
{
  SetLimits(cell.PlainServers(), { "1", "2.5", "0.5" });
  StartClients("/read/x", milliseconds(20));
  StartClients("/once/x", milliseconds(20));
  std::this_thread::sleep_for(kLimitContact);
  const Instant from = Now().steady;
  for (std::size_t index = 0; index < cell.Gateways().size(); ++index) {
    CellGateway& gateway = cell.Gateways()[index];
    switch (index % 3) {
      case 0:
        gateway.process.reset();
        cell.StartGateway(gateway);
        break;
      case 1:
        gateway.process->Signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(1'200));
        gateway.process->Signal(SIGCONT);
        break;
      default:
        gateway.process->Signal(SIGTERM);
        gateway.process->Wait();
        cell.StartGateway(gateway);
        break;
    }
    std::this_thread::sleep_for(milliseconds(1'500));
  }
  const std::array<double, 3> limits{ 1.0, 2.5, 0.5 };
  for (std::size_t index = 0; index < limits.size(); ++index) {
    CAPTURE(index);
    CHECK(static_cast<double>(MostArrivalsAt(
            *cell.PlainServers()[index], from)) <= MostWithin(limits[index]));
  }
  Stop();
}

} // namespace gypsum::tests
