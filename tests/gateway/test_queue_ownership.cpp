#include "core/gateway/queue_ownership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gypsum::tests {

namespace {

constexpr std::uint64_t kKeys = 200;

/** A fleet in which every tenth machine is a large one. */
std::vector<OwnerCandidate> Fleet(std::size_t aSize)
{
  std::vector<OwnerCandidate> fleet;
  for (std::size_t index = 0; index < aSize; ++index) {
    fleet.push_back({ "10.0." + std::to_string(index / 200) + "." +
                        std::to_string(index % 200) + ":7740",
                      index % 10 == 0 ? 0.5 : 0.09 });
  }
  return fleet;
}

std::vector<OwnerCandidate> Without(std::vector<OwnerCandidate> aFleet,
                                    const std::string& aAddress)
{
  std::erase_if(aFleet, [&](const OwnerCandidate& aCandidate) {
    return aCandidate.address == aAddress;
  });
  return aFleet;
}

} // namespace

TEST_CASE("[QueueOwnership] all gateways choose the same owner and the same "
          "next one in a fleet of any size")
{
  for (const std::size_t size : { 5, 63, 300, 1'338 }) {
    CAPTURE(size);
    std::vector<OwnerCandidate> fleet = Fleet(size);
    std::mt19937_64 random(size);
    for (std::uint64_t key = 1; key <= 5; ++key) {
      // Each gateway knows the others in an order of its own.
      std::set<std::string> owners;
      std::set<std::string> nextOwners;
      for (int gateway = 0; gateway < 20; ++gateway) {
        std::ranges::shuffle(fleet, random);
        const std::string owner(ChooseOwner(key, fleet));
        owners.insert(owner);
        nextOwners.insert(std::string(ChooseOwner(key, Without(fleet, owner))));
      }
      CHECK(owners.size() == 1);
      CHECK(nextOwners.size() == 1);
      CHECK(owners != nextOwners);
    }
  }
}

TEST_CASE("[QueueOwnership] only the duties of a gateway that goes move")
{
  const auto fleet = Fleet(63);
  const std::string gone(ChooseOwner(1, fleet));
  const auto rest = Without(fleet, gone);
  for (std::uint64_t key = 1; key <= kKeys; ++key) {
    const auto before = ChooseOwner(key, fleet);
    CHECK((before == gone || ChooseOwner(key, rest) == before));
  }
}

TEST_CASE("[QueueOwnership] a small machine owns no duty while a large one "
          "lives, in a fleet of any size")
{
  for (const std::size_t size : { 5, 68, 300, 1'338 }) {
    CAPTURE(size);
    const auto fleet = Fleet(size);
    std::size_t atLarge = 0;
    for (std::uint64_t key = 1; key <= kKeys; ++key) {
      const auto owner = ChooseOwner(key, fleet);
      atLarge += std::ranges::count_if(fleet, [&](const auto& aCandidate) {
        return aCandidate.address == owner && aCandidate.processorShare == 0.5;
      });
    }
    CHECK(atLarge == kKeys);
  }
  CHECK(ChooseOwner(1, {}).empty());
}

TEST_CASE("[QueueOwnership] small machines own the duties of a fleet without "
          "large ones")
{
  std::vector<OwnerCandidate> fleet = Fleet(68);
  std::erase_if(fleet, [](const OwnerCandidate& aCandidate) {
    return aCandidate.processorShare == 0.5;
  });
  std::set<std::string_view> owners;
  for (std::uint64_t key = 1; key <= kKeys; ++key) {
    owners.insert(ChooseOwner(key, fleet));
  }
  CHECK(owners.size() > 20);
}

} // namespace gypsum::tests
