#pragma once

#include "core/time.h"

#include <algorithm>
#include <utility>

namespace gypsum {

/**
 * How late the event loop handles what has happened, measured by a timer.
 *
 * What waits in the kernel for a process without processor time shows on no
 * clock of the process: a request that is read now may have arrived as long ago
 * as the timer is late.
 */
class LoopLag
{
public:
  /** The timer is handled; it is due next at a time. Returns its lag. */
  Duration OnTick(Instant aNow, Instant aNextDue)
  {
    last_ = Since(nextDue_, aNow);
    largest_ = std::max(largest_, last_);
    nextDue_ = aNextDue;
    return last_;
  }

  /** The lag at the last tick, or that of the next one so far. */
  Duration At(Instant aNow) const
  {
    return std::max(last_, Since(nextDue_, aNow));
  }

  /** The largest lag since the last call. */
  Duration TakeLargest() { return std::exchange(largest_, Duration{}); }

private:
  static Duration Since(Instant aDue, Instant aNow)
  {
    return aNow > aDue ? Duration(aNow - aDue) : Duration{};
  }

  Duration last_{};
  Duration largest_{};
  Instant nextDue_ = Instant::max();
};

/**
 * When a request arrived that is read now, at the earliest: by the lag of the
 * loop, but not before its connection was seen without it.
 */
inline Instant ArrivalOf(Instant aNow, Duration aLag, Instant aSeenEmptyAt)
{
  return std::max(aNow - aLag, std::min(aNow, aSeenEmptyAt));
}

} // namespace gypsum
