#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/read_file.h"
#include "tests/support/resident_memory.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The operators' bound for the return of service. */
constexpr seconds kRecoveryTime{ 12 };
/** Memory of the operators' small VM. */
constexpr std::uint64_t kVmMemoryKb = 260'000;
constexpr int kGateways = 3;
/** More than one page of the store holds. */
constexpr int kManyKeys = 1'200;
/** Of as many digits as all that follow it. */
constexpr int kFirstNumber = 1'000'000;
constexpr std::array<std::string_view, 3> kPaths{ "/once/x",
                                                  "/chat/x",
                                                  "/staged/x" };

const std::vector<std::string> kForeignNames{ "a00%25",
                                              "a01%zz",
                                              "a02&b=1",
                                              "a03+",
                                              "a04%C3%A9",
                                              "a05#x",
                                              "a06 with a space",
                                              "a07=",
                                              "a08?;/",
                                              "a09\xC3\xA9",
                                              std::string("a10\0x", 5),
                                              "a11\r\nInjected: 1",
                                              "a12" + std::string(189, '%'),
                                              "" };

/** Gateways that all start beside what another writer has put into the store,
 * so that none can get the list from a peer. */
struct StoreListFixture
{
  void Write(const std::string& aPrefix, const std::vector<std::string>& aNames)
  {
    cell.Run([&] {
      std::ranges::for_each(aNames, [&](const std::string& aName) {
        cell.Store().Put(aPrefix + aName, "no entry");
      });
    });
  }

  void SetPageItems(std::size_t aItems)
  {
    cell.Run([&] { cell.Store().SetPageSize({ .items = aItems }); });
  }

  void SetPageFault(StoreContent aContent, StorePageFault aFault)
  {
    cell.Run([&] { cell.Store().SetPageFault(aContent, aFault); });
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

  void CheckServed()
  {
    CHECK(WaitUntil([&] { return AllServe(); }, kRecoveryTime));
    for (const CellGateway& gateway : cell.Gateways()) {
      CHECK(gateway.process->IsRunning());
      CHECK(PeakMemoryKb(gateway.process->Id()) < kVmMemoryKb);
    }
    CHECK(cell.Run([&] { return cell.Store().MalformedCalls(); }) == 0);
  }

  static std::string ReadinessOf(const CellGateway& aGateway)
  {
    CellRequest probe;
    probe.method = "GET";
    probe.path = "/gypsumstream/readyz";
    return CellClient(aGateway.readyAddress).Send(probe).body;
  }

  Cell cell{ CellSize{ kGateways, 2, 2, 2 } };
};

} // namespace

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] gateways that start beside keys that a query "
                  "must encode serve")
{
  // So that each key ends a page.
  SetPageItems(1);
  SUBCASE("of servers")
  {
    Write("servers/", kForeignNames);
  }
  SUBCASE("of the operator")
  {
    Write("op/", kForeignNames);
  }
  StartAll();
  CheckServed();
}

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] gateways that start beside pages of keys that a "
                  "query must encode stay within their memory")
{
  cell.Run([&] { cell.Store().SetPageSize({}); });
  std::vector<std::string> names;
  names.reserve(kManyKeys);
  for (int index = 0; index < kManyKeys; ++index) {
    names.push_back("%25" + std::to_string(kFirstNumber + index));
  }
  Write("servers/", names);
  StartAll();
  CheckServed();
}

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] a list whose pages do not advance ends, is "
                  "logged and is read again")
{
  StorePageFault fault = StorePageFault::None;
  SUBCASE("since each is the first one")
  {
    fault = StorePageFault::Repeated;
  }
  SUBCASE("since they are empty")
  {
    fault = StorePageFault::Empty;
  }
  SUBCASE("to any end")
  {
    fault = StorePageFault::Endless;
  }
  SetPageFault(StoreContent::Servers, fault);
  StartAll();
  for (const CellGateway& gateway : cell.Gateways()) {
    CHECK(WaitUntil(
      [&] {
        return ReadFile(gateway.logFile).find("event=store-list-failed") !=
               std::string::npos;
      },
      kRecoveryTime));
    CHECK(PeakMemoryKb(gateway.process->Id()) < kVmMemoryKb);
  }
  SetPageFault(StoreContent::Servers, StorePageFault::None);
  CheckServed();
}

// Guards against a list that is of no use until its last page.
TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] gateways serve with the servers that a list "
                  "names before it is broken off")
{
  SUBCASE("since each page is the first one")
  {
    SetPageFault(StoreContent::Servers, StorePageFault::Repeated);
  }
  SUBCASE("since pages are empty")
  {
    SetPageFault(StoreContent::Servers, StorePageFault::Empty);
  }
  StartAll();
  CheckServed();
  CHECK(ReadinessOf(cell.Gateways().front()).find("list of backends failed") !=
        std::string::npos);
  SetPageFault(StoreContent::Servers, StorePageFault::None);
  CHECK(
    WaitUntil([&] { return ReadinessOf(cell.Gateways().front()) == "ready\n"; },
              kRecoveryTime));
}

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] gateways keep the servers that they know while "
                  "lists do not advance")
{
  REQUIRE(cell.Start());
  SetPageFault(StoreContent::Servers, StorePageFault::Repeated);
  SUBCASE("and the history is gone")
  {
    cell.Run([&] { cell.Store().CompactHistory(); });
    cell.Publish();
  }
  SUBCASE("and one starts again, beside its peers")
  {
    CellGateway& gateway = cell.Gateways().front();
    gateway.process.reset();
    cell.StartGateway(gateway);
  }
  CheckServed();
}

TEST_CASE_FIXTURE(StoreListFixture,
                  "[StoreList] changes that are too large for one response are "
                  "listed")
{
  // More than a gateway reads at once.
  constexpr int kLargeValues = 20;
  constexpr std::size_t kLargeValue = 900'000;
  REQUIRE(cell.Start());
  cell.Run([&] {
    for (int value = 0; value < kLargeValues; ++value) {
      cell.Store().Put("servers/large" + std::to_string(value),
                       std::string(kLargeValue, 'x'));
    }
    cell.Store().SetPageSize({});
    cell.PlainServers().front()->SetVersion("v9");
    cell.PlainServers().front()->Register();
  });
  for (const CellGateway& gateway : cell.Gateways()) {
    CHECK(WaitUntil(
      [&] {
        return cell.Get(gateway, "/dump").find("software v9") !=
               std::string::npos;
      },
      kRecoveryTime));
  }
  CheckServed();
}

} // namespace gypsum::tests
