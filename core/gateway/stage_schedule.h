#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace gypsum {

/** A waiting job, as the schedule of its stage service sees it. */
struct ScheduledJob
{
  std::uint32_t priority = 0; ///< Zero is the most urgent.
  Instant due{};       ///< Latest end for the request to meet its target.
  Duration callTime{}; ///< Duration of the call that computes its pieces.
  std::uint32_t pieces = 0;
  std::uint64_t bytes = 0; ///< Size of large results, which wait for memory.
};

/** Combined capacity of all replicas of a stage service. */
struct StageCapacity
{
  double piecesPerMs = 0.0;    ///< Throughput with full calls.
  double bytesPerMs = 0.0;     ///< Rate at which result memory is released.
  std::uint64_t freeBytes = 0; ///< Result memory that is free now.
  /** Recent share of call capacity used by jobs that meet their due times. */
  double inTimeShare = 0.0;
};

/** Order in which the jobs of a stage service run. */
struct StageSchedule
{
  std::vector<std::size_t> order; ///< Job indexes, first to run first.
  std::vector<Duration> startsIn; ///< Expected start of each job in `order`.
  std::size_t inTime = 0; ///< Number of leading jobs that meet their due times.
};

/**
 * Orders jobs when more are waiting than can finish by their due times.
 *
 * Jobs run by priority, then by due time. A job that would miss its due time
 * after the jobs before it is moved behind all jobs that can meet theirs, as
 * running it earlier would only delay them. Late jobs use the capacity that
 * jobs in time leave over. Jobs in time that arrive later run before them as
 * well, so the expected starts of late jobs grow with the recent share of jobs
 * in time.
 */
StageSchedule ScheduleJobs(std::span<const ScheduledJob> aJobs,
                           const StageCapacity& aCapacity,
                           Instant aNow);

} // namespace gypsum
