#pragma once

#include <cstddef>
#include <utility>

namespace gypsum::bench {

/** Returns the processor time used by this process, in seconds. */
double ProcessorSeconds();

/** Returns the heap memory in use, in bytes. */
std::size_t HeapBytes();

/** Runs a function and returns the processor time used, in seconds. */
template<typename Function>
double SecondsOf(Function&& aFunction)
{
  const double before = ProcessorSeconds();
  std::forward<Function>(aFunction)();
  return ProcessorSeconds() - before;
}

} // namespace gypsum::bench
