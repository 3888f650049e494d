#pragma once

#include <sys/types.h>

#include <cstdint>

namespace gypsum::tests {

/** Memory that a process holds now, in kB; zero if there is none such. */
std::uint64_t ResidentMemoryKb(pid_t aProcess);

/** The most that a process has held so far, in kB; zero if there is none such.
 */
std::uint64_t PeakMemoryKb(pid_t aProcess);

} // namespace gypsum::tests
