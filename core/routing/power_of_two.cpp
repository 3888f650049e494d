#include "core/routing/power_of_two.h"

namespace gypsum {

namespace {

std::uint32_t PendingStages(const Member& aMember)
{
  return aMember.outstanding + aMember.report.queued;
}

} // namespace

std::optional<std::size_t> PowerOfTwo::Choose(
  std::span<const Member* const> aCandidates,
  const RoutingInput& /*aInput*/,
  RandomSource& aRandom) const
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, aCandidates.size() - 1);
  const std::size_t first = draw(aRandom);
  const std::size_t second = draw(aRandom);
  const bool isSecondLessLoaded =
    PendingStages(*aCandidates[second]) < PendingStages(*aCandidates[first]);
  return isSecondLessLoaded ? second : first;
}

static_assert(RoutingPolicy<PowerOfTwo>);

} // namespace gypsum
