#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <future>
#include <map>
#include <string>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

constexpr int kGateways = 4;
/** The server takes this many times its usual time, so that requests are under
 * way when a signal comes. */
constexpr double kSlowFactor = 20.0;

/** Whether a signal is in the mask of a thread, as /proc shows it. */
bool IsBlocked(const std::string& aStatus, int aSignal)
{
  constexpr std::string_view kField = "SigBlk:";
  const std::uint64_t mask = std::stoull(
    aStatus.substr(aStatus.find(kField) + kField.size()), nullptr, 16);
  return (mask >> (aSignal - 1) & 1U) != 0;
}

/** Gateways that all get the same signals, each with requests under way. */
struct SignalFixture
{
  SignalFixture()
  {
    cell.Publish();
    REQUIRE(cell.Start());
    cell.Run([&] {
      for (auto& server : cell.PlainServers()) {
        server->Faults().delayFactor = kSlowFactor;
      }
    });
  }

  void SignalAll(const std::vector<int>& aSignals)
  {
    for (CellGateway& gateway : cell.Gateways()) {
      std::ranges::for_each(
        aSignals, [&](int aSignal) { gateway.process->Signal(aSignal); });
    }
  }

  /** Sends a request that may not be repeated to each gateway, and the signals
   * while all are under way. */
  void StopUnderLoad(const std::vector<int>& aSignals)
  {
    std::vector<std::future<bool>> answers;
    std::vector<std::string> attempts;
    for (const CellGateway& gateway : cell.Gateways()) {
      const CellRequest request = cell.MakePlainRequest("/once/x");
      attempts.push_back(request.attemptId);
      answers.push_back(std::async(std::launch::async, [request, &gateway] {
        return IsServed(request,
                        CellClient(gateway.clientAddress).Send(request));
      }));
    }
    REQUIRE(WaitUntil([&] {
      return std::ranges::none_of(attempts, [&](const std::string& aAttempt) {
        return cell.ExecutionsOf(aAttempt).empty();
      });
    }));
    SignalAll(aSignals);
    for (auto& answer : answers) {
      CHECK(answer.get());
    }
  }

  void CheckExits()
  {
    for (CellGateway& gateway : cell.Gateways()) {
      CHECK(gateway.process->Wait() == 0);
    }
  }

  void RestartAll()
  {
    for (CellGateway& gateway : cell.Gateways()) {
      cell.StartGateway(gateway);
    }
    for (CellGateway& gateway : cell.Gateways()) {
      REQUIRE(cell.WaitUntilReady(gateway));
    }
  }

  Cell cell{ CellSize{ kGateways, 1, 2, 1 } };
};

} // namespace

// Guards against an abort of the process: a signal interrupted the wait of the
// peer transport's thread.
TEST_CASE_FIXTURE(SignalFixture,
                  "[Signals] only the main thread of a gateway takes signals")
{
  const pid_t process = cell.Gateways()[0].process->Id();
  const std::filesystem::path threads =
    "/proc/" + std::to_string(process) + "/task";
  int others = 0;
  for (const auto& thread : std::filesystem::directory_iterator(threads)) {
    const bool isMain = thread.path().filename() == std::to_string(process);
    const std::string status = ReadFile(thread.path() / "status");
    for (const int signal : { SIGHUP, SIGINT, SIGTERM }) {
      CAPTURE(status);
      CHECK(IsBlocked(status, signal) == !isMain);
    }
    others += isMain ? 0 : 1;
  }
  CHECK(others > 0);
}

// Guards against the same abort: the second of two signals goes to another
// thread while the main one has not handled the first.
TEST_CASE_FIXTURE(SignalFixture,
                  "[Signals] a gateway that gets a burst of signals answers "
                  "what it has passed on and stops")
{
  SUBCASE("a reload and a stop")
  {
    StopUnderLoad({ SIGHUP, SIGTERM });
  }
  SUBCASE("a stop between two reloads")
  {
    StopUnderLoad({ SIGHUP, SIGTERM, SIGHUP });
  }
  SUBCASE("two stops")
  {
    StopUnderLoad({ SIGTERM, SIGTERM });
  }
  SUBCASE("a reload and a stop while it is frozen")
  {
    StopUnderLoad({ SIGSTOP, SIGHUP, SIGTERM, SIGCONT });
  }
  CheckExits();
}

TEST_CASE_FIXTURE(SignalFixture,
                  "[Signals] a gateway that gets more signals while it drains "
                  "drains to the end")
{
  StopUnderLoad({ SIGTERM });
  for (int burst = 0; burst < 10; ++burst) {
    SignalAll({ SIGHUP, SIGTERM, SIGHUP });
    std::this_thread::sleep_for(milliseconds(50));
  }
  CheckExits();
}

TEST_CASE_FIXTURE(SignalFixture,
                  "[Signals] a gateway that gets a burst of signals while it "
                  "starts stops without an error")
{
  SignalAll({ SIGTERM });
  CheckExits();
  constexpr std::string_view kFirstLine = "event=start ";
  std::vector<std::size_t> logSizes;
  for (const CellGateway& gateway : cell.Gateways()) {
    logSizes.push_back(std::filesystem::file_size(gateway.logFile));
  }
  for (std::size_t index = 0; index < cell.Gateways().size(); ++index) {
    CellGateway& gateway = cell.Gateways()[index];
    cell.StartGateway(gateway);
    REQUIRE(WaitUntil([&] {
      return ReadFile(gateway.logFile).find(kFirstLine, logSizes[index]) !=
             std::string::npos;
    }));
    gateway.process->Signal(SIGHUP);
    gateway.process->Signal(SIGTERM);
  }
  CheckExits();
}

} // namespace gypsum::tests
