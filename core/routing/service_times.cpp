#include "core/routing/service_times.h"

#include "core/hash.h"

#include <algorithm>
#include <bit>
#include <cstdlib>

namespace gypsum {

namespace {

/** The weight of a new sample is one in this many. */
constexpr int kSmoothingDivisor = 8;

} // namespace

std::uint64_t StageKey(std::string_view aPipeline, std::uint32_t aStage)
{
  return Checksum(aPipeline) + aStage;
}

std::uint32_t SizeClass(std::size_t aBytes)
{
  const auto width = static_cast<std::uint32_t>(std::bit_width(aBytes));
  const bool isUpperHalf = width > 1 && (aBytes >> (width - 2) & 1U) != 0;
  return 2 * width + (isUpperHalf ? 1 : 0);
}

void ServiceTimes::Record(const StageKind& aKind, Duration aTime)
{
  const auto [known, isNew] = byKind_.emplace(aKind, aTime);
  if (!isNew) {
    known->second += (aTime - known->second) / kSmoothingDivisor;
  }
}

Duration ServiceTimes::Estimate(const StageKind& aKind) const
{
  const auto above = byKind_.lower_bound(aKind);
  if (above != byKind_.end() && above->first == aKind) {
    return above->second;
  }
  const auto isSameStage = [&](auto aItem) {
    return aItem != byKind_.end() && aItem->first.stage == aKind.stage;
  };
  const auto below =
    above == byKind_.begin() ? byKind_.end() : std::prev(above);
  if (isSameStage(above) && isSameStage(below)) {
    const auto distance = [&](auto aItem) {
      return std::abs(static_cast<int>(aItem->first.sizeClass) -
                      static_cast<int>(aKind.sizeClass));
    };
    return distance(above) < distance(below) ? above->second : below->second;
  }
  if (isSameStage(above)) {
    return above->second;
  }
  return isSameStage(below) ? below->second : Duration::zero();
}

} // namespace gypsum
