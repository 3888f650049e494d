#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace gypsum {

/** Time between two rounds of status messages. */
inline constexpr Duration kStatusInterval = std::chrono::milliseconds(250);
/** Number of peers per round, in addition to the owners of queues. */
inline constexpr std::size_t kPeersPerRound = 8;
/** Silence after which a peer counts as down in a fleet of up to
 * `kPeersPerRound` gateways. */
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(900);

/** Silence after which one of so many peers counts as down. */
constexpr Duration SilenceTimeout(std::size_t aPeers)
{
  // Each peer sends to `kPeersPerRound` others per round, so its messages
  // arrive less often in a larger fleet.
  const auto rounds = static_cast<std::int64_t>(1 + aPeers / kPeersPerRound);
  return kPeerTimeout + kStatusInterval * 4 * (rounds - 1);
}

} // namespace gypsum
