#include "drivers/clock.h"

#include <random>

namespace gypsum {

ClockReading Now()
{
  return { std::chrono::time_point_cast<Duration>(
             std::chrono::steady_clock::now()),
           std::chrono::time_point_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now()) };
}

Incarnation DrawIncarnation()
{
  std::random_device device;
  std::uniform_int_distribution<Incarnation> draw(1);
  return draw(device);
}

} // namespace gypsum
