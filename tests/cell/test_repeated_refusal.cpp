#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Servers that refuse many requests, and write a refusal again where the
 * response to a later request on the same connection is due. */
struct RepeatedRefusalFixture
{
  RepeatedRefusalFixture() { REQUIRE(cell.Start()); }

  void SetFaults(bool aNamesAttempts)
  {
    cell.Run([&] {
      for (CellReplica* const server : cell.Replicas()) {
        server->Faults().refuse = 0.3;
        server->Faults().repeatsRefusals = true;
        server->Faults().namesRefused = aNamesAttempts;
      }
    });
  }

  /** Sends requests for some time; returns those that were refused as not
   * executed but were executed, or were executed twice. */
  std::size_t CountFalseRefusals(const std::string& aPath)
  {
    std::mutex mutex;
    std::vector<std::string> refused;
    std::vector<std::string> sent;
    std::atomic<bool> isOver = false;
    std::vector<std::thread> clients;
    for (std::size_t client = 0; client < 4; ++client) {
      clients.emplace_back([&, client] {
        while (!isOver) {
          const CellRequest request =
            load.Make([&] { return MakeRequest(cell, aPath); });
          const CellResponse response =
            load.Send(request, client % cell.Gateways().size());
          const std::lock_guard lock(mutex);
          sent.push_back(request.attemptId);
          if (response.status == 503) {
            refused.push_back(request.attemptId);
          }
        }
      });
    }
    std::this_thread::sleep_for(seconds(3));
    isOver = true;
    std::ranges::for_each(clients, &std::thread::join);
    CHECK(sent.size() > 50);
    CHECK_FALSE(refused.empty());
    std::this_thread::sleep_for(milliseconds(200));
    const auto falseRefusals =
      std::ranges::count_if(refused, [&](const std::string& aAttempt) {
        return !cell.ExecutionsOf(aAttempt).empty();
      });
    const auto repeats =
      std::ranges::count_if(sent, [&](const std::string& aAttempt) {
        return cell.ExecutionsOf(aAttempt).size() > 1;
      });
    return static_cast<std::size_t>(falseRefusals + repeats);
  }

  Cell cell{ CellSize{ 2, 2, 2, 2 } };
  CellLoad load{ cell };
};

} // namespace

TEST_CASE_FIXTURE(RepeatedRefusalFixture,
                  "[RepeatedRefusal] a refusal that is written again is not "
                  "believed for a later request on its connection")
{
  SUBCASE("plain, and refusals without the attempt")
  {
    SetFaults(false);
    CHECK(CountFalseRefusals("/once/x") == 0);
  }
  SUBCASE("plain, and refusals that name the attempt")
  {
    SetFaults(true);
    CHECK(CountFalseRefusals("/once/x") == 0);
  }
  SUBCASE("streams, and refusals without the attempt")
  {
    SetFaults(false);
    CHECK(CountFalseRefusals("/chat/x") == 0);
  }
}

TEST_CASE_FIXTURE(RepeatedRefusalFixture,
                  "[RepeatedRefusal] results of pieces are never taken for "
                  "those of another call after a refusal is written again")
{
  cell.Run([&] {
    for (auto& server : cell.StageServers()) {
      server->Faults().refuse = 0.3;
      server->Faults().repeatsRefusals = true;
    }
  });
  load.Start([this] { return MakeRequest(cell, "/staged/x"); },
             milliseconds(10));
  std::this_thread::sleep_for(seconds(4));
  load.Stop();
  CHECK(load.Served() > 0);
  CHECK(cell.Run([&] {
    return cell.StageServers()[0]->ForeignInputs() +
           cell.StageServers()[1]->ForeignInputs();
  }) == 0);
}

} // namespace gypsum::tests
