#include "tests/cell/cell.h"
#include "tests/cell/crash_check.h"
#include "tests/cell/stream_check.h"

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

  Cell cell{ CellSize{ 3, 6, 0, 0 } };
  std::mutex mutex;
};

} // namespace

TEST_CASE_FIXTURE(CrashingPromptFixture,
                  "[CrashingPrompt] a part that crashes servers reaches none "
                  "after the fifth crash")
{
  SetCrash({ kGuiltyPart });
  std::atomic<bool> isOver = false;
  std::atomic<int> sound = 0;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
    clients.emplace_back([&, gateway] {
      while (!isOver) {
        Send(Make(gateway == 0 ? "/long/x" : "/chat/x", "bad0:20,"), gateway);
        std::this_thread::sleep_for(kGuiltyInterval);
      }
    });
    clients.emplace_back([&, gateway] {
      while (!isOver) {
        const CellRequest request = Make("/chat/x", "cc:20,");
        const bool isServed =
          IsCompleteStream(Send(request, gateway).body, request.attemptId);
        ++sound;
        served += isServed ? 1 : 0;
        std::this_thread::sleep_for(kSoundInterval);
      }
    });
  }
  std::this_thread::sleep_for(kGuiltyPartContact + seconds(6));
  isOver = true;
  std::ranges::for_each(clients, &std::thread::join);
  CHECK(Crashes().size() > 0);
  CHECK(LateSends() <= kMaxLateSends);
  CHECK(served * 2 >= sound);
}

} // namespace gypsum::tests
