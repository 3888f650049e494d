#include "tests/cell/cell.h"
#include "tests/cell/crash_check.h"
#include "tests/cell/stream_check.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kGuiltyPart = "bad0";
constexpr milliseconds kGuiltyInterval{ 150 };
constexpr milliseconds kSoundInterval{ 60 };

/** Model replicas that a part of prompts crashes, and clients that send it. */
struct CrashingPromptFixture
{
  CrashingPromptFixture() { REQUIRE(cell.Start()); }

  void SetCrash(const CellCrash& aCrash)
  {
    cell.Run([&] {
      for (auto& replica : cell.ModelReplicas()) {
        replica->SetCrash(aCrash);
      }
    });
  }

  /** A request whose shared parts are given; its first part is common. */
  CellRequest Make(const std::string& aPath, const std::string& aParts)
  {
    const std::lock_guard lock(mutex);
    CellRequest request = cell.MakeStreamRequest(aPath);
    request.body = request.attemptId;
    request.prompt = "aa:60," + aParts + request.attemptId + ":40";
    return request;
  }

  CellResponse Send(const CellRequest& aRequest, std::size_t aGateway)
  {
    return CellClient(cell.Gateways()[aGateway].clientAddress).Send(aRequest);
  }

  std::vector<Instant> Crashes()
  {
    return cell.Run([&] { return CrashTimes(cell.ModelReplicas()); });
  }

  std::size_t LateSends()
  {
    return cell.Run([&] {
      return SendsAfterFifthCrash(
        cell.Executions(), CrashTimes(cell.ModelReplicas()), kGuiltyPart);
    });
  }

  /** Sends requests with these parts to each gateway, until `Stop`. */
  void StartClients(const std::string& aParts,
                    milliseconds aInterval,
                    bool aIsCounted)
  {
    for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
      clients.emplace_back([this, gateway, aParts, aInterval, aIsCounted] {
        while (!isOver) {
          const CellRequest request =
            Make(gateway == 0 ? "/long/x" : "/chat/x", aParts);
          const bool isServed =
            IsCompleteStream(Send(request, gateway).body, request.attemptId);
          sent += aIsCounted ? 1 : 0;
          served += aIsCounted && isServed ? 1 : 0;
          std::this_thread::sleep_for(aInterval);
        }
      });
    }
  }

  void Stop()
  {
    isOver = true;
    std::ranges::for_each(clients, &std::thread::join);
    clients.clear();
  }

  /** Kills a gateway and starts it again. */
  void RestartGateway(std::size_t aGateway)
  {
    CellGateway& gateway = cell.Gateways()[aGateway];
    gateway.process.reset();
    cell.StartGateway(gateway);
  }

  ~CrashingPromptFixture() { Stop(); }

  Cell cell{ CellSize{ 3, 6, 0, 0 } };
  std::mutex mutex;
  std::vector<std::thread> clients;
  std::atomic<bool> isOver = false;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
};

} // namespace

TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "[CrashingPrompt] a part that crashes servers reaches none "
                  "after the fifth crash")
{
  SUBCASE("before the first event")
  {
    SetCrash({ kGuiltyPart });
  }
  SUBCASE("after the first event")
  {
    SetCrash({ kGuiltyPart, 1 });
  }
  StartClients("bad0:20,", kGuiltyInterval, false);
  StartClients("cc:20,", kSoundInterval, true);
  std::this_thread::sleep_for(kGuiltyPartContact + seconds(6));
  Stop();
  CHECK(Crashes().size() > 0);
  CHECK(LateSends() <= kMaxLateSends);
  CHECK(served * 2 >= sent);
}

TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "[CrashingPrompt] a part that crashes servers is known to "
                  "gateways that restart one by one")
{
  SetCrash({ kGuiltyPart });
  StartClients("bad0:20,", kGuiltyInterval, false);
  REQUIRE(WaitUntil([&] { return Crashes().size() >= 3; }));
  std::this_thread::sleep_for(seconds(2));
  const std::size_t before = Crashes().size();
  for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
    RestartGateway(gateway);
    REQUIRE(cell.WaitUntilReady(cell.Gateways()[gateway]));
    std::this_thread::sleep_for(seconds(2));
  }
  Stop();
  // Until its first peer has told it, a new gateway sends as if nothing were.
  CHECK(Crashes().size() <= before + cell.Gateways().size());
  CHECK(LateSends() <= kMaxLateSends);
}

TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "[CrashingPrompt] after a restart of all gateways a part is "
                  "known again after few crashes")
{
  SetCrash({ kGuiltyPart });
  StartClients("bad0:20,", kGuiltyInterval, false);
  REQUIRE(WaitUntil([&] { return Crashes().size() >= 3; }));
  std::this_thread::sleep_for(seconds(1));
  for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
    RestartGateway(gateway);
  }
  const std::size_t before = Crashes().size();
  std::this_thread::sleep_for(kGuiltyPartContact + seconds(4));
  Stop();
  CHECK(Crashes().size() <= before + kCrashesUntilKnown);
}

TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "[CrashingPrompt] a connection that is reset while its "
                  "server serves others refuses no part")
{
  cell.Run([&] {
    for (auto& replica : cell.ModelReplicas()) {
      replica->Faults().loseResponse = 1.0;
    }
  });
  for (int round = 0; round < 12; ++round) {
    const CellResponse response = Send(Make("/chat/x", "cc:20,"), 0);
    CHECK(response.status == 502);
    std::this_thread::sleep_for(milliseconds(200));
  }
  cell.Run([&] {
    for (auto& replica : cell.ModelReplicas()) {
      replica->Faults() = {};
    }
  });
  const CellRequest request = Make("/chat/x", "cc:20,");
  CHECK(IsCompleteStream(Send(request, 1).body, request.attemptId));
}

TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "[CrashingPrompt] a refused request is reported as not "
                  "executed and names the part in the log")
{
  SetCrash({ kGuiltyPart });
  StartClients("bad0:20,", kGuiltyInterval, false);
  REQUIRE(WaitUntil([&] { return Crashes().size() >= 3; }));
  std::this_thread::sleep_for(seconds(1));
  Stop();
  const CellRequest request = Make("/chat/x", "bad0:20,");
  const CellResponse response = Send(request, 1);
  CHECK(response.status == 503);
  CHECK_FALSE(response.retryAfter.empty());
  CHECK(cell.ExecutionsOf(request.attemptId).empty());
  const auto isLogged = [&] {
    const std::string log = ReadFile(cell.Gateways()[1].logFile);
    const std::size_t line =
      log.find("event=request-refused id=" + request.attemptId);
    return line != std::string::npos &&
           log.find(" trait=bad0 ", line) < log.find('\n', line);
  };
  CHECK(WaitUntil(isLogged));
}

TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "[CrashingPrompt] servers that crash on no part leave rare "
                  "parts served")
{
  StartClients("cc:20,", kSoundInterval, false);
  for (int round = 0; round < 20; ++round) {
    cell.Run([&] {
      cell.ModelReplicas()[static_cast<std::size_t>(round) % 2]->Crash(
        milliseconds(300));
    });
    const CellRequest request =
      Make("/chat/x", "rare" + std::to_string(round % 4) + ":20,");
    const CellResponse response =
      Send(request, static_cast<std::size_t>(round) % 3);
    CHECK(response.status != 503);
    std::this_thread::sleep_for(milliseconds(200));
  }
}

} // namespace gypsum::tests
