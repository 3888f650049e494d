#include "core/gateway/response_time.h"

#include <doctest/doctest.h>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

struct ResponseTimeFixture
{
  static constexpr Duration kMin = milliseconds(150);
  static constexpr Duration kMax = milliseconds(1'000);

  void Add(int aCount, Duration aTime)
  {
    for (int sample = 0; sample < aCount; ++sample) {
      time.OnSample(aTime);
    }
  }

  ResponseTime time{ kMin, kMax };
};

} // namespace

TEST_CASE_FIXTURE(ResponseTimeFixture,
                  "[ResponseTime] a peer that answers at once is overdue after "
                  "the shortest time")
{
  CHECK(time.Timeout() == kMin);
  Add(20, milliseconds(2));
  CHECK(time.Timeout() == kMin);
}

TEST_CASE_FIXTURE(ResponseTimeFixture,
                  "[ResponseTime] a peer that becomes slow is given more time "
                  "before all of its answers are overdue")
{
  Add(20, milliseconds(5));
  for (int slow = 40; slow <= 400; slow += 10) {
    CHECK(time.Timeout() > milliseconds(slow));
    Add(4, milliseconds(slow));
  }
  Add(60, milliseconds(5));
  CHECK(time.Timeout() == kMin);
}

TEST_CASE_FIXTURE(ResponseTimeFixture,
                  "[ResponseTime] the time doubles with each missing answer up "
                  "to the longest")
{
  Add(20, milliseconds(5));
  time.OnTimeout();
  CHECK(time.Timeout() >= 2 * kMin);
  for (int missing = 0; missing < 10; ++missing) {
    time.OnTimeout();
  }
  CHECK(time.Timeout() == kMax);
}

} // namespace gypsum::tests
