#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace gypsum::tests {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotRun = 503;

struct MalformedNumbersFixture
{
  MalformedNumbersFixture() { REQUIRE(cell.Start()); }

  /** Sends a request with stages and a changed header to each gateway, of which
   * one owns the queue of the stages. */
  std::vector<unsigned> SendToAll(const std::string& aHeader,
                                  const std::string& aValue)
  {
    std::vector<unsigned> statuses;
    for (const CellGateway& gateway : cell.Gateways()) {
      CellRequest request = cell.MakeStagedRequest();
      request.pieces = aHeader == "Pieces" ? aValue : request.pieces;
      if (aHeader != "Pieces") {
        request.headers.emplace_back(aHeader, aValue);
      }
      statuses.push_back(
        CellClient(gateway.clientAddress).Send(request).status);
      CHECK(cell.ExecutionsOf(request.attemptId).empty());
    }
    return statuses;
  }

  /** All processes run on, and serve. */
  void CheckAllServe()
  {
    for (CellGateway& gateway : cell.Gateways()) {
      CHECK(gateway.process->IsRunning());
      const CellRequest request = cell.MakeStagedRequest();
      CHECK(IsServed(request, CellClient(gateway.clientAddress).Send(request)));
    }
  }

  Cell cell{ CellSize{ 3, 2, 1, 2 } };
};

} // namespace

// Guards against a request that ends the owner of a stage's queue, and then the
// next one, as they make room for as many pieces as it names.
TEST_CASE_FIXTURE(MalformedNumbersFixture,
                  "[MalformedNumbers] a request with a malformed number is "
                  "refused for good and ends no gateway")
{
  const std::vector<std::pair<std::string, std::string>> rows{
    { "Pieces", "4294967295,1" },
    { "Pieces", "1000000,1" },
    { "Pieces", "2,18446744073709551617" },
    { "Pieces", "-1,1" },
    { "Deadline-Ms", "9223372036854775807" },
    { "Token-Counts", "18446744073709551615,1" },
  };
  for (const auto& row : rows) {
    const std::string& header = row.first;
    const std::string& value = row.second;
    CAPTURE(header);
    CAPTURE(value);
    CHECK(std::ranges::all_of(SendToAll(header, value), [](unsigned aStatus) {
      return aStatus == kBadRequest;
    }));
  }
  CheckAllServe();
}

TEST_CASE_FIXTURE(MalformedNumbersFixture,
                  "[MalformedNumbers] a request with more pieces than all "
                  "servers compute in its time is refused at once")
{
  const auto begin = std::chrono::steady_clock::now();
  CHECK(
    std::ranges::all_of(SendToAll("Pieces", "1300,1"),
                        [](unsigned aStatus) { return aStatus == kNotRun; }));
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(3));
  CheckAllServe();
}

} // namespace gypsum::tests
