#include "core/membership/shutdown_linger.h"

#include <chrono>

namespace gypsum {

namespace {

constexpr std::chrono::milliseconds kQuietPeriod{ 500 };
constexpr std::chrono::seconds kMaxLinger{ 15 };

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
  return aNow - lastTraffic_ >= kQuietPeriod || aNow - begunAt_ >= kMaxLinger;
}

} // namespace gypsum
