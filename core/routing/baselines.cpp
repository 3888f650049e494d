#include "core/routing/baselines.h"

#include <algorithm>

namespace gypsum {

std::optional<std::size_t> RandomChoice::Choose(
  std::span<const Member* const> aCandidates,
  const RoutingInput& /*aInput*/,
  RandomSource& aRandom) const
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, aCandidates.size() - 1);
  return draw(aRandom);
}

std::optional<std::size_t> RoundRobin::Choose(
  std::span<const Member* const> aCandidates,
  const RoutingInput& /*aInput*/,
  RandomSource& /*aRandom*/)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  return next_++ % aCandidates.size();
}

std::optional<std::size_t> LeastOutstanding::Choose(
  std::span<const Member* const> aCandidates,
  const RoutingInput& /*aInput*/,
  RandomSource& /*aRandom*/) const
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const auto least =
    std::ranges::min_element(aCandidates, {}, [](const Member* aMember) {
      return aMember->outstanding;
    });
  return static_cast<std::size_t>(least - aCandidates.begin());
}

static_assert(RoutingPolicy<RandomChoice>);
static_assert(RoutingPolicy<RoundRobin>);
static_assert(RoutingPolicy<LeastOutstanding>);

} // namespace gypsum
