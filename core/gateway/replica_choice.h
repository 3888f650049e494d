#pragma once

#include "core/gateway/backend_loads.h"
#include "core/gateway/backend_registry.h"
#include "core/gateway/prefix_cache_index.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** One part of a prompt; requests share all but the last. */
struct PromptPart
{
  std::string id;
  std::uint64_t tokens = 0;
};

/** What a request asks of a model replica. */
struct PromptSpec
{
  std::vector<PromptPart> parts;
  std::uint64_t tokens = 0; ///< Of the whole prompt.

  /** The beginnings that other requests share, from the shortest on. */
  std::vector<PromptPrefix> SharedPrefixes() const;
};

/** What a choice of a backend server is made for. */
struct ChoiceCriteria
{
  std::string_view zone;                      ///< Of this gateway.
  const PromptSpec* prompt = nullptr;         ///< For model replicas only.
  const PrefixCacheIndex* prefixes = nullptr; ///< With a prompt.
  std::string_view inputZone; ///< Where most of the input bytes lie, if any.
  std::uint64_t inputBytes = 0;
  Duration plainTime = std::chrono::milliseconds(50); ///< Of plain services.
  std::span<const std::string> excluded;              ///< Ids that were tried.
};

/** The choice, with what decided it. */
struct ChosenReplica
{
  BackendPtr backend;
  Duration expected{};              ///< Until the first part of the answer.
  std::uint64_t uncachedTokens = 0; ///< Prompt tokens that it must still read.
  double running = 0;               ///< Requests it seemed to have.
  std::uint64_t cachedTokens = 0;   ///< Prompt tokens that it has read before.
};

/**
 * Answers the load of shared prompts and of unequal backend servers.
 *
 * Chooses the least expected time to the first part of the answer: what the
 * replica must read, its own and what waits before it. Shared parts that no
 * replica has read go to one home by rendezvous hash, on which all gateways
 * agree without exchange, unless it is busy. Failures, slowness and distance
 * count as time.
 */
std::optional<ChosenReplica> ChooseReplica(
  std::span<const BackendPtr> aCandidates,
  const ChoiceCriteria& aNeed,
  const BackendLoads& aLoads,
  Instant aNow);

} // namespace gypsum
