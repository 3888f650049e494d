#include "core/fleet/platform_schedule.h"

#include <algorithm>
#include <chrono>

namespace gypsum {

namespace {

constexpr std::chrono::milliseconds kInitialBackOff{ 500 };
constexpr std::chrono::seconds kMaxBackOff{ 10 };
/** A busy platform counts as this many failures in a row. */
constexpr unsigned kFailuresPerBusy = 3;
constexpr unsigned kMaxDoublings = 6;
constexpr double kMinJitterFactor = 0.5;
constexpr double kMaxJitterFactor = 1.5;

} // namespace

PlatformSchedule::PlatformSchedule(Duration aMinInterval, std::uint64_t aSeed)
  : minInterval_(aMinInterval)
  , random_(aSeed)
{
}

void PlatformSchedule::ScheduleNoLaterThan(Instant aTime)
{
  due_ = std::min(due_, aTime);
}

void PlatformSchedule::OnReadStarted(Instant aNow)
{
  isReading_ = true;
  startedAt_ = aNow;
}

void PlatformSchedule::OnReadEnded(PlatformStatus aStatus, Instant aNow)
{
  isReading_ = false;
  if (aStatus == PlatformStatus::Ok || aStatus == PlatformStatus::NoChange) {
    failuresInRow_ = 0;
    due_ = std::max(aNow, startedAt_ + minInterval_);
    return;
  }
  failuresInRow_ += aStatus == PlatformStatus::Busy ? kFailuresPerBusy : 1;
  const unsigned doublings = std::min(failuresInRow_ - 1, kMaxDoublings);
  const Duration backOff =
    std::min<Duration>(kInitialBackOff * (1U << doublings), kMaxBackOff);
  due_ = aNow + Jittered(backOff);
}

Duration PlatformSchedule::Jittered(Duration aDuration)
{
  std::uniform_real_distribution<double> factor(kMinJitterFactor,
                                                kMaxJitterFactor);
  return std::chrono::duration_cast<Duration>(aDuration * factor(random_));
}

} // namespace gypsum
