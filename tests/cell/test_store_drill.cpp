#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kUnconfirmed = 503;
/** All of them follow the store themselves, so that none lists it anew. */
constexpr int kFollowers = 4;
/** More than follow the store themselves. */
constexpr int kManyGateways = 6;
/** Bound for a change that follows an unstable store. */
constexpr milliseconds kApplyBound{ 7'000 };
constexpr milliseconds kAwayTime{ 1'500 };
constexpr milliseconds kWatchTime{ 1'000 };

/** A store that is away for a moment and comes back from a copy, in the next
 * era. */
struct StoreDrillFixture
{
  explicit StoreDrillFixture(int aGateways = kFollowers)
    : cell({ aGateways, 1, 2, 1 })
  {
    REQUIRE(cell.Start());
    // Gateways that have just started all follow the store.
    std::this_thread::sleep_for(kSettleTime);
    cell.Run([&] { cell.Store().KeepCopy(); });
  }

  /** The next version, in which a new key replaces the first one. Returns the
   * revoked key and the new one. */
  std::pair<std::string, std::string> ReplaceKey()
  {
    std::vector<std::string>& keys = cell.configuration.apiKeys;
    const std::string revoked = keys.front();
    keys.erase(keys.begin());
    const std::string added = "key-" + std::to_string(++lastKey);
    keys.push_back(added);
    cell.Publish();
    return { revoked, added };
  }

  /** Writes the newest version again, as the operator has it. */
  void Rewrite()
  {
    --cell.configuration.version;
    cell.Publish();
  }

  /** Lets gateways call the store again once others have written so much that
   * it has the revisions that they know. */
  void ReturnAt(std::uint64_t aRevision)
  {
    cell.Run([&] {
      while (cell.Store().Revision() < aRevision) {
        cell.Store().Put("other/key", "value");
      }
      cell.Store().SetMode(StoreMode::Up);
    });
  }

  unsigned StatusWith(const std::string& aKey, std::size_t aGateway)
  {
    CellRequest request = cell.MakePlainRequest("/once/x");
    request.apiKey = aKey;
    return CellClient(cell.Gateways()[aGateway].clientAddress)
      .Send(request)
      .status;
  }

  void CheckInForce(const std::string& aRevoked, const std::string& aAdded)
  {
    for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
      CAPTURE(gateway);
      CHECK(WaitUntil([&] { return StatusWith(aAdded, gateway) == 200; },
                      kApplyBound));
      // A refusal that may be outdated is none of the configuration.
      unsigned status = 0;
      CHECK(WaitUntil(
        [&] {
          status = StatusWith(aRevoked, gateway);
          return status != kUnconfirmed;
        },
        kApplyBound));
      CHECK(status == kUnauthorized);
    }
  }

  /** A drill in which the last version is lost and written again, and another
   * one follows it. */
  void Drill()
  {
    ReplaceKey();
    const auto [revokedBefore, addedBefore] = ReplaceKey();
    CheckInForce(revokedBefore, addedBefore);
    cell.Run([&] { cell.Store().SetMode(StoreMode::Reset); });
    std::this_thread::sleep_for(kAwayTime);
    const std::uint64_t lastRevision = cell.Run([&] {
      const std::uint64_t last = cell.Store().Revision();
      cell.Store().RestoreCopy();
      return last;
    });
    Rewrite();
    const auto [revoked, added] = ReplaceKey();
    ReturnAt(lastRevision);
    CheckInForce(revoked, added);
    cell.Run([&] { cell.Store().KeepCopy(); });
  }

  static constexpr milliseconds kSettleTime{ 2'000 };
  Cell cell;
  int lastKey = 0;
};

struct ManyGatewaysFixture : StoreDrillFixture
{
  ManyGatewaysFixture()
    : StoreDrillFixture(kManyGateways)
  {
  }
};

} // namespace

// Guards against changes that are missed for good: the copy gives out again the
// revisions after which the gateways watch.
TEST_CASE_FIXTURE(StoreDrillFixture,
                  "[StoreDrill] a version that gets the revision of a lost one "
                  "is in force at all gateways")
{
  Drill();
  Drill();
}

TEST_CASE_FIXTURE(ManyGatewaysFixture,
                  "[StoreDrill] gateways that do not follow the store get the "
                  "version from those that do")
{
  Drill();
  Drill();
}

TEST_CASE_FIXTURE(StoreDrillFixture,
                  "[StoreDrill] the older version in the copy does not come "
                  "into force again")
{
  const auto [revoked, added] = ReplaceKey();
  CheckInForce(revoked, added);
  cell.Run([&] { cell.Store().RestoreCopy(); });
  const auto end = std::chrono::steady_clock::now() + kWatchTime;
  while (std::chrono::steady_clock::now() < end) {
    for (std::size_t gateway = 0; gateway < cell.Gateways().size(); ++gateway) {
      CHECK(StatusWith(revoked, gateway) == kUnauthorized);
      CHECK(StatusWith(added, gateway) == 200);
    }
  }
}

} // namespace gypsum::tests
