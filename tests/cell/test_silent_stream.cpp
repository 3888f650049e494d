#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Longer than the silence after which a stream is resumed elsewhere. */
constexpr milliseconds kPause{ 1'500 };
constexpr int kGraceSeconds = 8;
/** From the stop of a gateway on; it accepts requests for 2.5 s and sends them
 * for 4 s. */
constexpr milliseconds kStartInStop{ 1'700 };
constexpr milliseconds kSilenceInStop{ 3'400 };
constexpr milliseconds kSettleTime{ 200 };
constexpr milliseconds kLongDeadline{ 10'000 };
/** The streams of a route get twice as much. */
constexpr milliseconds kShortTimeout{ 900 };

/** A gateway with resumable streams whose servers are silent for a while in the
 * middle of them. */
struct SilentStreamFixture
{
  explicit SilentStreamFixture(int aReplicas = 3,
                               milliseconds aTimeout = kLongDeadline)
    : cell({ 1, aReplicas, 1, 1, kGraceSeconds })
  {
    cell.configuration.timeoutMs = static_cast<int>(aTimeout.count());
    cell.Publish();
    REQUIRE(cell.Start());
  }

  CellGateway& Gateway() { return cell.Gateways().front(); }

  void SetSilent(bool aIsSilent)
  {
    cell.Run([&] {
      for (auto& replica : cell.ModelReplicas()) {
        replica->Faults().isUnresponsive = aIsSilent;
      }
    });
  }

  void SlowDown(double aFactor)
  {
    cell.Run([&] {
      for (auto& replica : cell.ModelReplicas()) {
        replica->Faults().delayFactor = aFactor;
      }
    });
  }

  /** Starts streams and waits until a server runs each. */
  void StartStreams(int aCount)
  {
    std::vector<std::string> attempts;
    for (int stream = 0; stream < aCount; ++stream) {
      CellRequest request = cell.MakeStreamRequest("/long/x");
      request.deadline = kLongDeadline;
      attempts.push_back(request.attemptId);
      streams.push_back(std::async(std::launch::async, [this, request] {
        return IsServed(request,
                        CellClient(Gateway().clientAddress).Send(request));
      }));
    }
    REQUIRE(WaitUntil([&] {
      return std::ranges::none_of(attempts, [&](const std::string& aAttempt) {
        return cell.ExecutionsOf(aAttempt).empty();
      });
    }));
    std::this_thread::sleep_for(kSettleTime);
  }

  void PauseServers()
  {
    SetSilent(true);
    std::this_thread::sleep_for(kPause);
    SetSilent(false);
  }

  void CheckAllServed()
  {
    for (auto& stream : streams) {
      CHECK(stream.get());
    }
  }

  Cell cell;
  std::vector<std::future<bool>> streams;
};

struct LoneReplicaFixture : SilentStreamFixture
{
  LoneReplicaFixture()
    : SilentStreamFixture(1)
  {
  }
};

struct ShortTimeoutFixture : SilentStreamFixture
{
  ShortTimeoutFixture()
    : SilentStreamFixture(1, kShortTimeout)
  {
  }
};

} // namespace

// Guards against streams that are cut in a planned stop because their servers
// are silent for a while, although nothing can go on elsewhere any more.
TEST_CASE_FIXTURE(SilentStreamFixture,
                  "[SilentStream] a stream whose server is silent late in a "
                  "planned stop is kept and served")
{
  // It has some events left when the gateway sends nothing any more.
  SlowDown(25.0);
  Gateway().process->Signal(SIGTERM);
  const auto stoppedAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kStartInStop);
  StartStreams(4);
  std::this_thread::sleep_until(stoppedAt + kSilenceInStop);
  PauseServers();
  SlowDown(1.0);
  CheckAllServed();
  CHECK(Gateway().process->Wait() == 0);
}

TEST_CASE_FIXTURE(LoneReplicaFixture,
                  "[SilentStream] a stream with no other server is kept and "
                  "served")
{
  SlowDown(4.0);
  StartStreams(4);
  PauseServers();
  SlowDown(1.0);
  CheckAllServed();
}

// Only some retries are left for so many streams.
TEST_CASE_FIXTURE(SilentStreamFixture,
                  "[SilentStream] streams for which the retry budget has "
                  "nothing left are kept and served")
{
  SlowDown(8.0);
  StartStreams(24);
  PauseServers();
  SlowDown(1.0);
  CheckAllServed();
}

TEST_CASE_FIXTURE(SilentStreamFixture,
                  "[SilentStream] a stream whose server is silent goes on at "
                  "another one")
{
  SlowDown(4.0);
  StartStreams(1);
  cell.Run([&] {
    const std::string silent = cell.Executions().back().replica;
    for (auto& replica : cell.ModelReplicas()) {
      replica->Faults().isUnresponsive = replica->Id() == silent;
      replica->Faults().delayFactor = 1.0;
    }
  });
  CheckAllServed();
}

TEST_CASE_FIXTURE(ShortTimeoutFixture,
                  "[SilentStream] a stream whose server is silent for good "
                  "ends at its deadline")
{
  SlowDown(8.0);
  const auto begin = std::chrono::steady_clock::now();
  StartStreams(1);
  SetSilent(true);
  CHECK_FALSE(streams.front().get());
  CHECK(std::chrono::steady_clock::now() - begin <
        2 * kShortTimeout + seconds(2));
  CHECK(WaitUntil([&] {
    return ReadFile(Gateway().logFile).find("outcome=broken-off") !=
           std::string::npos;
  }));
}

} // namespace gypsum::tests
