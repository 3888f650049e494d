#pragma once

#include "core/routing/routing_policy.h"

namespace gypsum {

/** Draws two candidates at random and chooses the one with fewer stages. */
class PowerOfTwo
{
public:
  std::optional<std::size_t> Choose(std::span<const Member* const> aCandidates,
                                    const RoutingInput& aInput,
                                    RandomSource& aRandom) const;
};

} // namespace gypsum
