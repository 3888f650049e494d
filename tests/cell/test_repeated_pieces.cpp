#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <thread>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Stage servers that write each response to a call for pieces again where the
 * response to the next call on its connection is due. */
struct RepeatedPiecesFixture
{
  RepeatedPiecesFixture()
  {
    cell.Run([&] {
      for (auto& server : cell.StageServers()) {
        server->Faults().repeatsPieces = true;
      }
    });
    REQUIRE(cell.Start());
  }

  /** Results of other requests that a server was given as inputs. */
  std::uint64_t ForeignInputs()
  {
    return cell.Run([&] {
      std::uint64_t inputs = 0;
      for (const CellReplica* const server : cell.Replicas()) {
        inputs += server->ForeignInputs();
      }
      return inputs;
    });
  }

  Cell cell{ CellSize{ 2, 2, 1, 3 } };
  CellLoad load{ cell };
};

} // namespace

// Guards against a copy that is taken for the response to the next call, whose
// request then gets the pieces of another one.
TEST_CASE_FIXTURE(RepeatedPiecesFixture,
                  "[RepeatedPieces] a late copy of a response with pieces is "
                  "never taken for that to the next call")
{
  for (int client = 0; client < 4; ++client) {
    load.Start([this] { return MakeRequest(cell, "/staged/x"); },
               milliseconds(10));
  }
  std::this_thread::sleep_for(seconds(4));
  load.Stop();
  CHECK(ForeignInputs() == 0);
  CHECK(load.Sent() > 50);
  CHECK(load.Served() * 10 >= load.Sent() * 9);
}

} // namespace gypsum::tests
