#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace gypsum {

/** Key under which service times of a stage are averaged. */
struct StageKind
{
  std::uint64_t stage = 0;     ///< `StageKey` of the pipeline's stage.
  std::uint32_t sizeClass = 0; ///< `SizeClass` of the input.
  bool isPreferred = false;    ///< Sent to the preferred replica of the prefix.

  auto operator<=>(const StageKind&) const = default;
};

/** Hash that identifies a stage of a pipeline. */
std::uint64_t StageKey(std::string_view aPipeline, std::uint32_t aStage);

/** Logarithmic size class, with two classes for each doubling of the size. */
std::uint32_t SizeClass(std::size_t aBytes);

/** Smoothed service times at backend servers, measured from replies. */
class ServiceTimes
{
public:
  void Record(const StageKind& aKind, Duration aTime);
  /** Service time of the closest known kind of this stage, or zero. */
  Duration Estimate(const StageKind& aKind) const;

private:
  std::map<StageKind, Duration> byKind_;
};

} // namespace gypsum
