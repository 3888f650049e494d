#include "core/gateway/queue_ownership.h"

#include "core/gateway/fleet_discovery.h"
#include "core/hash.h"

#include <algorithm>

namespace gypsum {

namespace {

/** Of the largest share: a preference alone gives some duties to the smallest
 * machines, as they are many. */
constexpr double kMinShareOfLargest = 0.5;
/** Until then not all others know a gateway that joins a fleet. */
constexpr Duration kMinOwnerTime = std::chrono::milliseconds(600);

} // namespace

std::string_view ChooseOwner(std::uint64_t aKey,
                             std::span<const OwnerCandidate> aCandidates)
{
  if (aCandidates.empty()) {
    return {};
  }
  const Duration oldest =
    std::ranges::max(aCandidates, {}, &OwnerCandidate::settledFor).settledFor;
  const auto isNewcomer = [&](const OwnerCandidate& aCandidate) {
    return aCandidate.settledFor < kMinOwnerTime &&
           aCandidate.settledFor + FleetDiscovery::kStartSpread < oldest;
  };
  double largest = 0.0;
  for (const OwnerCandidate& candidate : aCandidates) {
    if (!isNewcomer(candidate)) {
      largest = std::max(largest, candidate.processorShare);
    }
  }
  std::string_view owner;
  double best = 0.0;
  for (const OwnerCandidate& candidate : aCandidates) {
    if (isNewcomer(candidate) ||
        candidate.processorShare < kMinShareOfLargest * largest) {
      continue;
    }
    const double score =
      WeightedScore(aKey, candidate.address, candidate.processorShare);
    if (owner.empty() || score > best) {
      best = score;
      owner = candidate.address;
    }
  }
  return owner;
}

} // namespace gypsum
