#include "core/gateway/stop_schedule.h"

#include <algorithm>

namespace gypsum {

namespace {

/** A load balancer needs two health checks, one second apart, to notice the
 * stop. */
constexpr Duration kAcceptTime = std::chrono::milliseconds(2'500);
/** The rest of the grace period is left to the servers. */
constexpr int kSendDivisor = 2;
/** Time to write the final answers. */
constexpr Duration kAnswerTime = std::chrono::milliseconds(300);
/** The process ends this long before the platform kills it. */
constexpr Duration kExitMargin = std::chrono::milliseconds(500);

} // namespace

Instant StopSchedule::AcceptUntil() const
{
  return std::min(begin_ + kAcceptTime, AnswerAt());
}

Instant StopSchedule::SendUntil() const
{
  const Instant until =
    std::max(AcceptUntil(), begin_ + gracePeriod_ / kSendDivisor);
  return std::min(until, AnswerAt());
}

Instant StopSchedule::AnswerAt() const
{
  return std::max(begin_, ExitAt() - kAnswerTime);
}

Instant StopSchedule::ExitAt() const
{
  return begin_ + std::max(Duration{}, gracePeriod_ - kExitMargin);
}

} // namespace gypsum
