#pragma once

#include "core/routing/routing_policy.h"

namespace gypsum {

/**
 * Chooses the candidate with the earliest predicted finish.
 *
 * The prediction adds the pending work at a candidate to the estimated service
 * time of the stage. The preferred replica for the input's prefix is chosen
 * instead unless its predicted finish is too late. With many candidates, only
 * the preferred replica and a random sample are compared.
 */
class PredictedFinish
{
public:
  std::optional<std::size_t> Choose(std::span<const Member* const> aCandidates,
                                    const RoutingInput& aInput,
                                    RandomSource& aRandom) const;
};

/**
 * Expected time from now until a stage with service time `aService` finishes.
 *
 * Scaled by the latency ratio of the replica, with a penalty for another zone.
 */
Duration ExpectedFinish(const Member& aMember,
                        const RoutingInput& aInput,
                        Duration aService);

/** Expected wait of a new stage behind work of its and higher priorities. */
Duration ExpectedWait(const Member& aMember,
                      const ReplicaScore& aScore,
                      std::uint32_t aPriority);

} // namespace gypsum
