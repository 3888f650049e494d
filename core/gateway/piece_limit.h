#pragma once

#include "core/gateway/served_configuration.h"

#include <cstddef>
#include <cstdint>

namespace gypsum {

/**
 * The most pieces of one stage that a request may ask for.
 *
 * The handles of all pieces of a stage are passed on in one header, which may
 * not be larger than those that the gateway itself accepts.
 */
std::uint32_t MaxPiecesOfStage(const ClientLimits& aLimits);

/** The most pieces that so many idle replicas compute within a time. */
std::uint64_t PiecesWithin(const BatchSpec& aSpec,
                           std::size_t aReplicas,
                           Duration aTime);

} // namespace gypsum
