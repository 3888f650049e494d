#pragma once

#include "core/ownership/execution_records.h"
#include "core/ownership/uuid_v7.h"
#include "core/ownership/uuid_v7_time.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace gypsum::tests {

/** Makes a UUIDv7 key with a time and a number. */
inline std::string KeyAt(WallTime aTime, unsigned aNumber = 0)
{
  return MakeUuidV7(aTime, aNumber);
}

class RecordsFixture
{
protected:
  static constexpr Duration kLifetime = std::chrono::seconds(100);
  static constexpr Duration kClockError = std::chrono::milliseconds(500);

  ClockReading At(Duration aAfterStart) const
  {
    return { start_.steady + aAfterStart,
             start_.wall +
               std::chrono::duration_cast<std::chrono::milliseconds>(
                 aAfterStart) };
  }
  StageId IdFor(const std::string& aKey) const
  {
    return { { "atelier", aKey }, 1, 1, 9 };
  }

  ClockReading start_{ Instant(std::chrono::hours(1)),
                       WallTime(std::chrono::hours(500'000)) };
  ExecutionRecords records_{ { 2, kLifetime, kClockError, 100 }, start_ };
};

TEST_CASE("[UuidV7Time] a UUIDv7 yields its creation time")
{
  const WallTime time(std::chrono::milliseconds(1'790'000'000'123));
  CHECK(KeyAt(time, 7) == "01a0c450-6c7b-7000-8000-000000000007");
  CHECK(UuidV7Time(KeyAt(time)) == time);
  CHECK_FALSE(UuidV7Time("not-a-uuid").has_value());
}

TEST_CASE_FIXTURE(RecordsFixture,
                  "[Ownership] a second request for a key joins the first run")
{
  const ClockReading now = At(std::chrono::seconds(5));
  const StageId id = IdFor(KeyAt(now.wall));
  CHECK(records_.Admit(id, 1, now) == Admission::Run);
  CHECK(records_.Admit(id, 1, now) == Admission::Join);
  records_.Finish(id, {}, now.steady);
  CHECK(records_.Admit(id, 1, now) == Admission::Replay);
  CHECK(records_.Admit(id, 2, now) == Admission::Conflict);
}

TEST_CASE_FIXTURE(RecordsFixture,
                  "[Ownership] a key older than the process is not run")
{
  const ClockReading now = At(std::chrono::seconds(5));
  const StageId id = IdFor(KeyAt(start_.wall - std::chrono::seconds(1)));
  CHECK(records_.Admit(id, 1, now) == Admission::RecordLost);
}

TEST_CASE_FIXTURE(RecordsFixture,
                  "[Ownership] a full table refuses new keys and keeps old "
                  "records")
{
  const ClockReading now = At(std::chrono::seconds(5));
  const StageId first = IdFor(KeyAt(now.wall, 1));
  CHECK(records_.Admit(first, 1, now) == Admission::Run);
  CHECK(records_.Admit(IdFor(KeyAt(now.wall, 2)), 1, now) == Admission::Run);
  CHECK(records_.Admit(IdFor(KeyAt(now.wall, 3)), 1, now) == Admission::Full);
  CHECK(records_.Admit(first, 1, now) == Admission::Join);
}

TEST_CASE_FIXTURE(RecordsFixture,
                  "[Ownership] a key past its lifetime is not run again")
{
  const ClockReading now = At(std::chrono::seconds(5));
  const StageId id = IdFor(KeyAt(now.wall));
  CHECK(records_.Admit(id, 1, now) == Admission::Run);
  records_.Finish(id, {}, now.steady);
  const ClockReading late = At(std::chrono::seconds(300));
  CHECK(records_.Admit(id, 1, late) == Admission::Expired);
}

} // namespace gypsum::tests
