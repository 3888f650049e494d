#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace gypsum {

/** What the service time of a stage depends on. */
struct StageKind
{
  std::uint64_t stage = 0;     ///< `StageKey` of the pipeline's stage.
  std::uint32_t sizeClass = 0; ///< `SizeClass` of the input.
  bool isPreferred = false; ///< At a replica that may hold the input's prefix.

  auto operator<=>(const StageKind&) const = default;
};

/** Names a stage of a pipeline. */
std::uint64_t StageKey(std::string_view aPipeline, std::uint32_t aStage);

/** Two classes for each doubling of the size. */
std::uint32_t SizeClass(std::size_t aBytes);

/** Smoothed times at backend servers, learned from the replies. */
class ServiceTimes
{
public:
  void Record(const StageKind& aKind, Duration aTime);
  /** Of the nearest kind known of this stage; zero if none is. */
  Duration Estimate(const StageKind& aKind) const;

private:
  std::map<StageKind, Duration> byKind_;
};

} // namespace gypsum
