#include "core/replay/trace_key.h"

#include <algorithm>
#include <cstdio>

namespace gypsum {

namespace {

constexpr std::size_t kPrefixBytes = 4096;

} // namespace

std::string KeyAt(WallTime aTime, std::size_t aNumber)
{
  const auto time =
    static_cast<unsigned long long>(aTime.time_since_epoch().count());
  char text[64];
  std::snprintf(text,
                sizeof text,
                "%08llx-%04llx-7000-8000-%012zx",
                time >> 16U,
                time & 0xffffU,
                aNumber);
  return text;
}

std::string KeyOfArrival(const Trace& aTrace, std::size_t aArrival)
{
  const auto wall =
    kReplayWallStart + std::chrono::duration_cast<std::chrono::milliseconds>(
                         kReplayWarmUp + aTrace.arrivals[aArrival].at);
  return KeyAt(wall, aArrival);
}

std::string BodyOfArrival(const Trace& aTrace, std::size_t aArrival)
{
  const TraceArrival& arrival = aTrace.arrivals[aArrival];
  const std::string unique = "call " + std::to_string(aArrival) + " ";
  const std::string prefix = "prefix " + std::to_string(arrival.prefix) + " ";
  std::string body = arrival.prefix == 0 ? unique : prefix;
  body.resize(std::min<std::size_t>(kPrefixBytes, arrival.inputBytes), '.');
  body += unique;
  body.resize(std::max<std::size_t>(body.size(), arrival.inputBytes), '.');
  return body;
}

} // namespace gypsum
