#pragma once

#include "core/routing/replica_scores.h"
#include "core/routing/service_times.h"

namespace gypsum {

/** Statistics that a process gathers from the stages it sends. */
struct RoutingStatistics
{
  ServiceTimes times;
  ReplicaScores scores;
};

} // namespace gypsum
