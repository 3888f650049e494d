#include "tests/cell/cell.h"
#include "tests/cell/stream_check.h"
#include "tests/support/raw_socket.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <future>
#include <set>
#include <string>
#include <thread>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

/** How responses are framed, and how they are broken off. */
struct CutSample
{
  BodyFraming framing = BodyFraming::Length;
  bool isReset = false;
};

constexpr std::array kCutSamples{
  CutSample{ BodyFraming::Length, false },
  CutSample{ BodyFraming::Length, true },
  CutSample{ BodyFraming::Chunks, false },
  CutSample{ BodyFraming::Chunks, true },
  CutSample{ BodyFraming::ConnectionEnd, false },
  CutSample{ BodyFraming::ConnectionEnd, true },
};

struct CellFixture
{
  CellFixture() { REQUIRE(cell.Start()); }

  CellResponse Send(const CellRequest& aRequest, std::size_t aGateway = 0)
  {
    return CellClient(cell.Gateways()[aGateway].clientAddress).Send(aRequest);
  }

  /** Changes the injected faults of a group of replicas. */
  template<typename Group, typename Change>
  void SetFaults(Group& aGroup, Change aChange)
  {
    cell.Run([&] {
      for (auto& replica : aGroup) {
        aChange(replica->Faults());
      }
    });
  }

  /** Two replicas of one software version and one of another. */
  void UseTwoVersions()
  {
    cell.Run([&] {
      cell.ModelReplicas()[2]->SetVersion("v2");
      cell.ModelReplicas()[2]->Register();
    });
    for (const CellGateway& gateway : cell.Gateways()) {
      REQUIRE(WaitUntil([&] {
        return cell.Get(gateway, "/dump").find("software v2") !=
               std::string::npos;
      }));
    }
  }

  /** Kills a gateway within a stream and starts it again; `brokenResponse` is
   * what the client got. */
  CellRequest BreakStreamByKill(int aRound)
  {
    SetFaults(cell.ModelReplicas(), [](CellFaults& aFaults) {
      aFaults = {};
      aFaults.delayFactor = 10.0;
    });
    CellRequest stream = cell.MakeStreamRequest("/long/x");
    stream.prompt = "aa" + std::to_string(aRound) + ":60,bb:40";
    auto running = std::async(std::launch::async, [&] { return Send(stream); });
    REQUIRE(
      WaitUntil([&] { return !cell.ExecutionsOf(stream.attemptId).empty(); }));
    std::this_thread::sleep_for(milliseconds(500));
    CellGateway& gateway = cell.Gateways()[0];
    gateway.process.reset();
    brokenResponse = running.get();
    cell.StartGateway(gateway);
    REQUIRE(cell.WaitUntilReady(gateway));
    SetFaults(cell.ModelReplicas(),
              [](CellFaults& aFaults) { aFaults.delayFactor = 1.0; });
    return stream;
  }

  /** Resumes a broken stream as its client does. */
  CellResponse Resume(const CellRequest& aFirst,
                      const CellResponse& aBegun,
                      std::size_t aGateway)
  {
    CellRequest resume = cell.MakeStreamRequest(aFirst.path);
    resume.prompt = aFirst.prompt;
    resume.headers = { { "Resumes", aFirst.attemptId },
                       { "Last-Event-Id", LastEventOf(aBegun.body) } };
    return Send(resume, aGateway);
  }

