#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/cell/rest_check.h"
#include "tests/support/child_process.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInterval{ 20 };
constexpr seconds kPlayTime{ 6 };
constexpr const char* kGuiltyPart = "bad0";

/** Servers that ask gateways for rest, and clients at all gateways. */
struct ServerRestFixture
{
  using Group = std::vector<std::unique_ptr<CellReplica>>;

  ServerRestFixture() { REQUIRE(cell.Start()); }

  void StartClients(const std::string& aPath)
  {
    load.Start([this, aPath] { return MakeRequest(cell, aPath); }, kInterval);
  }

  /** Streams of which some have a part that crashes servers. */
  void StartGuiltyClients()
  {
    load.Start(
      [this] {
        CellRequest request = MakeRequest(cell, "/chat/x");
        if (++made % 10 == 0) {
          request.prompt = "aa:60," + std::string(kGuiltyPart) + ":20,bb:40";
        }
        return request;
      },
      kInterval);
  }

  /** The server asks for rest now and then. */
  void SetRest(CellReplica& aServer)
  {
    CellRest rest;
    rest.chance = 0.2;
    cell.Run([&] { aServer.SetRest(rest); });
  }

  /** All plain servers turn all gateways away once, and ask for this rest. */
  void RestAllPlain(const std::string& aText, milliseconds aLength)
  {
    CellRest rest;
    rest.text = aText;
    rest.length = aLength;
    cell.Run([&] {
      std::ranges::for_each(cell.PlainServers(),
                            [&](auto& aServer) { aServer->SetRest(rest); });
    });
    for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
      for (std::size_t sent = 0; sent < cell.PlainServers().size(); ++sent) {
        load.Send(MakeRequest(cell, "/once/x"), gateway);
      }
    }
    cell.Run([&] {
      std::ranges::for_each(cell.PlainServers(), [&](auto& aServer) {
        aServer->SetRest(std::nullopt);
      });
    });
  }

  /** Most requests of one gateway in one rest of any server. */
  std::size_t MostInRests()
  {
    return cell.Run([&] {
      std::size_t most = 0;
      for (const CellReplica* const server : cell.Replicas()) {
        most = std::max(most, MostInOneRest(*server));
      }
      return most;
    });
  }

  std::size_t RestsAsked()
  {
    return cell.Run([&] {
      std::size_t asked = 0;
      for (const CellReplica* const server : cell.Replicas()) {
        asked += server->Rests().size();
      }
      return asked;
    });
  }

  Cell cell{ CellSize{ 5, 6, 6, 3 } };
  CellLoad load{ cell };
  int made = 0;
};

} // namespace

TEST_CASE_FIXTURE(ServerRestFixture,
                  "[ServerRest] plain servers that ask for rest in turns get "
                  "nothing in it and their service goes on")
{
  Group& plain = cell.PlainServers();
  int leastServed = 0; // In percent.
  SUBCASE("the others are sound")
  {
    leastServed = 95;
  }
  SUBCASE("the others fail requests")
  {
    leastServed = 60;
    cell.Run([&] {
      std::ranges::for_each(
        plain, [](auto& aServer) { aServer->Faults().fail = 0.3; });
    });
  }
  StartClients("/read/x");
  StartClients("/once/x");
  CellRest rest;
  rest.text = "4";
  rest.length = seconds(4);
  for (std::size_t turn = 0; turn < 2; ++turn) {
    cell.Run([&] {
      plain[2 * turn]->SetRest(rest);
      plain[2 * turn + 1]->SetRest(rest);
    });
    std::this_thread::sleep_for(seconds(5));
    cell.Run([&] {
      std::ranges::for_each(
        plain, [](auto& aServer) { aServer->SetRest(std::nullopt); });
    });
  }
  load.Stop();
  CHECK(RestsAsked() > 0);
  CHECK(MostInRests() <= kMostInRest);
  CHECK(load.Served() * 100 >= load.Sent() * leastServed);
}

