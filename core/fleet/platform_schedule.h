#pragma once

#include "core/time.h"

#include <cstdint>
#include <random>

namespace gypsum {

/** Result of one read of the platform. */
enum class PlatformStatus
{
  Ok,
  NoChange, ///< A watch ended without a newer revision.
  Busy,     ///< The platform answered "too many requests".
  Failed,   ///< No answer, or an unusable one.
};

/**
 * Decides when a process reads one resource of the platform: the manifest or
 * the list of VMs.
 *
 * At most one read runs at a time. Failures back off exponentially, with jitter
 * so that the readers of a fleet do not all retry at once.
 */
class PlatformSchedule
{
public:
  PlatformSchedule(Duration aMinInterval, std::uint64_t aSeed);

  /** Moves the next read forward to `aTime` if it is due later. */
  void ScheduleNoLaterThan(Instant aTime);
  /** Sets the time of the next read. */
  void ScheduleAt(Instant aTime) { due_ = aTime; }
  bool IsDue(Instant aNow) const { return !isReading_ && aNow >= due_; }
  Instant DueTime() const { return due_; }
  void OnReadStarted(Instant aNow);
  /** Schedules the next read of a process that reads continuously. */
  void OnReadEnded(PlatformStatus aStatus, Instant aNow);
  bool IsFailing() const { return failuresInRow_ != 0; }

private:
  Duration Jittered(Duration aDuration);

  Duration minInterval_; ///< Between the starts of two reads.
  std::mt19937_64 random_;
  bool isReading_ = false;
  unsigned failuresInRow_ = 0;
  Instant startedAt_{};
  Instant due_{};
};

} // namespace gypsum
