#pragma once

#include <chrono>

namespace gypsum {

/** All spans of time in the core, in microseconds. */
using Duration = std::chrono::microseconds;

/** A reading of the steady clock of one process. Never sent to a peer. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** A reading of the wall clock, as compared with the time in a UUIDv7. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** What both clocks show when an event is handled. */
struct ClockReading
{
  Instant steady{};
  WallTime wall{};
};

} // namespace gypsum
