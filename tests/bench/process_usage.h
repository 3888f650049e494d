#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>

namespace gypsum::tests {

/** Processor time used by a process since its start, and its memory. */
struct ProcessUsage
{
  std::chrono::milliseconds cpu{}; ///< User and system time.
  std::uint64_t residentKiB = 0;
};

/** Reads the usage from /proc; all zero if the process does not exist. */
ProcessUsage ReadUsage(pid_t aProcess);

} // namespace gypsum::tests
