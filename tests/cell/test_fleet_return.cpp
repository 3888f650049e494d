#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The operators' bound for the return of service. */
constexpr seconds kRecoveryTime{ 12 };
constexpr milliseconds kStoreFaultTime{ 2'000 };
constexpr std::array<std::string_view, 4> kPaths{ "/once/x",
                                                  "/read/x",
                                                  "/chat/x",
                                                  "/staged/x" };

/** Gateways that have served, and are all killed at once. */
struct FleetReturnFixture
{
  FleetReturnFixture()
  {
    REQUIRE(cell.Start());
    REQUIRE(AllServe());
    for (CellGateway& gateway : cell.Gateways()) {
      gateway.process.reset();
    }
  }

  void StartAll()
  {
    for (CellGateway& gateway : cell.Gateways()) {
      cell.StartGateway(gateway);
    }
  }

  /** Whether each gateway serves a request of each kind. */
  bool AllServe()
  {
    return std::ranges::all_of(
      cell.Gateways(), [&](const CellGateway& aGateway) {
        return std::ranges::all_of(kPaths, [&](std::string_view aPath) {
          const CellRequest request = MakeRequest(cell, std::string(aPath));
          return IsServed(request,
                          CellClient(aGateway.clientAddress).Send(request));
        });
      });
  }

  void CheckReturn()
  {
    CHECK(WaitUntil([&] { return AllServe(); }, kRecoveryTime));
  }

  Cell cell{ CellSize{ 5, 3, 3, 3 } };
};

} // namespace

TEST_CASE_FIXTURE(FleetReturnFixture,
                  "[FleetReturn] gateways that are all killed at once serve "
                  "each kind of request again")
{
  SUBCASE("while all else is well")
  {
    StartAll();
  }
  SUBCASE("after the servers have restarted under their ids")
  {
    cell.Run(
      [&] { std::ranges::for_each(cell.Replicas(), &CellReplica::Restart); });
    StartAll();
  }
  CheckReturn();
}

TEST_CASE_FIXTURE(FleetReturnFixture,
                  "[FleetReturn] gateways that return while the store is away "
                  "serve again once it is back")
{
  StoreMode mode = StoreMode::Up;
  SUBCASE("unavailable")
  {
    mode = StoreMode::Unavailable;
  }
  SUBCASE("unresponsive")
  {
    mode = StoreMode::Unresponsive;
  }
  SUBCASE("resetting connections")
  {
    mode = StoreMode::Reset;
  }
  SUBCASE("cutting responses")
  {
    mode = StoreMode::CutHead;
  }
  SUBCASE("turning calls away")
  {
    mode = StoreMode::TooManyRequests;
  }
  cell.Run([&] { cell.Store().SetMode(mode); });
  StartAll();
  std::this_thread::sleep_for(kStoreFaultTime);
  cell.Run([&] { cell.Store().SetMode(StoreMode::Up); });
  CheckReturn();
}

} // namespace gypsum::tests