  /** Truncated streams are resumed or seen as aborted by their clients. */
  void CheckTruncatedStreams(BodyFraming aFraming)
  {
    SetFaults(cell.ModelReplicas(), [&](CellFaults& aFaults) {
      aFaults.framing = aFraming;
      aFaults.truncate = 1.0;
    });
    int aborted = 0;
    for (int round = 0; round < 10; ++round) {
      const CellRequest chat = cell.MakeStreamRequest("/chat/x");
      const CellResponse truncated = Send(chat);
      CAPTURE(truncated.status);
      // Broken off within its first event, nothing of it had reached the
      // client.
      const bool hasBegun = truncated.status == 200;
      CHECK((hasBegun || truncated.status == 502));
      CHECK(truncated.isComplete == !hasBegun);
      CHECK((truncated.body.find("id: 1\n") != std::string::npos) == hasBegun);
      CHECK(cell.ExecutionsOf(chat.attemptId).size() == 1);
      aborted += hasBegun ? 1 : 0;
    }
    CHECK(aborted > 0);
    SetFaults(cell.ModelReplicas(),
              [](CellFaults& aFaults) { aFaults.truncate = 0.5; });
    int resumed = 0;
    for (int round = 0; round < 30; ++round) {
      CellRequest stream = cell.MakeStreamRequest("/long/x");
      // Each request gets its own prompt prefix; with a common one, all would
      // go to one replica.
      stream.prompt = "aa" + std::to_string(round) + ":60,bb:40";
      const CellResponse response = Send(stream);
      const auto executions = cell.ExecutionsOf(stream.attemptId);
      CHECK(executions.size() <= 2);
      if (!response.isComplete || response.status != 200) {
        continue;
      }
      CHECK(IsCompleteStream(response.body, stream.attemptId));
      // A resumed response keeps the response header of its first replica.
      const bool isResumed = executions.back().isResumed;
      CHECK(response.replicaSeal.starts_with(
        isResumed ? executions.front().replica : executions.back().replica));
      resumed += isResumed ? 1 : 0;
    }
    CHECK(resumed > 0);
  }

  /** Breaks off responses of a group at each byte in turn; none of them may
   * reach the client as complete. */
  template<typename Group>
  void CheckCutsAtEachByte(Group& aGroup,
                           const std::string& aPath,
                           const CutSample& aSample)
  {
    const auto cuts = [&] {
      return cell.Run([&] {
        std::uint64_t sum = 0;
        for (const auto& replica : aGroup) {
          sum += replica->Cuts();
        }
        return sum;
      });
    };
    // The end of the connection is the regular end of such a response. Between
    // two events, nothing else tells that a stream was broken off.
    const bool hasRegularEnd =
      aSample.framing == BodyFraming::ConnectionEnd && !aSample.isReset;
    bool wasCut = true;
    for (std::size_t byte = 0; wasCut; ++byte) {
      const std::uint64_t cutsBefore = cuts();
      SetFaults(aGroup, [&](CellFaults& aFaults) {
        aFaults.delayFactor = 0.0;
        aFaults.framing = aSample.framing;
        aFaults.cut = CellCut{ byte, aSample.isReset };
      });
      const bool isStream = aPath == "/chat/x";
      const CellRequest request =
        isStream ? cell.MakeStreamRequest(aPath) : cell.MakePlainRequest(aPath);
      const CellResponse response = Send(request);
      wasCut = cuts() > cutsBefore;
      CAPTURE(NameOf(aSample.framing));
      CAPTURE(aSample.isReset);
      CAPTURE(byte);
      CAPTURE(response.body);
      if (!wasCut) {
        CHECK(response.isComplete);
      }
      if (!response.isComplete || response.status != 200) {
        continue;
      }
      const bool isWhole =
        isStream ? IsCompleteStream(response.body, request.attemptId)
                 : response.body == "result of " + request.attemptId;
      const bool isRegularEnd =
        hasRegularEnd && (!isStream || response.body.ends_with("\n\n"));
      CHECK((isWhole || isRegularEnd));
    }
  }

