#pragma once

#include "core/gateway/backend_loads.h"
#include "core/gateway/backend_registry.h"
#include "core/gateway/prefix_cache_index.h"
#include "core/gateway/send_permissions.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** One part of a prompt; other requests may share all parts but the last. */
struct PromptPart
{
  std::string id;
  std::uint64_t tokens = 0;
};

/** The prompt of a request to a model replica. */
struct PromptSpec
{
  /** Prefixes are told apart in steps of so many tokens, so that a prompt of
   * very many short parts has few of them. */
  static constexpr std::uint64_t kPrefixTokens = 64;

  std::vector<PromptPart> parts;
  std::uint64_t tokens = 0; ///< Tokens of the whole prompt.

  /** The parts that other requests may share: all but the last. */
  std::span<const PromptPart> SharedParts() const
  {
    return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1);
  }
  /** The prefixes that other requests may share, shortest first: the longest,
   * and those in which a multiple of `kPrefixTokens` is reached. */
  std::vector<PromptPrefix> SharedPrefixes() const;
};

/** Properties of a request that decide its backend server. */
struct ChoiceCriteria
{
  std::string_view zone;                      ///< Zone of this gateway.
  const PromptSpec* prompt = nullptr;         ///< For model replicas only.
  const PrefixCacheIndex* prefixes = nullptr; ///< Set if `prompt` is.
  std::string_view inputZone; ///< Zone of most input bytes; may be empty.
  std::uint64_t inputBytes = 0;
  /** Service time of an idle server, for requests without a prompt. */
  Duration plainServiceTime = std::chrono::milliseconds(50);
  std::span<const std::string> excluded; ///< Ids already tried.
  /** The only software version to choose from; empty for any. */
  std::optional<std::string_view> version;
  std::span<const std::string> excludedVersions;
  const SendPermissions* permissions = nullptr; ///< Null: any may be chosen.
};

/** The chosen backend server and the figures behind the choice. */
struct ChosenReplica
{
  BackendPtr backend;
  Duration expected{};              ///< Time to the first part of the response.
  std::uint64_t uncachedTokens = 0; ///< Prompt tokens to process.
  double running = 0;               ///< Estimated running requests.
  std::uint64_t cachedTokens = 0;   ///< Prompt tokens that it has cached.
};

/**
 * Chooses the backend server with the lowest cost for a request; none if all
 * candidates are excluded.
 *
 * The cost is the expected time to the first part of the response: the time to
 * process the uncached part of the prompt and the prompts queued before it.
 * Failures, a high latency ratio and distance add to the cost. The server that
 * rendezvous hashing prefers for the shared prefix gets a bonus: gateways thus
 * agree on where an uncached prefix goes, without coordination, unless that
 * server is busy.
 */
std::optional<ChosenReplica> ChooseReplica(
  std::span<const BackendPtr> aCandidates,
  const ChoiceCriteria& aCriteria,
  const BackendLoads& aLoads,
  Instant aNow);

} // namespace gypsum
