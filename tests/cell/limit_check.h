#pragma once

#include "core/time.h"

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

/** Most arrivals in a window, of those after a time. */
inline std::size_t MostArrivals(std::span<const Instant> aArrivals,
                                Instant aFrom)
{
  std::size_t most = 0;
  for (const Instant begin : aArrivals) {
    if (begin >= aFrom) {
      most = std::max(most,
                      static_cast<std::size_t>(
                        std::ranges::count_if(aArrivals, [&](Instant aArrival) {
                          return aArrival >= begin &&
                                 aArrival < begin + kLimitWindow;
                        })));
    }
  }
  return most;
}

} // namespace gypsum::tests
