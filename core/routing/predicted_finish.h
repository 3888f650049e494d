#pragma once

#include "core/routing/routing_policy.h"

namespace gypsum {

/**
 * Chooses the candidate with the earliest expected finish.
 *
 * The expected time to finish is the estimated service time of the stage plus
 * the expected wait behind pending work, scaled by the latency ratio of the
 * replica. The preferred replica for the input's prefix is chosen instead while
 * its time is within 80 % of the remaining budget or at most three times the
 * shortest one. With many candidates, only the preferred replica and a random
 * sample are compared.
 */
class PredictedFinish
{
public:
  std::optional<std::size_t> Choose(std::span<const Member* const> aCandidates,
                                    const RoutingInput& aInput,
                                    RandomSource& aRandom) const;
};

/**
 * Expected time from now until a stage finishes at a replica.
 *
 * The wait and the service time are scaled by the latency ratio of the replica;
 * a replica in another availability zone gets a penalty.
 */
Duration ExpectedTimeToFinish(const Member& aMember,
                              const RoutingInput& aInput,
                              Duration aServiceTime);

/** Expected wait of a new stage behind stages that are at least as urgent. */
Duration ExpectedWait(const Member& aMember,
                      const ReplicaScore& aScore,
                      std::uint32_t aPriority);

} // namespace gypsum
