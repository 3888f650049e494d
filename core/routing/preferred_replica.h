#pragma once

#include "core/membership/member_table.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>

namespace gypsum {

/** No index of a candidate. */
constexpr std::size_t kNoPreferredReplica =
  std::numeric_limits<std::size_t>::max();

/**
 * The candidate that comes first for a prefix by rendezvous hash.
 *
 * Every process finds the same, so that one replica sees all inputs of a
 * prefix. `kNoPreferredReplica` if there are no candidates.
 */
std::size_t PreferredReplica(std::span<const Member* const> aCandidates,
                             std::uint64_t aPrefixHash);

} // namespace gypsum
