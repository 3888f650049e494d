#include "drivers/processor_time.h"

#include <ctime>

namespace gypsum {

namespace {

ProcessorTime Read(clockid_t aClock)
{
  timespec time{};
  // These clocks exist on each system that gypsumstream runs on.
  static_cast<void>(clock_gettime(aClock, &time));
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

ProcessorTime ThreadProcessorTime()
{
  return Read(CLOCK_THREAD_CPUTIME_ID);
}

ProcessorTime ProcessProcessorTime()
{
  return Read(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace gypsum
