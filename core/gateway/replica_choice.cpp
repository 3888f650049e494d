#include "core/gateway/replica_choice.h"

#include "core/hash.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace gypsum {

namespace {

constexpr double kTokensPerMs = BackendLoads::kPromptTokensPerMs;
/** Time of a model replica's first step, from its data sheets. */
constexpr double kFirstStepMs = 8.0;
/** Delay that each running request adds to the others, about one step. */
constexpr double kMsPerRunningRequest = 1.0;
/** Cost of a server whose recent sends all failed; scaled by the share that
 * failed. */
constexpr double kFailurePenaltyMs = 3'000.0;
/** Cost of a suspect server: it is chosen only if no other is left. */
constexpr double kSuspectPenaltyMs = 20'000.0;
/** Cost of a cold server, which takes few requests and has cached nothing: it
 * is for those that the warm ones would keep waiting. */
constexpr double kColdPenaltyMs = 100.0;
/** Cost of the round trip and transfer to another availability zone. */
constexpr double kOtherZonePenaltyMs = 2.0;
/** Extra cost of uncached prompt tokens, relative to their processing time:
 * processing them again also delays the replica's other requests. */
constexpr double kUncachedPromptWeight = 0.3;
/** Bonus of the preferred replica, so that gateways agree on new prompts. */
constexpr double kPreferredReplicaBonusMs = 60.0;
/** Cost of moving a megabyte of inputs across zones, expressed as time. */
constexpr double kInputTransferMsPerMegabyte = 12.0;

double ExpectedMs(const LoadEstimate& aLoad,
                  const BackendRecord& aBackend,
                  const ChoiceCriteria& aCriteria,
                  double aUncachedTokens)
{
  if (aCriteria.prompt) {
    return aLoad.latencyRatio *
           (kFirstStepMs + kMsPerRunningRequest * aLoad.running +
            (aLoad.pendingPromptTokens + aUncachedTokens) / kTokensPerMs);
  }
  const double serviceMs =
    std::chrono::duration<double, std::milli>(aCriteria.plainServiceTime)
      .count();
  const double queued =
    std::max(0.0, aLoad.running + 1.0 - static_cast<double>(aBackend.slots));
  // While slots are free, a busier server is only a little slower.
  const double utilization =
    aLoad.running / std::max(1.0, static_cast<double>(aBackend.slots));
  return aLoad.latencyRatio * serviceMs *
         (1.0 + 0.3 * utilization +
          queued / std::max(1.0, static_cast<double>(aBackend.slots)));
}

double PenaltyMs(const LoadEstimate& aLoad,
                 const BackendRecord& aBackend,
                 const ChoiceCriteria& aCriteria)
{
  double penalty = aLoad.failures * kFailurePenaltyMs;
  if (aLoad.isSuspect) {
    penalty += kSuspectPenaltyMs;
  }
  if (aBackend.zone != aCriteria.zone) {
    penalty += kOtherZonePenaltyMs;
  }
  if (!aCriteria.inputZone.empty() && aBackend.zone != aCriteria.inputZone) {
    penalty += kInputTransferMsPerMegabyte *
               static_cast<double>(aCriteria.inputBytes) / 1'000'000.0;
  }
  return penalty;
}

/** The candidate that rendezvous hashing selects, a cold one only if no other
 * is left; null for a zero hash. */
const BackendRecord* PreferredReplica(std::span<const BackendPtr> aCandidates,
                                      std::uint64_t aHash,
                                      const SendPermissions* aPermissions,
                                      Instant aNow)
{
  if (aHash == 0 || aCandidates.empty()) {
    return nullptr;
  }
  return std::ranges::max_element(
           aCandidates,
           {},
           [&](const BackendPtr& aBackend) {
             const bool isWarm =
               !aPermissions || !aPermissions->IsCold(*aBackend, aNow);
             return std::pair(isWarm, RendezvousWeight(aHash, aBackend->id));
           })
    ->get();
}

} // namespace

std::vector<PromptPrefix> PromptSpec::SharedPrefixes() const
{
  std::vector<PromptPrefix> prefixes;
  std::string link;
  PromptPrefix prefix;
  std::uint64_t sum = 0;
  const auto shared = SharedParts();
  for (const PromptPart& part : shared) {
    // Each hash is made of the one before, not of all parts up to here.
    link = std::to_string(prefix.hash).append(",").append(part.id);
    const std::uint64_t steps = sum / kPrefixTokens;
    sum += part.tokens;
    prefix = { Checksum(link), std::min(sum, tokens) };
    if (sum / kPrefixTokens > steps || &part == &shared.back()) {
      prefixes.push_back(prefix);
    }
  }
  return prefixes;
}

std::optional<ChosenReplica> ChooseReplica(
  std::span<const BackendPtr> aCandidates,
  const ChoiceCriteria& aCriteria,
  const BackendLoads& aLoads,
  Instant aNow)
{
  const std::vector<PromptPrefix> prefixes =
    aCriteria.prompt ? aCriteria.prompt->SharedPrefixes()
                     : std::vector<PromptPrefix>{};
  const BackendRecord* const preferred =
    prefixes.empty()
      ? nullptr
      : PreferredReplica(
          aCandidates, prefixes.back().hash, aCriteria.permissions, aNow);
  const std::uint64_t tokens = aCriteria.prompt ? aCriteria.prompt->tokens : 0;
  std::optional<ChosenReplica> best;
  double bestCost = std::numeric_limits<double>::max();
  for (const BackendPtr& candidate : aCandidates) {
    const bool isExcluded =
      std::ranges::find(aCriteria.excluded, candidate->id) !=
      aCriteria.excluded.end();
    const bool hasExcludedVersion =
      std::ranges::find(aCriteria.excludedVersions, candidate->version) !=
      aCriteria.excludedVersions.end();
    const bool isHeld =
      aCriteria.permissions &&
      !aCriteria.permissions->AskUsable(*candidate, LimitPlace::Open, aNow)
         .IsGranted();
    if (isExcluded || hasExcludedVersion || isHeld ||
        (aCriteria.version && candidate->version != *aCriteria.version)) {
      continue;
    }
    const std::uint64_t cachedTokens =
      aCriteria.prefixes
        ? aCriteria.prefixes->CachedTokens(candidate->id, prefixes)
        : 0;
    const std::uint64_t uncachedTokens =
      tokens - std::min(tokens, cachedTokens);
    const LoadEstimate load = aLoads.Estimate(candidate->id, aNow);
    const double expected = ExpectedMs(
      load, *candidate, aCriteria, static_cast<double>(uncachedTokens));
    double cost = expected + PenaltyMs(load, *candidate, aCriteria) +
                  kUncachedPromptWeight * static_cast<double>(uncachedTokens) /
                    kTokensPerMs;
    if (candidate.get() == preferred) {
      cost -= kPreferredReplicaBonusMs;
    }
    if (aCriteria.permissions &&
        aCriteria.permissions->IsCold(*candidate, aNow)) {
      cost += kColdPenaltyMs;
    }
    if (cost >= bestCost) {
      continue;
    }
    bestCost = cost;
    best =
      ChosenReplica{ candidate,
                     Duration(static_cast<std::int64_t>(expected * 1'000.0)),
                     uncachedTokens,
                     load.running,
                     cachedTokens };
  }
  return best;
}

} // namespace gypsum
