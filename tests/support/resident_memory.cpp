#include "tests/support/resident_memory.h"

#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace gypsum::tests {

namespace {

std::uint64_t StatusField(pid_t aProcess, std::string_view aName)
{
  std::ifstream in("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with(aName)) {
      std::istringstream words(line.substr(aName.size()));
      std::uint64_t kilobytes = 0;
      words >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

} // namespace

std::uint64_t ResidentMemoryKb(pid_t aProcess)
{
  return StatusField(aProcess, "VmRSS:");
}

std::uint64_t PeakMemoryKb(pid_t aProcess)
{
  return StatusField(aProcess, "VmHWM:");
}

} // namespace gypsum::tests
