#include "core/gateway/stage_schedule.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace gypsum {

namespace {

/** Late jobs can expect a tenth of the capacity, as bursts do not last. */
constexpr double kMaxInTimeShare = 0.9;

/** Total work of the jobs that run before another job. */
struct WorkAhead
{
  double pieces = 0.0;
  double bytes = 0.0;

  void Add(const ScheduledJob& aJob)
  {
    pieces += aJob.pieces;
    bytes += static_cast<double>(aJob.bytes);
  }
};

double MsForPieces(const WorkAhead& aAhead, const StageCapacity& aCapacity)
{
  return aCapacity.piecesPerMs > 0.0 ? aAhead.pieces / aCapacity.piecesPerMs
                                     : 0.0;
}

/** Wait until memory for the results is free; only large results wait. */
double MsForMemory(const WorkAhead& aAhead,
                   const ScheduledJob& aJob,
                   const StageCapacity& aCapacity)
{
  if (aJob.bytes == 0 || aCapacity.bytesPerMs <= 0.0) {
    return 0.0;
  }
  const double missingBytes = aAhead.bytes + static_cast<double>(aJob.bytes) -
                              static_cast<double>(aCapacity.freeBytes);
  return std::max(0.0, missingBytes / aCapacity.bytesPerMs);
}

Duration StartsIn(const WorkAhead& aAhead,
                  const ScheduledJob& aJob,
                  const StageCapacity& aCapacity)
{
  const double ms = std::max(MsForPieces(aAhead, aCapacity),
                             MsForMemory(aAhead, aJob, aCapacity));
  return Duration(static_cast<std::int64_t>(ms * 1'000.0));
}

} // namespace

StageSchedule ScheduleJobs(std::span<const ScheduledJob> aJobs,
                           const StageCapacity& aCapacity,
                           Instant aNow)
{
  std::vector<std::size_t> byPriority(aJobs.size());
  std::iota(byPriority.begin(), byPriority.end(), std::size_t{ 0 });
  std::ranges::stable_sort(byPriority, {}, [&](std::size_t aIndex) {
    return std::make_tuple(aJobs[aIndex].priority, aJobs[aIndex].due);
  });
  StageSchedule schedule;
  std::vector<std::size_t> late;
  WorkAhead ahead;
  const auto append = [&](std::size_t aIndex) {
    schedule.startsIn.push_back(StartsIn(ahead, aJobs[aIndex], aCapacity));
    schedule.order.push_back(aIndex);
    ahead.Add(aJobs[aIndex]);
  };
  for (const std::size_t index : byPriority) {
    const ScheduledJob& job = aJobs[index];
    const Duration startsIn = StartsIn(ahead, job, aCapacity);
    if (aNow + startsIn + job.callTime > job.due) {
      late.push_back(index);
    } else {
      append(index);
    }
  }
  schedule.inTime = schedule.order.size();
  std::ranges::for_each(late, append);
  const double lateShare =
    1.0 - std::min(aCapacity.inTimeShare, kMaxInTimeShare);
  for (Duration& start :
       std::span(schedule.startsIn).subspan(schedule.inTime)) {
    start = Duration(static_cast<std::int64_t>(
      static_cast<double>(start.count()) / lateShare));
  }
  return schedule;
}

} // namespace gypsum
