#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/cell/crash_check.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kGuiltyBody = "{\"date\":\"crash\"}";
constexpr const char* kGuiltyPath = "/read/crash";
constexpr const char* kGuiltyKey = "guilty-key";
constexpr milliseconds kGuiltyInterval{ 500 };
constexpr milliseconds kSoundInterval{ 40 };

/** Servers that one request crashes, and clients that repeat it. */
struct CrashingRequestFixture
{
  using Group = std::vector<std::unique_ptr<CellReplica>>;

  CrashingRequestFixture() { REQUIRE(cell.Start()); }

  void SetCrash(Group& aGroup, const CellCrash& aCrash)
  {
    group = &aGroup;
    cell.Run([&] {
      for (auto& replica : aGroup) {
        replica->SetCrash(aCrash);
      }
    });
  }

  static CellCrash GuiltyRequest(const char* aBodyOrPath = kGuiltyBody)
  {
    CellCrash crash;
    crash.request = aBodyOrPath;
    return crash;
  }

  static CellCrash GuiltyPiece()
  {
    CellCrash crash;
    crash.pieceKey = kGuiltyKey;
    return crash;
  }

  CellRequest MakeGuilty(const std::string& aPath)
  {
    CellRequest request = MakeRequest(cell, aPath);
    request.body = kGuiltyBody;
    request.headers = { { "Piece-Key", kGuiltyKey } };
    return request;
  }

  /** The same request again and again, at all gateways. */
  void StartGuilty(const std::string& aPath)
  {
    guilty.Start([this, aPath] { return MakeGuilty(aPath); }, kGuiltyInterval);
  }

  void StartSound(const std::string& aPath)
  {
    sound.Start([this, aPath] { return MakeRequest(cell, aPath); },
                kSoundInterval);
  }

  void Stop()
  {
    guilty.Stop();
    sound.Stop();
  }

  std::size_t Crashes()
  {
    return cell.Run([&] { return CrashTimes(*group).size(); });
  }

  std::size_t LateSends()
  {
    return cell.Run([&] {
      return SendsAfterCrash(cell.Executions(),
                             CrashTimes(*group),
                             kRequestCrashesUntilKnown,
                             [](const CellExecution& aExecution) {
                               return aExecution.body == kGuiltyBody ||
                                      aExecution.path == kGuiltyPath;
                             });
    });
  }

  /** Nobody may be told that a request crashes servers. */
  bool IsAnyRefused()
  {
    bool isRefused = false;
    for (const CellGateway& gateway : cell.Gateways()) {
      const std::string log = ReadFile(gateway.logFile);
      isRefused = isRefused ||
                  log.find("outcome=crashing-") != std::string::npos ||
                  log.find("outcome=suspect-") != std::string::npos;
    }
    return isRefused;
  }

  Cell cell{ CellSize{ 5, 9, 9, 5 } };
  CellLoad guilty{ cell };
  CellLoad sound{ cell };
  Group* group = nullptr;
  int rareNumber = 0;
};

} // namespace

TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "[CrashingRequest] a request that crashes servers reaches "
                  "none after the third crash")
{
  SUBCASE("plain and repeatable")
  {
    SetCrash(cell.PlainServers(), GuiltyRequest(kGuiltyPath));
    StartGuilty(kGuiltyPath);
    StartSound("/read/x");
    StartSound("/once/x");
  }
  SUBCASE("plain and at most once")
  {
    SetCrash(cell.PlainServers(), GuiltyRequest());
    StartGuilty("/once/x");
    StartSound("/read/x");
    StartSound("/once/x");
  }
  SUBCASE("stream")
  {
    SetCrash(cell.ModelReplicas(), GuiltyRequest());
    StartGuilty("/long/x");
    StartSound("/long/x");
    StartSound("/chat/x");
  }
  REQUIRE(WaitUntil([&] { return Crashes() >= kRequestCrashesUntilKnown; }));
  std::this_thread::sleep_for(kGuiltyPartContact + seconds(3));
  sound.ResetCounts();
  std::this_thread::sleep_for(seconds(2));
  Stop();
  CHECK(LateSends() <= kMaxLateSends);
  CHECK(Crashes() <= 2 * kRequestCrashesUntilKnown);
  CHECK(sound.Sent() > 0);
  CHECK(sound.Served() * 20 >= sound.Sent() * 19);
}

TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "[CrashingRequest] a piece that crashes its servers takes "
                  "few of them and none of the requests beside it")
{
  SetCrash(cell.StageServers(), GuiltyPiece());
  StartGuilty("/staged/x");
  StartSound("/staged/x");
  REQUIRE(WaitUntil([&] { return Crashes() >= kRequestCrashesUntilKnown; }));
  std::this_thread::sleep_for(kGuiltyPartContact);
  const std::size_t before = Crashes();
  std::this_thread::sleep_for(seconds(3));
  sound.ResetCounts();
  std::this_thread::sleep_for(seconds(2));
  Stop();
  CHECK(Crashes() <= before + kMaxLateSends);
  CHECK(sound.Sent() > 0);
  CHECK(sound.Served() * 20 >= sound.Sent() * 19);
}

TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "[CrashingRequest] a request whose pieces crashed servers is "
                  "refused at its arrival and told when to come back")
{
  cell.Run([&] {
    // A verdict on one software version leaves a try to other versions.
    for (auto& replica : cell.ModelReplicas()) {
      replica->SetVersion("v2");
      replica->Register();
    }
  });
  SetCrash(cell.StageServers(), GuiltyPiece());
  StartGuilty("/staged/x");
  REQUIRE(WaitUntil([&] { return Crashes() >= kRequestCrashesUntilKnown; }));
  std::this_thread::sleep_for(kGuiltyPartContact);
  Stop();
  const CellRequest request = MakeGuilty("/staged/x");
  const CellResponse response = guilty.Send(request, 1);
  CHECK(response.status == 503);
  REQUIRE_FALSE(response.retryAfter.empty());
  CHECK(std::stod(response.retryAfter) >= 60.0);
  const CellGateway& gateway = cell.Gateways()[1];
  CHECK(WaitUntil([&] {
    return ReadFile(gateway.logFile)
             .find("event=request-refused id=" + request.attemptId +
                   " outcome=crashing-request") != std::string::npos;
  }));
  CHECK(ReadFile(gateway.logFile)
          .find("event=stage-ended id=" + request.attemptId) ==
        std::string::npos);
}

TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "[CrashingRequest] a request that crashes servers is known "
                  "to gateways that restart one by one")
{
  SetCrash(cell.PlainServers(), GuiltyRequest(kGuiltyPath));
  StartGuilty(kGuiltyPath);
  REQUIRE(WaitUntil([&] { return Crashes() >= kRequestCrashesUntilKnown; }));
  std::this_thread::sleep_for(seconds(2));
  const std::size_t before = Crashes();
  for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
    REQUIRE(guilty.RestartGateway(gateway));
    std::this_thread::sleep_for(seconds(1));
  }
  Stop();
  // Until its first peer has told it, a new gateway sends as if nothing were.
  CHECK(Crashes() <= before + cell.Gateways().size());
}

TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "[CrashingRequest] a request that crashes servers while the "
                  "store is away reaches none after the third crash")
{
  SetCrash(cell.PlainServers(), GuiltyRequest(kGuiltyPath));
  // Few servers, so that each crashes again under its former entry.
  cell.Run([&] {
    for (std::size_t index = 2; index < cell.PlainServers().size(); ++index) {
      cell.PlainServers()[index]->Unregister();
    }
  });
  std::this_thread::sleep_for(seconds(1));
  cell.Run([&] { cell.Store().SetMode(StoreMode::Unavailable); });
  StartGuilty(kGuiltyPath);
  REQUIRE(WaitUntil([&] { return Crashes() >= kRequestCrashesUntilKnown; }));
  std::this_thread::sleep_for(kGuiltyPartContact + seconds(4));
  Stop();
  CHECK(LateSends() <= kMaxLateSends);
  CHECK(Crashes() <= 2 * kRequestCrashesUntilKnown);
}

TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "[CrashingRequest] a request that crashed servers is refused "
                  "as not executed and named in the log")
{
  SetCrash(cell.PlainServers(), GuiltyRequest());
  StartGuilty("/once/x");
  REQUIRE(WaitUntil([&] { return Crashes() >= kRequestCrashesUntilKnown; }));
  std::this_thread::sleep_for(seconds(1));
  Stop();
  const CellRequest request = MakeGuilty("/once/x");
  const CellResponse response = guilty.Send(request, 1);
  CHECK(response.status == 503);
  CHECK_FALSE(response.retryAfter.empty());
  CHECK(response.endedAt - response.sentAt < request.deadline / 4);
  CHECK(cell.ExecutionsOf(request.attemptId).empty());
  CHECK(WaitUntil([&] {
    const std::string log = ReadFile(cell.Gateways()[1].logFile);
    const std::size_t line =
      log.find("event=request-refused id=" + request.attemptId);
    return line != std::string::npos &&
           log.find("=request:customer-key-one/", line) < log.find('\n', line);
  }));
  SUBCASE("the same request of another customer is served")
  {
    SetCrash(cell.PlainServers(), {});
    CellRequest other = MakeGuilty("/once/x");
    other.apiKey = "key-two";
    CHECK(guilty.Send(other, 1).status == 200);
  }
  SUBCASE("another body of the same customer is served")
  {
    SetCrash(cell.PlainServers(), {});
    CHECK(guilty.Send(MakeRequest(cell, "/once/x"), 1).status == 200);
  }
}

TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "[CrashingRequest] servers that crash again and again on no "
                  "request leave all requests served")
{
  Group* crashing = &cell.PlainServers();
  std::string rarePath = "/read/rare";
  SUBCASE("plain")
  {
    StartSound("/read/x");
    StartSound("/once/x");
  }
  SUBCASE("streams")
  {
    crashing = &cell.ModelReplicas();
    rarePath = "/long/rare";
    StartSound("/long/x");
    StartSound("/chat/x");
  }
  guilty.Start(
    [this, rarePath] {
      return MakeRequest(cell, rarePath + std::to_string(++rareNumber % 4));
    },
    kGuiltyInterval);
  for (int round = 0; round < 25; ++round) {
    cell.Run([&] {
      (*crashing)[static_cast<std::size_t>(round) % 2]->Crash(
        milliseconds(300));
    });
    std::this_thread::sleep_for(milliseconds(400));
  }
  Stop();
  CHECK_FALSE(IsAnyRefused());
  if (crashing == &cell.PlainServers()) {
    CHECK(sound.Served() * 50 >= sound.Sent() * 49);
    CHECK(guilty.Served() * 50 >= guilty.Sent() * 49);
  }
}

TEST_CASE_FIXTURE(CrashingRequestFixture,
                  "[CrashingRequest] a request that was cut by servers which "
                  "left as announced is served by the next one")
{
  const auto setHang = [&](double aChance) {
    cell.Run([&] {
      for (auto& server : cell.PlainServers()) {
        server->Faults().hang = aChance;
      }
    });
  };
  setHang(1.0);
  for (std::size_t round = 0; round < kRequestCrashesUntilKnown; ++round) {
    const CellRequest request = MakeRequest(cell, "/once/rare");
    CellResponse response;
    std::thread client([&] { response = sound.Send(request, round); });
    const bool hasBegun =
      WaitUntil([&] { return !cell.ExecutionsOf(request.attemptId).empty(); });
    if (hasBegun) {
      const std::string server =
        cell.ExecutionsOf(request.attemptId).front().replica;
      const auto leaving =
        std::ranges::find(cell.PlainServers(), server, [](const auto& aServer) {
          return aServer->Id();
        });
      cell.Run([&] { (*leaving)->Drain(); });
      std::this_thread::sleep_for(milliseconds(700));
      cell.Run([&] { (*leaving)->Crash(seconds(60)); });
    }
    client.join();
    CHECK(hasBegun);
    CHECK(response.status == 502);
  }
  setHang(0.0);
  CHECK(sound.Send(MakeRequest(cell, "/once/rare"), 0).status == 200);
  CHECK_FALSE(IsAnyRefused());
}

} // namespace gypsum::tests