TEST_CASE_FIXTURE(ServerRestFixture,
                  "[ServerRest] a request waits for the end of a rest if it is "
                  "still in time then")
{
  RestAllPlain("0.8", milliseconds(800));
  const CellRequest request = MakeRequest(cell, "/once/x");
  const CellResponse response = load.Send(request, 4);
  CHECK(response.status == 200);
  CHECK(cell.ExecutionsOf(request.attemptId).size() == 1);
  CHECK(MostInRests() == 0);
}

TEST_CASE_FIXTURE(ServerRestFixture,
                  "[ServerRest] a request is refused at once if all servers "
                  "rest for too long")
{
  RestAllPlain("20", seconds(20));
  const CellRequest request = MakeRequest(cell, "/once/x");
  const CellResponse response = load.Send(request, 4);
  CHECK(response.status == 503);
  REQUIRE_FALSE(response.retryAfter.empty());
  CHECK(std::stod(response.retryAfter) > 15.0);
  CHECK(std::stod(response.retryAfter) < 22.0);
  CHECK(response.endedAt - response.sentAt < request.deadline / 4);
  CHECK(cell.ExecutionsOf(request.attemptId).empty());
  CHECK(MostInRests() == 0);
}

TEST_CASE_FIXTURE(ServerRestFixture,
                  "[ServerRest] a rest that is asked for of a request whose "
                  "client has left is kept")
{
  Group& plain = cell.PlainServers();
  CellRest rest;
  rest.delay = milliseconds(20);
  cell.Run([&] {
    std::for_each(plain.begin() + 1, plain.end(), [](auto& aServer) {
      aServer->Unregister();
    });
    plain.front()->SetRest(rest);
  });
  std::this_thread::sleep_for(seconds(1));
  CellClient(cell.Gateways()[4].clientAddress)
    .SendAndDisconnect(MakeRequest(cell, "/once/x"), milliseconds(10));
  std::this_thread::sleep_for(seconds(1));
  for (int sent = 0; sent < 6; ++sent) {
    load.Send(MakeRequest(cell, "/once/x"), 4);
  }
  CHECK(RestsAsked() == 1);
  CHECK(MostInRests() <= kMostInRest);
}

TEST_CASE_FIXTURE(ServerRestFixture,
                  "[ServerRest] misc/explain names the rests behind a refusal")
{
  RestAllPlain("20", seconds(20));
  const CellRequest request = MakeRequest(cell, "/once/x");
  REQUIRE(load.Send(request, 4).status == 503);
  const std::string output = cell.Folder() / "explained";
  std::vector<std::string> arguments{ request.attemptId };
  std::ranges::transform(
    cell.Gateways(), std::back_inserter(arguments), &CellGateway::logFile);
  CHECK(WaitUntil([&] {
    ChildProcess("misc/explain", arguments, output).Wait();
    const std::string text = ReadFile(output);
    return text.find("outcome=servers-resting") != std::string::npos &&
           text.find("event=backend-rest backend=plain-0 service=plain") !=
             std::string::npos &&
           text.find("node=gateway-0") == std::string::npos;
  }));
}

TEST_CASE_FIXTURE(ServerRestFixture,
                  "[ServerRest] results are released after the rest in which "
                  "their server turned the release away")
{
  StartClients("/staged/x");
  SetRest(*cell.StageServers()[0]);
  std::this_thread::sleep_for(seconds(4));
  load.Stop();
  cell.Run([&] { cell.StageServers()[0]->SetRest(std::nullopt); });
  CHECK(RestsAsked() > 0);
  CHECK(WaitUntil(
    [&] {
      return cell.Run([&] { return cell.StageServers()[0]->Results(); }) == 0;
    },
    seconds(6)));
}

