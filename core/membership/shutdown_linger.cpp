#include "core/membership/shutdown_linger.h"

#include <chrono>

namespace gypsum {

namespace {

constexpr std::chrono::milliseconds kQuiet{ 500 };
constexpr std::chrono::seconds kLongest{ 15 };

} // namespace

void ShutdownLinger::Begin(Instant aNow)
{
  if (begunAt_ == Instant{}) {
    begunAt_ = aNow;
    lastTraffic_ = aNow;
  }
}

void ShutdownLinger::OnTraffic(Instant aNow)
{
  lastTraffic_ = aNow;
}

bool ShutdownLinger::IsOver(Instant aNow) const
{
  return aNow - lastTraffic_ >= kQuiet || aNow - begunAt_ >= kLongest;
}

} // namespace gypsum
