#pragma once

#include "core/membership/member_table.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>

namespace gypsum {

/** Index that stands for no candidate. */
constexpr std::size_t kNoReplica = std::numeric_limits<std::size_t>::max();

/**
 * Index of the candidate with the highest rendezvous weight for a prefix.
 *
 * Every process finds the same, so that one replica gets all inputs of a
 * prefix. `kNoReplica` if there are no candidates.
 */
std::size_t PreferredReplica(std::span<const Member* const> aCandidates,
                             std::uint64_t aPrefixHash);

} // namespace gypsum
