#pragma once

#include "bench/fleet_manifest.h"

namespace gypsum::bench {

/** Resources that an entry uses at one fleet size. */
struct EntryCost
{
  double heapBytes = 0;          ///< With an active manifest.
  double controlCorePercent = 0; ///< When idle, for ticks, hellos and reports.
  double controlBytesPerSecond = 0;
  double microsecondsPerRequest = 0; ///< For four stages, without I/O.
};

/** Runs an entry's state machine in virtual time and measures its cost. */
EntryCost MeasureEntry(const FleetSize& aSize);

} // namespace gypsum::bench
