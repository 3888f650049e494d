#pragma once

#include "core/time.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gypsum {

/** A gateway that may own a duty of the fleet, such as a stage queue. */
struct OwnerCandidate
{
  std::string address;
  double processorShare = 1.0;
  Duration settledFor{}; ///< See `FleetDiscovery`, by its own word.
};

/**
 * The candidate that owns a duty, by weighted rendezvous hashing: gateways with
 * the same view of the fleet choose the same one, and a duty moves only if its
 * owner goes or a better one comes. Larger machines are preferred, and those
 * with less than half of the largest share own nothing. Nor do those that have
 * just started, unless the whole fleet has. Empty if there is no candidate.
 */
std::string_view ChooseOwner(std::uint64_t aKey,
                             std::span<const OwnerCandidate> aCandidates);

} // namespace gypsum
