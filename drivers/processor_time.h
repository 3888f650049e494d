#pragma once

#include <chrono>

namespace gypsum {

using ProcessorTime = std::chrono::nanoseconds;

/** Processor time that the calling thread has used. */
ProcessorTime ThreadProcessorTime();

/** Processor time that all threads of this process have used. */
ProcessorTime ProcessProcessorTime();

} // namespace gypsum
