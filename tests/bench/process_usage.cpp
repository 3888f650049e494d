#include "tests/bench/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace gypsum::tests {

namespace {

/** Number of fields between the process name and utime in /proc/PID/stat. */
constexpr int kFieldsBeforeUserTime = 11;
constexpr std::uint64_t kMsPerSecond = 1'000;
constexpr std::uint64_t kBytesPerKiB = 1'024;

std::chrono::milliseconds ReadCpu(const std::string& aFolder)
{
  std::ifstream in(aFolder + "/stat");
  std::string text;
  std::getline(in, text);
  const std::size_t name = text.rfind(')');
  if (name == std::string::npos) {
    return {};
  }
  std::istringstream fields(text.substr(name + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  fields >> user >> system;
  const auto ticks = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
  return std::chrono::milliseconds((user + system) * kMsPerSecond / ticks);
}

std::uint64_t ReadResidentKiB(const std::string& aFolder)
{
  std::ifstream in(aFolder + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  in >> total >> resident;
  const auto page = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return resident * page / kBytesPerKiB;
}

} // namespace

ProcessUsage ReadUsage(pid_t aProcess)
{
  const std::string folder = "/proc/" + std::to_string(aProcess);
  return { ReadCpu(folder), ReadResidentKiB(folder) };
}

} // namespace gypsum::tests