  Cell cell{ CellSize{} };
  CellResponse brokenResponse;
};

} // namespace

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] each kind of request gets its own complete "
                  "response")
{
  const CellRequest read = cell.MakePlainRequest("/read/a?b=c");
  const CellResponse readResponse = Send(read);
  CHECK(readResponse.status == 200);
  CHECK(readResponse.body == "result of " + read.attemptId);
  const auto executions = cell.ExecutionsOf(read.attemptId);
  REQUIRE(executions.size() == 1);
  CHECK(executions.front().path == "/read/a?b=c");
  CHECK(executions.front().customer == "customer-key-one");
  CHECK(executions.front().deadlineMs <= read.deadline.count());
  for (const char* const path : { "/chat/x", "/long/x" }) {
    const CellRequest stream = cell.MakeStreamRequest(path);
    const CellResponse response = Send(stream, 1);
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    CHECK(IsCompleteStream(response.body, stream.attemptId));
  }
  const CellRequest staged = cell.MakeStagedRequest();
  CHECK(IsCompleteStream(Send(staged).body, staged.attemptId));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a request with an unknown route or API key is "
                  "refused and not executed")
{
  const CellRequest unknown = cell.MakePlainRequest("/nowhere/x");
  CHECK(Send(unknown).status == 404);
  CellRequest unknownKey = cell.MakePlainRequest("/once/x");
  unknownKey.apiKey = "no-such-key";
  CHECK(Send(unknownKey).status == 401);
  CHECK(cell.ExecutionsOf(unknown.attemptId).empty());
  CHECK(cell.ExecutionsOf(unknownKey.attemptId).empty());
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] headers that only the system may set are not "
                  "forwarded")
{
  CellRequest request = cell.MakePlainRequest("/once/x");
  request.headers = { { "Tenant", "somebody-else" },
                      { "Expect-Replica", "plain-99" } };
  CHECK(Send(request).status == 200);
  CHECK(cell.ExecutionsOf(request.attemptId).front().customer ==
        "customer-key-one");
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a lost response gives an unknown outcome for a "
                  "non-idempotent request and a retry for an idempotent one")
{
  SetFaults(cell.PlainServers(),
            [](CellFaults& aFaults) { aFaults.loseResponse = 1.0; });
  const CellRequest once = cell.MakePlainRequest("/once/x");
  CHECK(Send(once).status == 502);
  CHECK(cell.ExecutionsOf(once.attemptId).size() == 1);
  cell.Run([&] { cell.PlainServers()[0]->Faults().loseResponse = 0.0; });
  for (int round = 0; round < 4; ++round) {
    const CellRequest read = cell.MakePlainRequest("/read/x");
    CHECK(Send(read).status == 200);
    CHECK(cell.ExecutionsOf(read.attemptId).size() <= 2);
  }
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a request that all replicas refuse is reported "
                  "as not executed, and was not")
{
  SetFaults(cell.PlainServers(),
            [](CellFaults& aFaults) { aFaults.refuse = 1.0; });
  const CellRequest once = cell.MakePlainRequest("/once/x");
  const CellResponse response = Send(once);
  CHECK(response.status == 503);
  CHECK_FALSE(response.retryAfter.empty());
  CHECK(cell.ExecutionsOf(once.attemptId).empty());
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a truncated stream resumes at another replica "
                  "if its route is resumable, else the client sees it "
                  "aborted")
{
  CheckTruncatedStreams(BodyFraming::Chunks);
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a truncated stream without length or chunks "
                  "resumes or is seen aborted as well")
{
  CheckTruncatedStreams(BodyFraming::ConnectionEnd);
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a stream that breaks off at any byte never "
                  "reaches its client as complete")
{
  for (const CutSample& sample : kCutSamples) {
    CheckCutsAtEachByte(cell.ModelReplicas(), "/chat/x", sample);
  }
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a plain response that breaks off at any byte "
                  "never reaches its client as complete")
{
  for (const CutSample& sample : kCutSamples) {
    CheckCutsAtEachByte(cell.PlainServers(), "/once/x", sample);
  }
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a broken stream resumes only at the software "
                  "version that began it")
{
  UseTwoVersions();
  SetFaults(cell.ModelReplicas(),
            [](CellFaults& aFaults) { aFaults.truncate = 0.5; });
  int resumed = 0;
  for (int round = 0; round < 60; ++round) {
    CellRequest stream = cell.MakeStreamRequest("/long/x");
    stream.prompt = "aa" + std::to_string(round) + ":60,bb:40";
    const CellResponse response = Send(stream);
    CAPTURE(response.body);
    CHECK(VersionsOf(response.body).size() <= 1);
    resumed += cell.ExecutionsOf(stream.attemptId).back().isResumed ? 1 : 0;
  }
  CHECK(resumed > 0);
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a stream that its client resumes at another "
                  "gateway goes on at the version that began it")
{
  UseTwoVersions();
  int wentOn = 0;
  for (int round = 0; round < 12; ++round) {
    const CellRequest first = BreakStreamByKill(round);
    const CellResponse begun = brokenResponse;
    // The replica that began the stream would be chosen for its cached prompt.
    const std::string replica =
      cell.ExecutionsOf(first.attemptId).back().replica;
    cell.Run([&] {
      for (const auto& one : cell.ModelReplicas()) {
        one->Faults().refuse = one->Id() == replica ? 1.0 : 0.0;
      }
    });
    const CellResponse rest = Resume(first, begun, 1);
    const std::set<std::string> versions = VersionsOf(begun.body);
    CAPTURE(begun.body);
    CAPTURE(rest.body);
    REQUIRE(versions.size() == 1);
    if (versions.contains("v1")) {
      CHECK(rest.isComplete);
      CHECK(VersionsOf(begun.body + rest.body) == versions);
      ++wentOn;
    } else {
      CHECK(rest.status == 503);
    }
  }
  CHECK(wentOn > 0);
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a stream that its client resumes at a gateway "
                  "that has just started goes on")
{
  UseTwoVersions();
  CellGateway& gateway = cell.Gateways()[0];
  const CellGateway& peer = cell.Gateways()[1];
  const auto setTruncate = [&](double aChance) {
    SetFaults(cell.ModelReplicas(),
              [&](CellFaults& aFaults) { aFaults.truncate = aChance; });
  };
  // Streams of v1 only: there, a second replica can go on.
  cell.Run([&] { cell.ModelReplicas()[2]->Faults().refuse = 1.0; });
  CHECK(WaitUntil([&] {
    setTruncate(1.0);
    const CellRequest first = cell.MakeStreamRequest("/long/x");
    const CellResponse begun = Send(first, 1);
    setTruncate(0.0);
    if (LastEventOf(begun.body).empty()) {
      return false;
    }
    // The peer is paused until the request has arrived, so that the gateway
    // doesn't know it yet.
    peer.process->Signal(SIGSTOP);
    gateway.process.reset();
    cell.StartGateway(gateway);
    const bool isReady = cell.WaitUntilReady(gateway);
    auto running =
      std::async(std::launch::async, [&] { return Resume(first, begun, 0); });
    std::this_thread::sleep_for(milliseconds(100));
    peer.process->Signal(SIGCONT);
    const CellResponse rest = running.get();
    return isReady && rest.isComplete && rest.status == 200 &&
           VersionsOf(begun.body + rest.body) == std::set<std::string>{ "v1" };
  }));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a stream that nobody remembers is refused while "
                  "two versions serve, and is not executed")
{
  UseTwoVersions();
  CellRequest resume = cell.MakeStreamRequest("/long/x");
  resume.headers = { { "Resumes", "0123456789abcdef" },
                     { "Last-Event-Id", "3" } };
  CHECK(Send(resume).status == 503);
  CHECK(cell.ExecutionsOf(resume.attemptId).empty());
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a stream that nobody remembers goes on once a "
                  "single version has served since it can have begun")
{
  CHECK(WaitUntil([&] {
    CellRequest resume = cell.MakeStreamRequest("/long/x");
    resume.headers = { { "Last-Event-Id", "3" } };
    const CellResponse response = Send(resume);
    return response.isComplete && response.status == 200 &&
           LastEventOf(response.body) == "8";
  }));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a killed gateway resets a stream whose end only "
                  "the connection marks")
{
  SetFaults(cell.ModelReplicas(),
            [](CellFaults& aFaults) { aFaults.delayFactor = 30.0; });
  const CellRequest stream = cell.MakeStreamRequest("/chat/x");
  CellGateway& gateway = cell.Gateways()[0];
  RawSocket client(gateway.clientAddress);
  client.Send("POST /chat/x HTTP/1.0\r\nHost: cell.example\r\nAttempt-Id: " +
              stream.attemptId + "\r\nCredential: " + stream.apiKey +
              "\r\nModel: m\r\nToken-Counts: 100,40\r\nPrompt-Prefix: " +
              stream.prompt + "\r\nContent-Length: 0\r\n\r\n");
  CHECK(client.ReadUntil("id: 1\n").ends_with("id: 1\n"));
  gateway.process.reset();
  CHECK(client.EndsWithReset());
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] an extra response of a server never reaches "
                  "another request")
{
  SetFaults(cell.PlainServers(),
            [](CellFaults& aFaults) { aFaults.sendExtraResponse = 1.0; });
  CellClient client(cell.Gateways()[0].clientAddress);
  for (int round = 0; round < 20; ++round) {
    const CellRequest request =
      cell.MakePlainRequest(round % 2 == 0 ? "/once/x" : "/read/x");
    const CellResponse response = client.Send(request);
    if (response.status == 200) {
      CHECK(response.body == "result of " + request.attemptId);
    }
  }
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a published version with a new route and key is "
                  "active within 2 s")
{
  cell.configuration.hasLateRoute = true;
  cell.configuration.apiKeys.emplace_back("key-three");
  cell.configuration.apiKeys.erase(cell.configuration.apiKeys.begin());
  cell.Publish();
  for (std::size_t gateway = 0; gateway < 2; ++gateway) {
    CHECK(WaitUntil(
      [&] {
        return Send(cell.MakePlainRequest("/late/x"), gateway).status == 200;
      },
      milliseconds(2'000)));
    CellRequest revoked = cell.MakePlainRequest("/late/x");
    revoked.apiKey = "key-one";
    CHECK(Send(revoked, gateway).status == 401);
  }
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a draining server gets no requests within 2 s "
                  "of its notice")
{
  cell.Run([&] { cell.PlainServers()[0]->Drain(); });
  const auto isDrained = [&] {
    for (int round = 0; round < 6; ++round) {
      const CellRequest request = cell.MakePlainRequest("/once/x");
      Send(request, static_cast<std::size_t>(round % 2));
      const auto executions = cell.ExecutionsOf(request.attemptId);
      if (executions.size() != 1 || executions.front().replica != "plain-1") {
        return false;
      }
    }
    return true;
  };
  CHECK(WaitUntil(isDrained, milliseconds(2'000)));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] an unavailable store does not stop requests "
                  "from being served")
{
  for (const StoreMode mode :
       { StoreMode::Unavailable, StoreMode::Unresponsive, StoreMode::Reset }) {
    cell.Run([&] { cell.Store().SetMode(mode); });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(Send(cell.MakePlainRequest("/read/x")).status == 200);
  }
  cell.Run([&] { cell.Store().SetMode(StoreMode::Up); });
  cell.configuration.hasLateRoute = true;
  cell.Publish();
  CHECK(WaitUntil(
    [&] { return Send(cell.MakePlainRequest("/late/x")).status == 200; }));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a compacted store history makes the gateway "
                  "list again")
{
  cell.configuration.hasLateRoute = true;
  cell.Publish();
  cell.Run([&] {
    cell.PlainServers()[1]->Unregister();
    cell.Store().CompactHistory();
  });
  CHECK(WaitUntil(
    [&] { return Send(cell.MakePlainRequest("/late/x")).status == 200; }));
  CHECK(WaitUntil([&] {
    const CellRequest request = cell.MakePlainRequest("/once/x");
    Send(request);
    const auto executions = cell.ExecutionsOf(request.attemptId);
    return executions.size() == 1 && executions.front().replica == "plain-0";
  }));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a gateway that cannot read the store gets the "
                  "configuration from its peer")
{
  // The peer has read the store; this gateway starts while the store
  // responds 503.
  CellGateway& gateway = cell.Gateways()[1];
  gateway.process.reset();
  cell.Run([&] { cell.Store().SetMode(StoreMode::Unavailable); });
  cell.StartGateway(gateway);
  CHECK(cell.WaitUntilReady(gateway));
  CHECK(WaitUntil(
    [&] { return Send(cell.MakePlainRequest("/read/x"), 1).status == 200; }));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a stopping gateway finishes its requests and "
                  "closes idle connections after a response")
{
  CellGateway& gateway = cell.Gateways()[0];
  CellClient idleClient(gateway.clientAddress);
  REQUIRE(idleClient.Send(cell.MakePlainRequest("/read/x")).status == 200);
  const CellRequest stream = cell.MakeStreamRequest("/chat/x");
  auto running = std::async(std::launch::async, [&] { return Send(stream); });
  REQUIRE(
    WaitUntil([&] { return !cell.ExecutionsOf(stream.attemptId).empty(); }));
  gateway.process->Signal(SIGTERM);
  CHECK(WaitUntil([&] { return !cell.IsReady(gateway); }));
  const CellResponse last = idleClient.Send(cell.MakePlainRequest("/read/x"));
  CHECK(last.status == 200);
  CHECK(last.closesConnection);
  CHECK(running.get().isComplete);
  CHECK(gateway.process->Wait() == 0);
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a client that disconnects cancels its request")
{
  SetFaults(cell.PlainServers(),
            [](CellFaults& aFaults) { aFaults.hang = 1.0; });
  const CellRequest request = cell.MakePlainRequest("/read/x");
  CellClient(cell.Gateways()[0].clientAddress)
    .SendAndDisconnect(request, milliseconds(200));
  CHECK(WaitUntil([&] {
    return ReadFile(cell.Gateways()[0].logFile).find("client-left") !=
           std::string::npos;
  }));
  CHECK(cell.ExecutionsOf(request.attemptId).size() == 1);
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] stages of requests through both gateways "
                  "complete and release all results")
{
  std::vector<std::future<bool>> responses;
  for (int request = 0; request < 24; ++request) {
    const CellRequest staged = cell.MakeStagedRequest();
    responses.push_back(std::async(std::launch::async, [this, staged, request] {
      return IsCompleteStream(
        Send(staged, static_cast<std::size_t>(request % 2)).body,
        staged.attemptId);
    }));
  }
  for (auto& response : responses) {
    CHECK(response.get());
  }
  const auto unreleasedResults = [&] {
    return cell.Run([&] {
      std::size_t results = 0;
      for (const auto& server : cell.StageServers()) {
        results += server->Results();
      }
      return results;
    });
  };
  // Results that no request needs any more are released.
  CHECK(WaitUntil([&] { return unreleasedResults() == 0; }));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] pieces are computed after the owner of their "
                  "queue was killed")
{
  auto load = std::async(std::launch::async, [&] {
    int completeStreams = 0;
    for (int round = 0; round < 20; ++round) {
      const CellRequest staged = cell.MakeStagedRequest();
      completeStreams +=
        IsCompleteStream(Send(staged, 0).body, staged.attemptId) ? 1 : 0;
    }
    return completeStreams;
  });
  std::this_thread::sleep_for(milliseconds(400));
  cell.Gateways()[1].process.reset();
  CHECK(load.get() == 20);
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] metrics and state are served, and logs name the "
                  "cause of a refusal")
{
  const CellRequest request = cell.MakePlainRequest("/nowhere/x");
  Send(request);
  Send(cell.MakePlainRequest("/read/x"));
  CHECK(
    cell.Get(cell.Gateways()[0], "/metrics").find("gypsum_answer_seconds") !=
    std::string::npos);
  CHECK(WaitUntil([&] {
    return cell.Get(cell.Gateways()[0], "/metrics").find("gypsum_peers 1") !=
           std::string::npos;
  }));
  CHECK(cell.Get(cell.Gateways()[0], "/dump").find("backend model-0") !=
        std::string::npos);
  CHECK(WaitUntil([&] {
    const std::string log = ReadFile(cell.Gateways()[0].logFile);
    return log.find("event=request-refused id=" + request.attemptId +
                    " outcome=unknown-path") != std::string::npos;
  }));
}

TEST_CASE_FIXTURE(CellFixture,
                  "[Gateway] a server whose responses have no end is avoided, "
                  "and others serve")
{
  cell.Run([&] { cell.ModelReplicas()[0]->Faults().isEndless = true; });
  constexpr int kRequests = 90;
  int served = 0;
  int atEndless = 0;
  for (int round = 0; round < kRequests; ++round) {
    CellRequest request = cell.MakeStreamRequest("/chat/x");
    request.prompt = "aa" + std::to_string(round) + ":60,bb:40";
    const CellResponse response =
      Send(request, static_cast<std::size_t>(round) % 2);
    served += IsCompleteStream(response.body, request.attemptId) ? 1 : 0;
    for (const auto& execution : cell.ExecutionsOf(request.attemptId)) {
      atEndless += execution.replica == "model-0" ? 1 : 0;
    }
  }
  CHECK(atEndless > 0);
  CHECK(atEndless * 6 <= kRequests);
  CHECK(served + atEndless >= kRequests);
}

} // namespace gypsum::tests
