#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace gypsum {

/** Time between two rounds of status messages. */
inline constexpr Duration kStatusInterval = std::chrono::milliseconds(250);
/** Number of peers per round, in addition to the owners of queues. */
inline constexpr std::size_t kPeersPerRound = 8;
/** Number of addresses per round that have not been heard yet. */
inline constexpr std::size_t kCandidatesPerRound = 24;
/** Silence after which a peer counts as down in a fleet of up to
 * `kPeersPerRound` gateways. */
inline constexpr Duration kPeerTimeout = std::chrono::milliseconds(900);

/** Silence after which one of so many peers counts as down. */
constexpr Duration SilenceTimeout(std::size_t aPeers)
{
  // Each round of messages multiplies the gateways that know of a sign of life.
  Duration timeout = kPeerTimeout;
  for (std::size_t reached = kPeersPerRound; reached < aPeers;
       reached *= kPeersPerRound + 1) {
    timeout += kStatusInterval;
  }
  return timeout;
}

} // namespace gypsum