TEST_CASE_FIXTURE(ServerRestFixture,
                  "[ServerRest] requests that wait for the end of a rest reach "
                  "the server in steps")
{
  // Four steps of 50 ms, and one that may end the time.
  constexpr milliseconds kFirstSteps{ 200 };
  constexpr std::ptrdiff_t kMostInFirstSteps = 5;
  constexpr std::size_t kWaiting = 24;
  Group& plain = cell.PlainServers();
  cell.Run([&] {
    std::for_each(plain.begin() + 1, plain.end(), [](auto& aServer) {
      aServer->Unregister();
    });
  });
  std::this_thread::sleep_for(seconds(1));
  RestAllPlain("0.6", milliseconds(600));
  std::vector<std::thread> clients;
  clients.reserve(kWaiting);
  for (std::size_t client = 0; client < kWaiting; ++client) {
    clients.emplace_back([this, request = MakeRequest(cell, "/once/x")] {
      load.Send(request, 4);
    });
  }
  std::ranges::for_each(clients, &std::thread::join);
  cell.Run([&] {
    const CellAskedRest rest = plain.front()->Rests().back();
    const Instant end = rest.at + rest.length;
    const auto arrivalsBy = [&](Instant aTime) {
      return std::ranges::count_if(
        plain.front()->Arrivals(), [&](const CellArrival& aArrival) {
          return aArrival.gateway == rest.gateway && aArrival.at > rest.at &&
                 aArrival.at < aTime;
        });
    };
    CHECK(arrivalsBy(end) == 0);
    CHECK(arrivalsBy(end + kFirstSteps) <= kMostInFirstSteps);
    CHECK(arrivalsBy(Instant::max()) > 0);
  });
}

TEST_CASE_FIXTURE(ServerRestFixture,
                  "[ServerRest] servers get nothing in their rests while other "
                  "conditions leave few to choose from")
{
  Group& models = cell.ModelReplicas();
  Group& plain = cell.PlainServers();
  SUBCASE("a broken stream goes on only at the version that began it")
  {
    // Of the two servers of a version one breaks off, so that the other is
    // left.
    cell.Run([&] {
      for (std::size_t index = 0; index < models.size(); ++index) {
        models[index]->SetVersion("v" + std::to_string(index / 2));
        models[index]->Register();
        models[index]->Faults().truncate = index % 2 == 0 ? 1.0 : 0.0;
      }
    });
    SetRest(*models[1]);
    SetRest(*models[3]);
    SetRest(*models[5]);
    StartClients("/long/x");
  }
  SUBCASE("a prompt part crashes servers")
  {
    CellCrash crash;
    crash.part = kGuiltyPart;
    cell.Run([&] {
      std::ranges::for_each(models,
                            [&](auto& aServer) { aServer->SetCrash(crash); });
    });
    std::ranges::for_each(models, [&](auto& aServer) { SetRest(*aServer); });
    StartGuiltyClients();
  }
  SUBCASE("servers name limits and rest as well")
  {
    cell.Run([&] {
      std::ranges::for_each(plain,
                            [](auto& aServer) { aServer->SetLimit("20"); });
    });
    SetRest(*plain[0]);
    SetRest(*plain[1]);
    StartClients("/read/x");
    StartClients("/once/x");
  }
  SUBCASE("all but two servers leave")
  {
    cell.Run([&] {
      std::for_each(plain.begin() + 2, plain.end(), [](auto& aServer) {
        aServer->SetLeaving(true);
      });
    });
    SetRest(*plain[0]);
    SetRest(*plain[1]);
    StartClients("/read/x");
    StartClients("/once/x");
  }
  SUBCASE("the owner of a queue calls for all gateways")
  {
    StartClients("/staged/x");
    SetRest(*cell.StageServers()[0]);
  }
  std::this_thread::sleep_for(kPlayTime);
  load.Stop();
  CHECK(RestsAsked() > 0);
  CHECK(MostInRests() <= kMostInRest);
  CHECK(load.Served() > 0);
}

} // namespace gypsum::tests
