#include "core/ownership/uuid_v7_time.h"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <numeric>

namespace gypsum {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::size_t kTimeByteCount = 6;
constexpr std::size_t kVersionByteIndex = 6;
constexpr unsigned kVersion7 = 7;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kVersionShift = 4;

std::optional<boost::uuids::uuid> ParseUuid(std::string_view aText)
{
  if (aText.size() != kTextLength) {
    return std::nullopt;
  }
  try {
    return boost::uuids::string_generator()(aText.begin(), aText.end());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::optional<WallTime> UuidV7Time(std::string_view aKey)
{
  const auto uuid = ParseUuid(aKey);
  if (!uuid || uuid->data[kVersionByteIndex] >> kVersionShift != kVersion7) {
    return std::nullopt;
  }
  const auto milliseconds =
    std::accumulate(uuid->begin(),
                    uuid->begin() + kTimeByteCount,
                    std::int64_t{ 0 },
                    [](std::int64_t aSum, std::uint8_t aByte) {
                      return (aSum << kBitsPerByte) | aByte;
                    });
  return WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace gypsum
