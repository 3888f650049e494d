#pragma once

#include "core/routing/replica_scores.h"
#include "core/routing/service_times.h"

namespace gypsum {

/** All that a process has learned from the stages it sent. */
struct RoutingStatistics
{
  ServiceTimes times;
  ReplicaScores scores;
};

} // namespace gypsum
