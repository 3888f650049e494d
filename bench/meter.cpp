#include "bench/meter.h"

#include <malloc.h>

#include <ctime>

namespace gypsum::bench {

double ProcessorSeconds()
{
  constexpr double kNanosecondsPerSecond = 1e9;
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

std::size_t HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

} // namespace gypsum::bench
