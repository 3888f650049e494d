#pragma once

#include "core/membership/member_table.h"
#include "core/routing/routing_statistics.h"
#include "core/routing/preferred_replica.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace gypsum {

/** The seeded source of random numbers of one state machine. */
using RandomSource = std::mt19937_64;

/** What a routing policy may look at besides the candidates. */
struct RoutingInput
{
  std::string_view zone;      ///< Of the process that chooses.
  std::size_t inputBytes = 0; ///< Size of the caller's body.
  std::uint32_t priority = 0;
  Instant now{};
  std::uint64_t stage = 0;      ///< `StageKey` of the stage.
  Duration budget{};            ///< What remains until the deadline.
  std::uint64_t prefixHash = 0; ///< Of the input's start; zero if too short.
  const RoutingStatistics* statistics = nullptr;
  std::size_t preferred =
    kNoPreferredReplica; ///< Index of the candidate for the prefix.
};

/** Chooses one of the candidates by index; none only if there are none. */
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
