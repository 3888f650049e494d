#pragma once

#include <chrono>

namespace gypsum {

/** Time span in microseconds, used throughout the core. */
using Duration = std::chrono::microseconds;

/** Steady clock time of one process; never sent to a peer. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Wall clock time; compared with the timestamp in a UUIDv7 key. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** Readings of both clocks, taken together when an event is handled. */
struct ClockReading
{
  Instant steady{};
  WallTime wall{};
};

} // namespace gypsum
