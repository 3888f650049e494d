#include "core/gateway/stop_schedule.h"

#include <doctest/doctest.h>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kBegin{ seconds(100) };

} // namespace

TEST_CASE("[StopSchedule] servers get as long as clients after the last send")
{
  const StopSchedule stop(kBegin, seconds(8));
  CHECK(stop.AcceptUntil() == kBegin + milliseconds(2'500));
  CHECK(stop.SendUntil() == kBegin + seconds(4));
  CHECK(stop.AnswerAt() == kBegin + milliseconds(7'200));
  CHECK(stop.ExitAt() == kBegin + milliseconds(7'500));
}

TEST_CASE("[StopSchedule] a grace period of any length keeps the order of the "
          "moments")
{
  for (int length = 0; length <= 60'000; length += 100) {
    CAPTURE(length);
    const StopSchedule stop(kBegin, milliseconds(length));
    CHECK(kBegin <= stop.AcceptUntil());
    CHECK(stop.AcceptUntil() <= stop.SendUntil());
    CHECK(stop.SendUntil() <= stop.AnswerAt());
    CHECK(stop.AnswerAt() <= stop.ExitAt());
    CHECK(stop.ExitAt() <= kBegin + milliseconds(length));
  }
}

} // namespace gypsum::tests
