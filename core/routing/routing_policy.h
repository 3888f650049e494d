#pragma once

#include "core/membership/member_table.h"
#include "core/routing/preferred_replica.h"
#include "core/routing/routing_statistics.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace gypsum {

/** Seeded random number generator of one state machine. */
using RandomSource = std::mt19937_64;

/** Input of a routing policy besides the candidates. */
struct RoutingInput
{
  std::string_view zone;      ///< Availability zone of this process.
  std::size_t inputBytes = 0; ///< Size of the caller's request body.
  std::uint32_t priority = 0;
  Instant now{};
  std::uint64_t stage = 0;      ///< `StageKey` of the stage.
  Duration budget{};            ///< Time remaining until the deadline.
  std::uint64_t prefixHash = 0; ///< `PrefixHash` of the stage's input.
  const RoutingStatistics* statistics = nullptr;
  /** Index of the preferred candidate for the prefix. */
  std::size_t preferred = kNoReplica;
};

/**
 * Requirements of a routing policy. `Choose` returns the index of a candidate,
 * or nothing only if there are no candidates.
 */
template<typename T>
concept RoutingPolicy = requires(T aPolicy,
                                 std::span<const Member* const> aCandidates,
                                 const RoutingInput& aInput,
                                 RandomSource& aRandom)
{
  {
    aPolicy.Choose(aCandidates, aInput, aRandom)
    } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace gypsum
