#include "core/gateway/piece_limit.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace gypsum {

namespace {

/** Shortest handle, `1.1.1.1:1/a`, and its comma. */
constexpr std::uint32_t kMinHandleBytes = 12;

} // namespace

std::uint32_t MaxPiecesOfStage(const ClientLimits& aLimits)
{
  return std::max(1U, aLimits.headerBytes / kMinHandleBytes);
}

std::uint64_t PiecesWithin(const BatchSpec& aSpec,
                           std::size_t aReplicas,
                           Duration aTime)
{
  const std::uint32_t piecesPerCall = std::max(1U, aSpec.maxPieces);
  const Duration callTime =
    aSpec.fixedCallTime + aSpec.pieceTime * piecesPerCall;
  if (callTime.count() <= 0) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const auto rounds =
    static_cast<double>(std::max<std::int64_t>(0, aTime / callTime) + 1);
  const double pieces =
    rounds * piecesPerCall * std::max(1U, aSpec.maxRunningCalls) *
    static_cast<double>(std::max<std::size_t>(1, aReplicas));
  constexpr double kMost = 9'007'199'254'740'992.0; // exact in a double
  return static_cast<std::uint64_t>(std::min(kMost, pieces));
}

} // namespace gypsum
