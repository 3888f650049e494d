#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace gypsum {

/** Parameters of the simulated model engine and of a plain service. */
struct EngineModel
{
  std::uint32_t bytesPerToken = 4;
  double prefillTokensPerMs = 8;
  double encodeTokensPerMs = 80;  ///< For stages that generate no tokens.
  double tokenBaseMs = 12;        ///< Token interval of an empty batch.
  double tokenPerRunningMs = 1.5; ///< Added for each running call.
  double sharedPrefixShare = 0.8; ///< Part of the input that is the prefix.
  std::uint32_t prefixCacheTokens = 40'000; ///< Capacity of the prefix cache.
  /** Prefill time of a chunk; an urgent call waits for at most one. */
  double prefillChunkMs = 64;
  double plainCallMs = 12; ///< Duration of a call to a plain service.
};

/** The properties of a call that determine its duration. */
struct ModelCall
{
  bool isEngine = false;
  bool isGenerating = false;
  std::uint32_t inputBytes = 0;
  std::uint32_t outputTokens = 0;
  std::uint32_t prefix = 0; ///< Id of the shared prefix; 0: none.
  bool isUrgent = false;    ///< Has the most urgent priority.
};

/** Durations of one call and the time that it occupies the server. */
struct ModelTimes
{
  Duration untilFirstToken{};
  Duration total{};
  Duration work{};          ///< `total` without waiting for the prefill unit.
  double cachedShare = 0;   ///< Share of the input found in the cache.
  Duration tokenInterval{}; ///< Between two tokens; 0 without generation.
};

/**
 * Simulates the timing of a backend server in virtual time, for replay.
 *
 * An engine prefills one call at a time at a fixed token rate and decodes all
 * running calls as one batch, whose time per token grows with its size. Input
 * tokens found in the LRU prefix cache need no prefill. Prefill runs in chunks;
 * between two chunks an urgent call goes ahead of all others. The duration of a
 * call is computed once, from the batch size at its start. A plain service
 * takes constant time.
 */
class BackendModel
{
public:
  explicit BackendModel(EngineModel aModel)
    : model_(aModel)
  {
  }

  /** Starts a call and returns its durations. */
  ModelTimes Start(const ModelCall& aCall, Instant aNow);
  /** Ends a call and removes it from the batch. */
  void End() { --running_; }
  /** Multiplies the duration of all later calls; 1 is normal speed. */
  void SetSlowdown(double aFactor) { slowdown_ = aFactor; }

private:
  /** Reserves the prefill unit; returns when the prefill ends. */
  Instant SchedulePrefill(const ModelCall& aCall,
                          Duration aDuration,
                          Instant aNow);
  /** Makes the prefix the most recently used; returns its cached tokens. */
  std::uint32_t UsePrefixCache(const ModelCall& aCall, std::uint32_t aTokens);

  EngineModel model_;
  double slowdown_ = 1;
  std::uint32_t running_ = 0;
  Instant prefillFreeAt_{};
  Instant urgentPrefillFreeAt_{};
  /** Prefixes with their tokens, least recently used first. */
  std::deque<std::pair<std::uint32_t, std::uint32_t>> cache_;
  std::uint32_t cachedTokens_ = 0;
};

} // namespace gypsum
