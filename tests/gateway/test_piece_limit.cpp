#include "core/gateway/piece_limit.h"

#include <doctest/doctest.h>

#include <limits>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BatchSpec Spec()
{
  BatchSpec spec;
  spec.maxRunningCalls = 2;
  spec.maxPieces = 8;
  spec.fixedCallTime = milliseconds(20);
  spec.pieceTime = milliseconds(10);
  return spec;
}

} // namespace

TEST_CASE("[PieceLimit] a stage has no more pieces than handles fit into a "
          "header")
{
  ClientLimits limits;
  limits.headerBytes = 1'200;
  CHECK(MaxPiecesOfStage(limits) == 100);
  limits.headerBytes = 0;
  CHECK(MaxPiecesOfStage(limits) == 1);
}

TEST_CASE("[PieceLimit] replicas compute whole calls until the time is over")
{
  CHECK(PiecesWithin(Spec(), 3, milliseconds(250)) == 3 * 2 * 8 * 3);
  CHECK(PiecesWithin(Spec(), 3, milliseconds(-5)) == 2 * 8 * 3);
  // The last known replica may be about to return.
  CHECK(PiecesWithin(Spec(), 0, milliseconds(250)) == 3 * 2 * 8);
}

TEST_CASE("[PieceLimit] odd configurations do not overflow")
{
  BatchSpec spec = Spec();
  spec.maxPieces = std::numeric_limits<std::uint32_t>::max();
  spec.maxRunningCalls = std::numeric_limits<std::uint32_t>::max();
  spec.pieceTime = Duration{};
  CHECK(PiecesWithin(spec, 1'000'000, std::chrono::hours(24)) > 1'000'000);
  spec.fixedCallTime = Duration{};
  CHECK(PiecesWithin(spec, 1, seconds(1)) ==
        std::numeric_limits<std::uint64_t>::max());
}

} // namespace gypsum::tests
