#pragma once

#include "tests/cell/cell_replica.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace gypsum::tests {

/** Time in which gateways learn from each other, set by the operators. */
constexpr Duration kGuiltyPartContact = std::chrono::seconds(3);
/** Crashes after which a part must be known, and later sends allowed. */
constexpr std::size_t kCrashesUntilKnown = 5;
/** The same for a request as a whole. */
constexpr std::size_t kRequestCrashesUntilKnown = 3;
constexpr std::size_t kMaxLateSends = 3;

/** Times of the crashes of all replicas, in order. */
inline std::vector<Instant> CrashTimes(
  std::span<const std::unique_ptr<CellReplica>> aReplicas)
{
  std::vector<Instant> times;
  for (const auto& replica : aReplicas) {
    times.insert(
      times.end(), replica->Crashes().begin(), replica->Crashes().end());
  }
  std::ranges::sort(times);
  return times;
}

/** Number of the chosen executions that were due not to be sent: later than
 * `kGuiltyPartContact` after this many crashes. */
template<typename Choice>
std::size_t SendsAfterCrash(std::span<const CellExecution> aExecutions,
                            std::span<const Instant> aCrashes,
                            std::size_t aUntilKnown,
                            Choice aIsChosen)
{
  if (aCrashes.size() < aUntilKnown) {
    return 0;
  }
  const Instant due = aCrashes[aUntilKnown - 1] + kGuiltyPartContact;
  return static_cast<std::size_t>(
    std::ranges::count_if(aExecutions, [&](const CellExecution& aExecution) {
      return aExecution.arrivedAt > due && aIsChosen(aExecution);
    }));
}

/** Number of requests with a part that reached replicas although it was due to
 * be known. */
inline std::size_t SendsAfterFifthCrash(
  std::span<const CellExecution> aExecutions,
  std::span<const Instant> aCrashes,
  const std::string& aPart)
{
  return SendsAfterCrash(aExecutions,
                         aCrashes,
                         kCrashesUntilKnown,
                         [&](const CellExecution& aExecution) {
                           return HasSharedPart(aExecution.prompt, aPart);
                         });
}

} // namespace gypsum::tests
