#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kNotRun = 503;
/** Longer than the grace period of a cell, which is 4 s. */
constexpr milliseconds kLongDeadline{ 10'000 };
/** A request that crosses the close of its connection ends within this. */
constexpr milliseconds kCrossingTime{ 200 };

/** Two gateways, of which the first is stopped, and requests that may take
 * longer than its grace period. */
struct PlannedStopFixture
{
  PlannedStopFixture()
  {
    cell.configuration.timeoutMs = static_cast<int>(kLongDeadline.count());
    // No client leaves within the grace period.
    cell.configuration.targetMs = 3'000;
    cell.Publish();
    REQUIRE(cell.Start());
  }

  CellGateway& Stopped() { return cell.Gateways()[0]; }

  CellRequest Make(const std::string& aPath)
  {
    CellRequest request = MakeRequest(cell, aPath);
    request.deadline = kLongDeadline;
    return request;
  }

  std::future<CellResponse> SendInBackground(const CellRequest& aRequest)
  {
    return std::async(std::launch::async, [this, aRequest] {
      return CellClient(Stopped().clientAddress).Send(aRequest);
    });
  }

  template<typename Group, typename Change>
  void SetFaults(Group& aGroup, Change aChange)
  {
    cell.Run([&] {
      for (auto& server : aGroup) {
        aChange(server->Faults());
      }
    });
  }

  void StopGateway() { Stopped().process->Signal(SIGTERM); }

  Cell cell{ CellSize{ 2, 3, 2, 2 } };
};

/** Clients that keep their connections to the stopped gateway until its process
 * is gone, and count the requests that it cut. */
struct LateArrivalFixture : PlannedStopFixture
{
  static constexpr int kClients = 8;

  bool IsCut(const CellRequest& aRequest, const CellResponse& aResponse)
  {
    const bool isAnswered =
      aResponse.status != 0 && (aResponse.isComplete || IsStream(aResponse));
    const bool wasPassedOn = !cell.ExecutionsOf(aRequest.attemptId).empty();
    return !isAnswered && (wasPassedOn || aResponse.endedAt - aResponse.sentAt >
                                            kCrossingTime);
  }

  /** A stream whose server was at work until the end may break off. */
  static bool IsStream(const CellResponse& aResponse)
  {
    return aResponse.status == 200 && !aResponse.body.empty();
  }

  void Play(const std::string& aPath)
  {
    std::mutex mutex;
    const auto client = [&] {
      CellClient connection(Stopped().clientAddress);
      while (Stopped().process->IsRunning()) {
        CellRequest request;
        {
          const std::lock_guard lock(mutex);
          request = Make(aPath);
        }
        const CellResponse response = connection.Send(request);
        const std::lock_guard lock(mutex);
        ++sent;
        cut += IsCut(request, response) ? 1 : 0;
        falseRefusals += response.status == kNotRun &&
                             !cell.ExecutionsOf(request.attemptId).empty()
                           ? 1
                           : 0;
      }
    };
    std::vector<std::future<void>> clients(kClients);
    std::ranges::generate(
      clients, [&] { return std::async(std::launch::async, client); });
    std::this_thread::sleep_for(milliseconds(500));
    StopGateway();
    for (auto& running : clients) {
      running.get();
    }
    CHECK(sent > kClients);
    CHECK(cut == 0);
    CHECK(falseRefusals == 0);
  }

  int sent = 0;
  int cut = 0;
  int falseRefusals = 0;
};

} // namespace

TEST_CASE_FIXTURE(PlannedStopFixture,
                  "[PlannedStop] a request that waits until the end of the "
                  "grace period is refused as not run")
{
  CellRequest request;
  SUBCASE("for its stages")
  {
    SetFaults(cell.StageServers(),
              [](CellFaults& aFaults) { aFaults.isUnresponsive = true; });
    request = Make("/staged/x");
  }
  SUBCASE("for a stage whose servers turn calls away")
  {
    SetFaults(cell.StageServers(),
              [](CellFaults& aFaults) { aFaults.refuse = 1.0; });
    request = Make("/staged/x");
  }
  auto response = SendInBackground(request);
  std::this_thread::sleep_for(milliseconds(300));
  StopGateway();
  const CellResponse answer = response.get();
  CHECK(answer.status == kNotRun);
  CHECK(answer.isComplete);
  CHECK(cell.ExecutionsOf(request.attemptId).empty());
  CHECK(Stopped().process->Wait() == 0);
}

