#pragma once

#include "core/time.h"

#include <algorithm>
#include <optional>

namespace gypsum {

/**
 * When a process that starts tries again to bind its ports, which its
 * predecessor may still hold.
 */
class BindSchedule
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(50);
  /** From the end of a predecessor's grace period, at which it is killed, until
   * its ports are free. */
  static constexpr Duration kReleaseTime = std::chrono::seconds(2);

  /** `aGracePeriod` is that of the predecessor, which has the same settings. */
  BindSchedule(Instant aBegin, Duration aGracePeriod)
    : end_(aBegin + aGracePeriod + kReleaseTime)
  {
  }

  /** When to try next, after a try that has failed; empty: not any more. */
  std::optional<Instant> NextTry(Instant aNow) const
  {
    if (aNow >= end_) {
      return std::nullopt;
    }
    return std::min(aNow + kInterval, end_);
  }

private:
  Instant end_;
};

} // namespace gypsum
