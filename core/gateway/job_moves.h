#pragma once

#include <cstdint>

namespace gypsum {

/** Moves of a job from owner to owner, after which it stays where it is: two
 * gateways may each take the other one for the owner. */
inline constexpr std::uint32_t kMaxJobMoves = 3;

/**
 * Whether a gateway that has a job passes it on to the gateway that owns the
 * queue in its own view. Two queues of a service would send more calls than
 * its servers take.
 */
constexpr bool MustMoveJob(std::uint32_t aMoves, bool aIsOwner)
{
  return !aIsOwner && aMoves < kMaxJobMoves;
}

} // namespace gypsum
