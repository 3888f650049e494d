#include "drivers/clock.h"
#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Set by the operators of the small deployments, which is the shorter one. */
constexpr Duration kApplyBound = milliseconds(2'000);
/** Until a gateway that never learns of a change counts as such. */
constexpr Duration kGiveUpTime = seconds(8);
constexpr milliseconds kPollInterval{ 100 };
/** A gateway that follows the store calls at least this often. */
constexpr Duration kReaderCallInterval = milliseconds(2'500);
constexpr milliseconds kSettleTime{ 1'000 };
constexpr int kRounds = 2;

/** What happens to the gateways that follow the store, right before a change.
 */
enum class Loss
{
  None,
  Stopped,
  Killed,
  NoAnswer,            ///< Their calls to the store get none.
  Unavailable,         ///< Their calls get 503.
  ConfigurationSilent, ///< Only calls for the configuration get no answer.
  ServersSilent,       ///< Only calls for the servers get no answer.
};

/** A fleet that loses all its readers of the store beside a change. */
class ReaderLoss
{
public:
  ReaderLoss(int aGateways, Loss aLoss, StoreContent aContent)
    : cell_({ aGateways, 1, 2, 1 })
    , loss_(aLoss)
    , content_(aContent)
  {
    REQUIRE(cell_.Start());
  }

  /** Time from one change to the last undisturbed gateway that knows it. */
  Duration SlowestAfterChange()
  {
    // Gateways that have just started all read, until they know each other.
    std::set<std::size_t> readers;
    REQUIRE(WaitUntil([&] {
      std::this_thread::sleep_for(kSettleTime);
      readers = Readers();
      return !readers.empty() && readers.size() < cell_.Gateways().size();
    }));
    Strike(readers);
    const Instant changedAt = Change();
    std::vector<Duration> times(cell_.Gateways().size());
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < times.size(); ++index) {
      if (loss_ == Loss::None || !readers.contains(index)) {
        clients.emplace_back([this, index, changedAt, &times] {
          times[index] = TimeUntilKnown(cell_.Gateways()[index], changedAt);
        });
      }
    }
    std::ranges::for_each(clients, &std::thread::join);
    Heal(readers);
    std::vector<Duration> sorted;
    std::ranges::copy_if(times, std::back_inserter(sorted), [](Duration aTime) {
      return aTime > Duration{};
    });
    REQUIRE_FALSE(sorted.empty());
    std::ranges::sort(sorted);
    const auto inMs = [](Duration aTime) {
      return std::chrono::duration_cast<milliseconds>(aTime).count();
    };
    MESSAGE(readers.size() << " readers lost; known after "
                           << inMs(sorted[sorted.size() / 2])
                           << " ms in the median, " << inMs(sorted.back())
                           << " ms at the last of " << sorted.size());
    return sorted.back();
  }

private:
  std::set<std::size_t> Readers()
  {
    return cell_.Run([&] {
      std::set<std::size_t> readers;
      for (std::size_t index = 0; index < cell_.Gateways().size(); ++index) {
        const Instant calledAt =
          cell_.Store().LastCallAt(cell_.Gateways()[index].storeDoor, content_);
        if (Now().steady - calledAt < kReaderCallInterval) {
          readers.insert(index);
        }
      }
      return readers;
    });
  }

  void SetDoors(const std::set<std::size_t>& aReaders,
                StoreMode aConfiguration,
                StoreMode aServers)
  {
    cell_.Run([&] {
      for (const std::size_t reader : aReaders) {
        const std::size_t door = cell_.Gateways()[reader].storeDoor;
        cell_.Store().SetDoorMode(
          door, StoreContent::Configuration, aConfiguration);
        cell_.Store().SetDoorMode(door, StoreContent::Servers, aServers);
      }
    });
  }

  void Strike(const std::set<std::size_t>& aReaders)
  {
    switch (loss_) {
      case Loss::None:
        break;
      case Loss::Stopped:
        for (const std::size_t reader : aReaders) {
          cell_.Gateways()[reader].process->Signal(SIGSTOP);
        }
        break;
      case Loss::Killed:
        for (const std::size_t reader : aReaders) {
          cell_.Gateways()[reader].process.reset();
        }
        break;
      case Loss::NoAnswer:
        SetDoors(aReaders, StoreMode::Unresponsive, StoreMode::Unresponsive);
        break;
      case Loss::Unavailable:
        SetDoors(aReaders, StoreMode::Unavailable, StoreMode::Unavailable);
        break;
      case Loss::ConfigurationSilent:
        SetDoors(aReaders, StoreMode::Unresponsive, StoreMode::Up);
        break;
      case Loss::ServersSilent:
        SetDoors(aReaders, StoreMode::Up, StoreMode::Unresponsive);
        break;
    }
  }

  void Heal(const std::set<std::size_t>& aReaders)
  {
    SetDoors(aReaders, StoreMode::Up, StoreMode::Up);
    for (const std::size_t reader : aReaders) {
      CellGateway& gateway = cell_.Gateways()[reader];
      if (!gateway.process) {
        cell_.StartGateway(gateway);
      }
      gateway.process->Signal(SIGCONT);
      CHECK(cell_.WaitUntilReady(gateway));
    }
  }

  Instant Change()
  {
    ++round_;
    if (content_ == StoreContent::Configuration) {
      cell_.configuration.extraRoutes.push_back(AddedRoute());
      cell_.Publish();
    } else {
      cell_.Run([&] {
        CellReplica& server = *cell_.PlainServers().back();
        round_ % 2 == 1 ? server.Drain() : server.Register();
      });
    }
    return Now().steady;
  }

  std::string AddedRoute() const
  {
    return "/added-" + std::to_string(round_) + "/";
  }

  bool Knows(const CellGateway& aGateway, CellClient& aClient)
  {
    if (content_ == StoreContent::Servers) {
      const std::string dump = cell_.Get(aGateway, "/dump");
      const bool isDraining = dump.find(", draining") != std::string::npos;
      return !dump.empty() && isDraining == (round_ % 2 == 1);
    }
    CellRequest request = cell_.MakePlainRequest("/read/x");
    request.path = AddedRoute() + "x";
    return aClient.Send(request).status == 200;
  }

  Duration TimeUntilKnown(const CellGateway& aGateway, Instant aChangedAt)
  {
    CellClient client(aGateway.clientAddress);
    while (Now().steady - aChangedAt < kGiveUpTime) {
      const Instant askedAt = Now().steady;
      if (Knows(aGateway, client)) {
        return std::max(Duration(1), askedAt - aChangedAt);
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return kGiveUpTime;
  }

  Cell cell_;
  Loss loss_;
  StoreContent content_;
  int round_ = 0;
};

void CheckReaderLoss(int aGateways, Loss aLoss, StoreContent aContent)
{
  ReaderLoss fleet(aGateways, aLoss, aContent);
  for (int round = 0; round < kRounds; ++round) {
    CHECK(fleet.SlowestAfterChange() <= kApplyBound);
  }
}

} // namespace

TEST_CASE("[ReaderLoss] a route is served in time by gateways whose "
          "readers of the store are lost")
{
  constexpr auto kContent = StoreContent::Configuration;
  SUBCASE("12, undisturbed")
  {
    CheckReaderLoss(12, Loss::None, kContent);
  }
  SUBCASE("12, stopped")
  {
    CheckReaderLoss(12, Loss::Stopped, kContent);
  }
  SUBCASE("12, killed")
  {
    CheckReaderLoss(12, Loss::Killed, kContent);
  }
  SUBCASE("12, no answer")
  {
    CheckReaderLoss(12, Loss::NoAnswer, kContent);
  }
  SUBCASE("12, unavailable")
  {
    CheckReaderLoss(12, Loss::Unavailable, kContent);
  }
  SUBCASE("12, the configuration alone")
  {
    CheckReaderLoss(12, Loss::ConfigurationSilent, kContent);
  }
  SUBCASE("48, stopped")
  {
    CheckReaderLoss(48, Loss::Stopped, kContent);
  }
  SUBCASE("48, killed")
  {
    CheckReaderLoss(48, Loss::Killed, kContent);
  }
}

TEST_CASE("[ReaderLoss] a server that drains is known in time by gateways "
          "whose readers of the store are lost")
{
  constexpr auto kContent = StoreContent::Servers;
  SUBCASE("12, undisturbed")
  {
    CheckReaderLoss(12, Loss::None, kContent);
  }
  SUBCASE("12, no answer")
  {
    CheckReaderLoss(12, Loss::NoAnswer, kContent);
  }
  SUBCASE("12, the servers alone")
  {
    CheckReaderLoss(12, Loss::ServersSilent, kContent);
  }
  SUBCASE("48, stopped")
  {
    CheckReaderLoss(48, Loss::Stopped, kContent);
  }
  SUBCASE("48, killed")
  {
    CheckReaderLoss(48, Loss::Killed, kContent);
  }
}

TEST_CASE("[ReaderLoss] a gateway that has lost touch does not refuse an added "
          "route as unknown")
{
  Cell cell({ 2, 1, 1, 1 });
  const CellGateway& gateway = cell.Gateways().back();
  cell.Isolate(gateway);
  REQUIRE(cell.Start());
  CellClient client(gateway.clientAddress);
  CellRequest added = cell.MakePlainRequest("/read/x");
  added.path = "/added/x";
  REQUIRE(WaitUntil([&] { return client.Send(added).status == 404; }));
  const auto setDoor = [&](StoreMode aMode) {
    cell.Run([&] {
      cell.Store().SetDoorMode(
        gateway.storeDoor, StoreContent::Configuration, aMode);
    });
  };
  setDoor(StoreMode::Unresponsive);
  cell.configuration.extraRoutes.emplace_back("/added/");
  cell.Publish();
  CHECK(WaitUntil([&] { return client.Send(added).status == 503; }));
  CHECK(client.Send(cell.MakePlainRequest("/read/x")).status == 200);
  CellRequest unknownKey = cell.MakePlainRequest("/read/x");
  unknownKey.apiKey = "no-such-key";
  CHECK(client.Send(unknownKey).status == 503);
  setDoor(StoreMode::Up);
  CHECK(WaitUntil([&] { return client.Send(added).status == 200; }));
  CHECK(client.Send(unknownKey).status == 401);
}

} // namespace gypsum::tests
