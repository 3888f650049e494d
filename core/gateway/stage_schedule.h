#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace gypsum {

/** What the schedule of a stage service knows of one waiting job. */
struct ScheduledJob
{
  std::uint32_t rank = 0; ///< Zero is the most urgent.
  Instant due{};          ///< Finished by then, the request makes its target.
  Duration callTime{};    ///< Of the call that will carry its pieces.
  std::uint32_t pieces = 0;
  std::uint64_t bytes = 0; ///< Of large results, which wait for room.
};

/** What all replicas of a stage service do together. */
struct StageCapacity
{
  double piecesPerMs = 0.0;    ///< In full calls.
  double bytesPerMs = 0.0;     ///< Of results, as fast as room becomes free.
  std::uint64_t freeBytes = 0; ///< Room for results that is free now.
  /** Part of the places in calls that jobs in time have taken lately. */
  double inTimeShare = 0.0;
};

/** The order in which jobs are made. */
struct StageSchedule
{
  std::vector<std::size_t> order; ///< Indexes of jobs, the first goes first.
  std::vector<Duration> startsIn; ///< By place in the order, expected.
  std::size_t inTime = 0;         ///< So many from the front make their due.
};

/**
 * Answers the load of more jobs than can be made by their due times.
 *
 * The more urgent go first, and among equals the earliest due. A job that
 * would miss its due time behind those before it steps back behind all that
 * can make theirs: its place is worth more to them. Late jobs get what jobs in
 * time leave over, also of those still to come, and start later accordingly.
 */
StageSchedule ScheduleJobs(std::span<const ScheduledJob> aJobs,
                           const StageCapacity& aCapacity,
                           Instant aNow);

} // namespace gypsum
