#pragma once

#include "bench/fleet_manifest.h"

#include <cstddef>

namespace gypsum::bench {

/** Resources that an agent uses at one fleet size and number of entries. */
struct AgentCost
{
  double heapBytes = 0;          ///< With an active manifest and no records.
  double controlCorePercent = 0; ///< For ticks and a report to each entry.
  double controlBytesPerSecond = 0;
  double bytesPerRecord = 0; ///< Heap memory of one execution record.
  double microsecondsPerBooking = 0;
};

/** Runs an agent's state machine in virtual time and measures its cost. */
AgentCost MeasureAgent(const FleetSize& aSize, std::size_t aEntries);

} // namespace gypsum::bench
