#include "tests/cell/cell.h"
#include "tests/cell/stream_check.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <string>
#include <thread>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Gateways of which the last one hears no peer, and servers of which the first
 * two are replaced by two of another software version. */
struct OutOfStepFixture
{
  OutOfStepFixture()
  {
    cell.Isolate(cell.Gateways().back());
    cell.Run([&] {
      for (std::size_t index = 2; index < cell.ModelReplicas().size();
           ++index) {
        cell.ModelReplicas()[index]->SetVersion("v2");
        cell.ModelReplicas()[index]->Unregister();
      }
    });
    REQUIRE(cell.Start());
  }

  CellResponse Send(const CellRequest& aRequest, std::size_t aGateway)
  {
    return CellClient(cell.Gateways()[aGateway].clientAddress).Send(aRequest);
  }

  void SetTruncate(double aChance)
  {
    cell.Run([&] {
      for (auto& replica : cell.ModelReplicas()) {
        replica->Faults().truncate = aChance;
      }
    });
  }

  /** What a client has of a stream that broke off at the first gateway. */
  CellResponse BreakStream(CellRequest& aFirst)
  {
    CellResponse begun;
    SetTruncate(1.0);
    REQUIRE(WaitUntil([&] {
      aFirst = cell.MakeStreamRequest("/long/x");
      begun = Send(aFirst, 0);
      return !LastEventOf(begun.body).empty() && !begun.isComplete;
    }));
    SetTruncate(0.0);
    return begun;
  }

  /** Takes a stream up at the gateway without peers. */
  CellResponse Resume(const CellRequest& aFirst, const CellResponse& aBegun)
  {
    CellRequest resume = cell.MakeStreamRequest(aFirst.path);
    resume.prompt = aFirst.prompt;
    resume.headers = { { "Resumes", aFirst.attemptId },
                       { "Last-Event-Id", LastEventOf(aBegun.body) } };
    return Send(resume, cell.Gateways().size() - 1);
  }

  /** The servers of the first version drain, those of the second one join. */
  void ReplaceServers()
  {
    cell.Run([&] {
      for (std::size_t index = 0; index < cell.ModelReplicas().size();
           ++index) {
        CellReplica& replica = *cell.ModelReplicas()[index];
        index < 2 ? replica.Drain() : replica.Register();
      }
    });
  }

  void RemoveDrainedServers()
  {
    cell.Run([&] {
      cell.ModelReplicas()[0]->Unregister();
      cell.ModelReplicas()[1]->Unregister();
    });
  }

  bool GoesOnInStep()
  {
    return WaitUntil([&] {
      CellRequest first;
      const CellResponse begun = BreakStream(first);
      const CellResponse rest = Resume(first, begun);
      return rest.status == 200 && rest.isComplete;
    });
  }

  Cell cell{ CellSize{ 3, 4, 1, 1 } };
};

} // namespace

TEST_CASE_FIXTURE(OutOfStepFixture,
                  "[ResumeOutOfStep] a gateway cut off from store and peers "
                  "does not join versions that were released meanwhile")
{
  REQUIRE(GoesOnInStep());
  const std::size_t door = cell.Gateways().back().storeDoor;
  const auto setDoor = [&](StoreMode aMode) {
    cell.Run([&] {
      cell.Store().SetDoorMode(door, StoreContent::Configuration, aMode);
      cell.Store().SetDoorMode(door, StoreContent::Servers, aMode);
    });
  };
  setDoor(StoreMode::Unresponsive);
  ReplaceServers();
  REQUIRE(WaitUntil([&] {
    CellRequest first;
    return VersionsOf(BreakStream(first).body).contains("v2");
  }));
  for (int round = 0; round < 12; ++round) {
    CellRequest first;
    const CellResponse begun = BreakStream(first);
    const CellResponse rest = Resume(first, begun);
    CAPTURE(begun.body);
    CAPTURE(rest.body);
    CHECK(VersionsOf(begun.body + rest.body).size() == 1);
    CHECK(rest.status == 503);
    std::this_thread::sleep_for(milliseconds(200));
  }
  setDoor(StoreMode::Up);
  RemoveDrainedServers();
  CHECK(GoesOnInStep());
}

TEST_CASE_FIXTURE(OutOfStepFixture,
                  "[ResumeOutOfStep] a gateway that stood still while versions "
                  "were released does not join them when it wakes up")
{
  REQUIRE(GoesOnInStep());
  const CellGateway& gateway = cell.Gateways().back();
  gateway.process->Signal(SIGSTOP);
  ReplaceServers();
  CellRequest first;
  CellResponse begun;
  REQUIRE(WaitUntil([&] {
    begun = BreakStream(first);
    return VersionsOf(begun.body).contains("v2");
  }));
  std::this_thread::sleep_for(seconds(2));
  gateway.process->Signal(SIGCONT);
  const CellResponse rest = Resume(first, begun);
  CAPTURE(begun.body);
  CAPTURE(rest.body);
  CHECK(VersionsOf(begun.body + rest.body).size() == 1);
  CHECK((rest.status == 503 || rest.isComplete));
  RemoveDrainedServers();
  CHECK(GoesOnInStep());
}

} // namespace gypsum::tests
