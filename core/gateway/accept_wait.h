#pragma once

#include "core/time.h"

#include <algorithm>

namespace gypsum {

/**
 * Decides when a job that its owner has not accepted is offered to the next.
 *
 * An acceptance that has arrived shows on no clock while this gateway is late
 * itself. It gets as long again as it is late, for what has arrived meanwhile:
 * a second owner would send calls that find the servers full.
 */
class AcceptWait
{
public:
  /** Lag that is none: timers are as late as this in calm. */
  static constexpr Duration kMinLag = std::chrono::milliseconds(10);
  /** Time for the threads that take messages in, after a lag. */
  static constexpr Duration kReadTime = std::chrono::milliseconds(30);
  /** The wait ends this long after the usual time, however late the gateway. */
  static constexpr Duration kMaxExtension = std::chrono::milliseconds(600);

  /** `aTimeout` is the usual time in which the owner accepts. */
  AcceptWait(Instant aSentAt, Duration aTimeout)
    : until_(aSentAt + aTimeout)
    , latest_(until_ + kMaxExtension)
  {
  }

  /** When to ask again. */
  Instant Until() const { return until_; }

  /** Whether the owner is lost; prolongs the wait if this gateway is late. */
  bool IsOver(Instant aNow, Duration aLag)
  {
    if (aNow < until_) {
      return false;
    }
    const Duration lag = std::max(aLag, Duration(aNow - until_));
    if (lag < kMinLag || aNow >= latest_) {
      return true;
    }
    until_ = std::min(aNow + lag + kReadTime, latest_);
    return false;
  }

private:
  Instant until_;
  Instant latest_;
};

} // namespace gypsum
