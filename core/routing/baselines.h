#pragma once

#include "core/routing/routing_policy.h"

namespace gypsum {

/** Chooses a candidate uniformly at random. */
class RandomChoice
{
public:
  std::optional<std::size_t> Choose(std::span<const Member* const> aCandidates,
                                    const RoutingInput& aInput,
                                    RandomSource& aRandom) const;
};

/** Chooses the candidates in turn; all services share one counter. */
class RoundRobin
{
public:
  std::optional<std::size_t> Choose(std::span<const Member* const> aCandidates,
                                    const RoutingInput& aInput,
                                    RandomSource& aRandom);

private:
  std::size_t next_ = 0;
};

/** Chooses the candidate with the fewest outstanding stages of this process. */
class LeastOutstanding
{
public:
  std::optional<std::size_t> Choose(std::span<const Member* const> aCandidates,
                                    const RoutingInput& aInput,
                                    RandomSource& aRandom) const;
};

} // namespace gypsum
