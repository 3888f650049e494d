#include "core/gateway/stage_schedule.h"

#include <doctest/doctest.h>

#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

struct ScheduleFixture
{
  ScheduledJob Job(std::uint32_t aPriority, int aDueMs) const
  {
    return { aPriority, now + milliseconds(aDueMs), milliseconds(200), 8, 0 };
  }

  StageSchedule Schedule() const { return ScheduleJobs(jobs, capacity, now); }

  Instant now{ std::chrono::seconds(50) };
  std::vector<ScheduledJob> jobs;
  /** Ten pieces per 100 ms. */
  StageCapacity capacity{ 0.1, 0.0, 0, 0.0 };
};

using Order = std::vector<std::size_t>;

} // namespace

TEST_CASE_FIXTURE(ScheduleFixture,
                  "[StageSchedule] jobs run by priority, then by due time")
{
  jobs = { Job(1, 900), Job(0, 900), Job(0, 500) };
  CHECK(Schedule().order == Order{ 2, 1, 0 });
  CHECK(Schedule().inTime == 3);
}

TEST_CASE_FIXTURE(
  ScheduleFixture,
  "[StageSchedule] a job that would miss its due time moves behind all jobs "
  "that meet theirs")
{
  jobs = { Job(0, 250), Job(0, 260), Job(2, 500) };
  // The second job would start after 80 ms and end 20 ms late.
  CHECK(Schedule().order == Order{ 0, 2, 1 });
  CHECK(Schedule().inTime == 2);
}

TEST_CASE_FIXTURE(ScheduleFixture,
                  "[StageSchedule] late jobs run by priority, then by due time")
{
  jobs = { Job(2, 100), Job(1, 100), Job(1, 50) };
  CHECK(Schedule().order == Order{ 2, 1, 0 });
  CHECK(Schedule().inTime == 0);
}

TEST_CASE_FIXTURE(
  ScheduleFixture,
  "[StageSchedule] the expected start of a job includes the work before it")
{
  jobs = { Job(0, 900), Job(0, 901), Job(0, 902) };
  const StageSchedule schedule = Schedule();
  REQUIRE(schedule.startsIn.size() == 3);
  CHECK(schedule.startsIn[0] == Duration{});
  CHECK(schedule.startsIn[1] == milliseconds(80));
  CHECK(schedule.startsIn[2] == milliseconds(160));
}

TEST_CASE_FIXTURE(ScheduleFixture,
                  "[StageSchedule] a larger share of jobs in time delays late "
                  "jobs, up to a bound")
{
  jobs = { Job(0, 900), Job(0, 100) };
  capacity.inTimeShare = 0.5;
  CHECK(Schedule().startsIn[1] == milliseconds(160));
  capacity.inTimeShare = 1.0;
  CHECK(Schedule().startsIn[1] == milliseconds(800));
}

TEST_CASE_FIXTURE(ScheduleFixture,
                  "[StageSchedule] jobs with large results wait for memory, "
                  "others do not")
{
  capacity.bytesPerMs = 1'000.0;
  capacity.freeBytes = 100'000;
  jobs = { Job(0, 900), Job(0, 901), Job(0, 902) };
  jobs[0].bytes = 100'000;
  jobs[1].bytes = 300'000;
  const StageSchedule schedule = Schedule();
  CHECK(schedule.order == Order{ 0, 1, 2 });
  CHECK(schedule.startsIn[0] == Duration{});
  CHECK(schedule.startsIn[1] == milliseconds(300));
  CHECK(schedule.startsIn[2] == milliseconds(160));
}

TEST_CASE("[StageSchedule] without replicas a job is expected to start at once")
{
  const std::vector<ScheduledJob> jobs{
    { 0, Instant{ milliseconds(500) }, milliseconds(200), 8, 4'000 }
  };
  const StageSchedule schedule =
    ScheduleJobs(jobs, {}, Instant{ milliseconds(100) });
  CHECK(schedule.order == Order{ 0 });
  CHECK(schedule.startsIn.front() == Duration{});
}

} // namespace gypsum::tests
