#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/cell/rest_check.h"
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
