#include "core/gateway/replica_choice.h"

#include "core/hash.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace gypsum {

namespace {

constexpr double kTokensPerMs = BackendLoads::kPromptTokensPerMs;
/** First step of a model replica, from its sheets. */
constexpr double kFirstStepMs = 8.0;
/** What each running request adds to the time of others, about one step. */
constexpr double kRunningMs = 1.0;
/** A server that failed all its recent sends counts as this much slower. */
constexpr double kFailureMs = 3'000.0;
/** A server that could not be reached is taken only if all others are out. */
constexpr double kSuspectMs = 20'000.0;
/** Another availability zone costs a round trip and transfer. */
constexpr double kOtherZoneMs = 2.0;
/** Reading what another replica holds also takes its time from others: it
 * counts this much on top of its own time. */
constexpr double kReadAgainWeight = 0.3;
/** What a home is preferred by, so that gateways agree on new prompts. */
constexpr double kHomeMs = 60.0;
/** Moving a megabyte of inputs across zones, in time worth paying for it. */
constexpr double kInputMegabyteMs = 12.0;

double ExpectedMs(const LoadEstimate& aLoad,
                  const BackendRecord& aBackend,
                  const ChoiceCriteria& aNeed,
                  double aUnread)
{
  if (aNeed.prompt) {
    return aLoad.latencyRatio *
           (kFirstStepMs + kRunningMs * aLoad.running +
            (aLoad.pendingPromptTokens + aUnread) / kTokensPerMs);
  }
  const double plain =
    std::chrono::duration<double, std::milli>(aNeed.plainTime).count();
  const double waiting =
    std::max(0.0, aLoad.running + 1.0 - static_cast<double>(aBackend.slots));
  // Below its slots a busier server is only a little slower.
  const double fill =
    aLoad.running / std::max(1.0, static_cast<double>(aBackend.slots));
  return aLoad.latencyRatio * plain *
         (1.0 + 0.3 * fill +
          waiting / std::max(1.0, static_cast<double>(aBackend.slots)));
}

double PenaltyMs(const LoadEstimate& aLoad,
                 const BackendRecord& aBackend,
                 const ChoiceCriteria& aNeed)
{
  double penalty = aLoad.failures * kFailureMs;
  if (aLoad.isSuspect) {
    penalty += kSuspectMs;
  }
  if (aBackend.zone != aNeed.zone) {
    penalty += kOtherZoneMs;
  }
  if (!aNeed.inputZone.empty() && aBackend.zone != aNeed.inputZone) {
    penalty +=
      kInputMegabyteMs * static_cast<double>(aNeed.inputBytes) / 1'000'000.0;
  }
  return penalty;
}

const BackendRecord* HomeAmong(std::span<const BackendPtr> aCandidates,
                               std::uint64_t aHash)
{
  if (aHash == 0 || aCandidates.empty()) {
    return nullptr;
  }
  return std::ranges::max_element(aCandidates,
                                  {},
                                  [&](const BackendPtr& aBackend) {
                                    return RendezvousWeight(aHash,
                                                            aBackend->id);
                                  })
    ->get();
}

} // namespace

std::vector<PromptPrefix> PromptSpec::SharedPrefixes() const
{
  std::vector<PromptPrefix> prefixes;
  if (parts.size() < 2) {
    return prefixes;
  }
  std::string chain;
  std::uint64_t sum = 0;
  for (const PromptPart& part : std::span(parts).first(parts.size() - 1)) {
    chain.append(part.id).push_back(',');
    sum += part.tokens;
    prefixes.push_back({ Checksum(chain), std::min(sum, tokens) });
  }
  return prefixes;
}

std::optional<ChosenReplica> ChooseReplica(
  std::span<const BackendPtr> aCandidates,
  const ChoiceCriteria& aNeed,
  const BackendLoads& aLoads,
  Instant aNow)
{
  const std::vector<PromptPrefix> prefixes =
    aNeed.prompt ? aNeed.prompt->SharedPrefixes() : std::vector<PromptPrefix>{};
  const BackendRecord* const home =
    prefixes.empty() ? nullptr : HomeAmong(aCandidates, prefixes.back().hash);
  const std::uint64_t tokens = aNeed.prompt ? aNeed.prompt->tokens : 0;
  std::optional<ChosenReplica> best;
  double bestCost = std::numeric_limits<double>::max();
  for (const BackendPtr& candidate : aCandidates) {
    if (std::ranges::find(aNeed.excluded, candidate->id) !=
        aNeed.excluded.end()) {
      continue;
    }
    const std::uint64_t cached =
      aNeed.prefixes ? aNeed.prefixes->CachedTokens(candidate->id, prefixes)
                     : 0;
    const std::uint64_t unread = tokens - std::min(tokens, cached);
    const LoadEstimate load = aLoads.Estimate(candidate->id, aNow);
    const double expected =
      ExpectedMs(load, *candidate, aNeed, static_cast<double>(unread));
    double cost = expected + PenaltyMs(load, *candidate, aNeed) +
                  kReadAgainWeight * static_cast<double>(unread) / kTokensPerMs;
    if (candidate.get() == home) {
      cost -= kHomeMs;
    }
    if (cost >= bestCost) {
      continue;
    }
    bestCost = cost;
    best =
      ChosenReplica{ candidate,
                     Duration(static_cast<std::int64_t>(expected * 1'000.0)),
                     unread,
                     load.running,
                     cached };
  }
  return best;
}

} // namespace gypsum
