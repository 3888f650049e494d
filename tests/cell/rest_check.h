#pragma once

#include "tests/cell/cell_replica.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <span>

namespace gypsum::tests {

/** The operators' rule: so many requests of a gateway may reach a server
 * between half a second after it asked for rest and the end of that rest. */
constexpr std::size_t kMostInRest = 2;
constexpr Duration kRestGrace = std::chrono::milliseconds(500);

/** Requests of the gateway that was asked which reached the server in a rest,
 * from the grace time on. */
inline std::size_t ArrivalsIn(const CellAskedRest& aRest,
                              std::span<const CellArrival> aArrivals)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aArrivals, [&](const CellArrival& aArrival) {
      return aArrival.gateway == aRest.gateway &&
             aArrival.incarnation == aRest.incarnation &&
             aArrival.at > aRest.at + kRestGrace &&
             aArrival.at < aRest.at + aRest.length;
    }));
}

/** The most such requests in one rest of a server. */
inline std::size_t MostInOneRest(const CellReplica& aServer)
{
  std::size_t most = 0;
  for (const CellAskedRest& rest : aServer.Rests()) {
    most = std::max(most, ArrivalsIn(rest, aServer.Arrivals()));
  }
  return most;
}

} // namespace gypsum::tests