TEST_CASE_FIXTURE(PlannedStopFixture,
                  "[PlannedStop] a request at a silent server gets a failure "
                  "that does not promise that it has not run")
{
  SetFaults(cell.PlainServers(),
            [](CellFaults& aFaults) { aFaults.hang = 1.0; });
  const CellRequest request = Make("/once/x");
  auto response = SendInBackground(request);
  REQUIRE(
    WaitUntil([&] { return !cell.ExecutionsOf(request.attemptId).empty(); }));
  StopGateway();
  const CellResponse answer = response.get();
  CHECK(answer.status > kNotRun - 2);
  CHECK(answer.status != kNotRun);
  CHECK(answer.isComplete);
  CHECK(Stopped().process->Wait() == 0);
}

TEST_CASE_FIXTURE(PlannedStopFixture,
                  "[PlannedStop] a request whose body arrives over the grace "
                  "period is refused as not run")
{
  const RawSocket connection(Stopped().clientAddress);
  REQUIRE(connection.Send("POST /once/x HTTP/1.1\r\nHost: cell.example\r\n"
                          "Attempt-Id: trickle\r\nCredential: key-one\r\n"
                          "Deadline-Ms: 9000\r\nContent-Length: 1000\r\n\r\n"));
  StopGateway();
  auto answer =
    std::async(std::launch::async, [&] { return connection.ReadMessage(); });
  while (answer.wait_for(milliseconds(100)) != std::future_status::ready) {
    connection.Send("a");
  }
  CHECK(answer.get().starts_with("HTTP/1.1 503"));
  CHECK(cell.ExecutionsOf("trickle").empty());
  CHECK(Stopped().process->Wait() == 0);
}

TEST_CASE_FIXTURE(LateArrivalFixture,
                  "[PlannedStop] requests that arrive during the grace period "
                  "get whole answers or truthful refusals")
{
  SUBCASE("plain requests that may not be repeated")
  {
    SetFaults(cell.PlainServers(),
              [](CellFaults& aFaults) { aFaults.delayFactor = 20.0; });
    Play("/once/x");
  }
  SUBCASE("streams")
  {
    Play("/chat/x");
  }
  SUBCASE("requests with two stages")
  {
    SetFaults(cell.StageServers(),
              [](CellFaults& aFaults) { aFaults.delayFactor = 20.0; });
    Play("/staged/x");
  }
}

TEST_CASE_FIXTURE(LateArrivalFixture,
                  "[PlannedStop] no request is cut by a stop beside a change "
                  "of the configuration")
{
  auto changes = std::async(std::launch::async, [&] {
    for (int change = 0; change < 6; ++change) {
      std::this_thread::sleep_for(milliseconds(500));
      cell.Publish();
    }
  });
  Play("/staged/x");
  changes.get();
}

TEST_CASE_FIXTURE(PlannedStopFixture,
                  "[PlannedStop] pieces at a queue whose owner stops are "
                  "computed for the requests of other gateways")
{
  SetFaults(cell.StageServers(),
            [](CellFaults& aFaults) { aFaults.delayFactor = 6.0; });
  const auto sendMany = [&](std::size_t aGateway) {
    std::vector<std::future<bool>> responses;
    for (int request = 0; request < 6; ++request) {
      const CellRequest staged = Make("/staged/x");
      responses.push_back(std::async(std::launch::async, [&, staged, aGateway] {
        return IsServed(
          staged,
          CellClient(cell.Gateways()[aGateway].clientAddress).Send(staged));
      }));
    }
    return responses;
  };
  // One of the two owns the queue.
  for (const std::size_t stopped : { std::size_t{ 0 }, std::size_t{ 1 } }) {
    auto responses = sendMany(1 - stopped);
    std::this_thread::sleep_for(milliseconds(100));
    CellGateway& gateway = cell.Gateways()[stopped];
    gateway.process->Signal(SIGTERM);
    for (auto& response : responses) {
      CHECK(response.get());
    }
    CHECK(gateway.process->Wait() == 0);
    cell.StartGateway(gateway);
    REQUIRE(cell.WaitUntilReady(gateway));
  }
}

} // namespace gypsum::tests
