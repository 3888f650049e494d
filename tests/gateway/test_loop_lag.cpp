#include "core/gateway/loop_lag.h"

#include <doctest/doctest.h>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

constexpr Instant kBegin{ std::chrono::seconds(100) };

} // namespace

TEST_CASE("[LoopLag] a tick that is handled late, or not yet, shows the lag")
{
  LoopLag lag;
  CHECK(lag.At(kBegin) == Duration{});
  lag.OnTick(kBegin, kBegin + milliseconds(50));
  CHECK(lag.At(kBegin + milliseconds(50)) == Duration{});
  CHECK(lag.At(kBegin + milliseconds(350)) == milliseconds(300));
  lag.OnTick(kBegin + milliseconds(350), kBegin + milliseconds(400));
  CHECK(lag.At(kBegin + milliseconds(360)) == milliseconds(300));
  lag.OnTick(kBegin + milliseconds(400), kBegin + milliseconds(450));
  CHECK(lag.At(kBegin + milliseconds(410)) == Duration{});
  CHECK(lag.TakeLargest() == milliseconds(300));
  CHECK(lag.TakeLargest() == Duration{});
}

TEST_CASE("[LoopLag] a request arrived before it was read, but after its "
          "connection was seen without it")
{
  const Instant now = kBegin + milliseconds(1'000);
  CHECK(ArrivalOf(now, Duration{}, kBegin) == now);
  CHECK(ArrivalOf(now, milliseconds(300), kBegin) == now - milliseconds(300));
  CHECK(ArrivalOf(now, milliseconds(3'000), kBegin) == kBegin);
  CHECK(ArrivalOf(now, milliseconds(3'000), now + milliseconds(1)) == now);
}

} // namespace gypsum::tests
