#include "tests/support/fresh_key.h"

#include "core/ownership/uuid_v7.h"

#include <atomic>
#include <chrono>

namespace gypsum::tests {

std::string FreshKey()
{
  static std::atomic<unsigned> counter{ 0 };
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  return MakeUuidV7(now, ++counter);
}

} // namespace gypsum::tests
