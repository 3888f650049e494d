#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kNotRun = 503;
/** Longer than the time that the clients have. */
constexpr milliseconds kStopTime{ 800 };
constexpr milliseconds kShortDeadline{ 300 };

/** A gateway that gets no processor time while requests arrive, and has an open
 * connection to the server, so that a send waits for nothing. */
struct LateGatewayFixture
{
  LateGatewayFixture()
  {
    REQUIRE(cell.Start());
    const CellRequest first = cell.MakePlainRequest("/once/x");
    REQUIRE(IsServed(first, client.Send(first)));
  }

  void Signal(int aSignal) { Gateway().process->Signal(aSignal); }
  CellGateway& Gateway() { return cell.Gateways().front(); }

  bool WasExecuted(const CellRequest& aRequest)
  {
    return !cell.ExecutionsOf(aRequest.attemptId).empty();
  }

  /** Serves a request, after those that arrived before it. */
  void ServeAnother()
  {
    const CellRequest later = cell.MakePlainRequest("/once/x");
    CHECK(IsServed(later, CellClient(Gateway().clientAddress).Send(later)));
  }

  Cell cell{ CellSize{ 1, 1, 1, 1 } };
  CellClient client{ cell.Gateways().front().clientAddress };
};

std::size_t CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against requests that are sent on after their clients have left: the
// event loop learns of both at once.
TEST_CASE_FIXTURE(LateGatewayFixture,
                  "[LateGateway] a request whose client has left before the "
                  "gateway reads it is not sent on")
{
  CellRequest request = cell.MakePlainRequest("/once/x");
  Signal(SIGSTOP);
  client.SendAndDisconnect(request, kShortDeadline);
  Signal(SIGCONT);
  ServeAnother();
  CHECK_FALSE(WasExecuted(request));
}

// Guards against requests that are sent on after their time: it starts when
// they arrive, not when the gateway reads them.
TEST_CASE_FIXTURE(LateGatewayFixture,
                  "[LateGateway] a request whose time is over before the "
                  "gateway reads it is refused as not run")
{
  CellRequest request = cell.MakePlainRequest("/once/x");
  request.headers.emplace_back("Deadline-Ms",
                               std::to_string(kShortDeadline.count()));
  Signal(SIGSTOP);
  auto answer =
    std::async(std::launch::async, [&] { return client.Send(request); });
  std::this_thread::sleep_for(kStopTime);
  Signal(SIGCONT);
  CHECK(answer.get().status == kNotRun);
  ServeAnother();
  CHECK_FALSE(WasExecuted(request));
}

TEST_CASE_FIXTURE(LateGatewayFixture,
                  "[LateGateway] a request with time left after the gateway "
                  "goes on is served")
{
  CellRequest request = cell.MakePlainRequest("/once/x");
  Signal(SIGSTOP);
  auto answer =
    std::async(std::launch::async, [&] { return client.Send(request); });
  std::this_thread::sleep_for(kShortDeadline);
  Signal(SIGCONT);
  CHECK(IsServed(request, answer.get()));
}

// Guards against second queues of a stage service: the acceptance of its owner
// waits unread while the gateway that sent the job gets no processor time.
TEST_CASE("[LateGateway] a job is not taken from its owner because the gateway "
          "that sent it is late")
{
  // The owners accept within their time, while the sender is stopped.
  constexpr milliseconds kStep{ 60 };
  constexpr milliseconds kLate{ 200 };
  constexpr milliseconds kMinAcceptTimeout{ 150 };
  constexpr std::size_t kRounds = 9;
  Cell cell{ CellSize{ 3, 2, 1, 3 } };
  REQUIRE(cell.Start());
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::size_t rounds = 0;
  for (std::size_t number = 0; rounds < kRounds && number < 10 * kRounds;
       ++number) {
    CellGateway& sender = cell.Gateways()[number % cell.Gateways().size()];
    const auto signalOthers = [&](int aSignal) {
      for (CellGateway& gateway : cell.Gateways()) {
        if (&gateway != &sender) {
          gateway.process->Signal(aSignal);
        }
      }
    };
    const auto countTaken = [&] {
      return CountOf(ReadFile(sender.logFile), "event=pieces-taken-over");
    };
    const std::size_t before = countTaken();
    const CellRequest request = cell.MakeStagedRequest();
    const auto begin = std::chrono::steady_clock::now();
    signalOthers(SIGSTOP);
    auto answer = std::async(std::launch::async, [&] {
      return CellClient(sender.clientAddress).Send(request);
    });
    std::this_thread::sleep_for(kStep);
    sender.process->Signal(SIGSTOP);
    const auto stopped = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kStep);
    signalOthers(SIGCONT);
    std::this_thread::sleep_for(kLate);
    sender.process->Signal(SIGCONT);
    CHECK(IsServed(request, answer.get()));
    // Else the owners were silent for long enough by themselves.
    if (stopped - begin < kMinAcceptTimeout) {
      ++rounds;
      CHECK(countTaken() == before);
    }
  }
  CHECK(rounds == kRounds);
}

} // namespace gypsum::tests
