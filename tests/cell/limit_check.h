#pragma once

#include "core/time.h"
#include "tests/cell/cell_replica.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <span>

namespace gypsum::tests {

/** Time in which gateways learn from each other, set by the operators. */
constexpr Duration kLimitContact = std::chrono::seconds(3);
/** The operators' rule: over this time a server may get one and a half times
 * what its limit allows, and some requests more. */
constexpr Duration kLimitWindow = std::chrono::seconds(4);

constexpr double MostWithin(double aLimit)
{
  return 1.5 * aLimit * std::chrono::duration<double>(kLimitWindow).count() +
         5.0;
}

/** Most arrivals in a window that lies between two times. */
inline std::size_t MostArrivals(std::span<const CellArrival> aArrivals,
                                Instant aFrom,
                                Instant aUntil = Instant::max())
{
  std::size_t most = 0;
  for (const CellArrival& first : aArrivals) {
    if (first.at < aFrom || first.at + kLimitWindow > aUntil) {
      continue;
    }
    most = std::max(most,
                    static_cast<std::size_t>(std::ranges::count_if(
                      aArrivals, [&](const CellArrival& aArrival) {
                        return aArrival.at >= first.at &&
                               aArrival.at < first.at + kLimitWindow;
                      })));
  }
  return most;
}

} // namespace gypsum::tests
