#pragma once

#include "core/replay/trace.h"

#include <cstddef>
#include <string>

namespace gypsum {

/** Time that the state machines run before the start of the trace. */
constexpr Duration kReplayWarmUp = std::chrono::seconds(2);

/** Wall clock at the start of a replay. */
constexpr WallTime kReplayWallStart{ std::chrono::hours(490'000) };

/** Makes a UUIDv7 from a time and a sequence number. */
std::string KeyAt(WallTime aTime, std::size_t aNumber);

/** Returns the idempotency key (UUIDv7) of an arrival. */
std::string KeyOfArrival(const Trace& aTrace, std::size_t aArrival);

/** Returns a body of the input size; arrivals with one prefix start alike. */
std::string BodyOfArrival(const Trace& aTrace, std::size_t aArrival);

} // namespace gypsum
