#include "core/gateway/accept_wait.h"

#include <doctest/doctest.h>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

constexpr Instant kSentAt{ std::chrono::seconds(100) };
constexpr Duration kTimeout = milliseconds(150);

} // namespace

TEST_CASE(
  "[AcceptWait] an owner is lost after its usual time if this gateway is "
  "in time")
{
  AcceptWait wait(kSentAt, kTimeout);
  CHECK_FALSE(wait.IsOver(kSentAt + milliseconds(149), Duration{}));
  CHECK(wait.Until() == kSentAt + kTimeout);
  CHECK(wait.IsOver(kSentAt + kTimeout + milliseconds(1), milliseconds(2)));
}

TEST_CASE("[AcceptWait] an owner is not lost because this gateway is late")
{
  AcceptWait wait(kSentAt, kTimeout);
  const Instant lateAt = kSentAt + milliseconds(400);
  SUBCASE("by its timer")
  {
    CHECK_FALSE(wait.IsOver(lateAt, Duration{}));
    CHECK(wait.Until() >= lateAt + milliseconds(250));
  }
  SUBCASE("by the lag of its loop")
  {
    CHECK_FALSE(wait.IsOver(kSentAt + kTimeout, milliseconds(200)));
    CHECK(wait.Until() >= kSentAt + kTimeout + milliseconds(200));
  }
}

TEST_CASE("[AcceptWait] an owner that does not accept is lost in bounded time, "
          "however late this gateway is")
{
  AcceptWait wait(kSentAt, kTimeout);
  Instant now = kSentAt + kTimeout;
  const Instant latest = now + AcceptWait::kMaxExtension;
  while (!wait.IsOver(now, milliseconds(100))) {
    REQUIRE(wait.Until() > now);
    now = wait.Until();
  }
  CHECK(now <= latest);
}

} // namespace gypsum::tests
