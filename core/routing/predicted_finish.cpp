#include "core/routing/predicted_finish.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace gypsum {

namespace {

/** Largest number of candidates compared besides the preferred replica. */
constexpr std::size_t kMaxCompared = 24;
constexpr Duration kOtherZonePenalty = std::chrono::milliseconds(2);
/**
 * The preferred replica is used while its expected time to finish is at most
 * this many times the shortest one, or within 80 % of the remaining budget.
 */
constexpr int kMaxPreferredFinishRatio = 3;

/** Indices of all candidates, or of a random sample if there are many. */
std::vector<std::size_t> Sample(std::size_t aSize, RandomSource& aRandom)
{
  std::vector<std::size_t> sample(std::min(aSize, kMaxCompared));
  if (aSize > kMaxCompared) {
    std::uniform_int_distribution<std::size_t> draw(0, aSize - 1);
    std::ranges::generate(sample, [&] { return draw(aRandom); });
    return sample;
  }
  std::iota(sample.begin(), sample.end(), 0);
  // A random start spreads the choice among equally good candidates.
  const auto first = static_cast<std::ptrdiff_t>(aRandom() % aSize);
  std::rotate(sample.begin(), sample.begin() + first, sample.end());
  return sample;
}

} // namespace

Duration ExpectedTimeToFinish(const Member& aMember,
                              const RoutingInput& aInput,
                              Duration aServiceTime)
{
  const ReplicaScore& score = aInput.statistics->scores.ScoreOf(aMember.name);
  const auto busyTime = static_cast<double>(
    (aServiceTime + ExpectedWait(aMember, score, aInput.priority)).count());
  const Duration finish(static_cast<Duration::rep>(
    busyTime * std::max(1.0, score.LatencyRatioAt(aInput.now))));
  return aMember.zone == aInput.zone ? finish : finish + kOtherZonePenalty;
}

Duration ExpectedWait(const Member& aMember,
                      const ReplicaScore& aScore,
                      std::uint32_t aPriority)
{
  const Report& report = aMember.report;
  const std::uint32_t reported = report.queued + report.running;
  const std::uint32_t otherStages =
    reported > aMember.outstanding ? reported - aMember.outstanding : 0;
  const Duration own = aScore.PendingBefore(aPriority);
  const Duration all = aScore.PendingBefore(kPriorityClasses - 1);
  // Reports carry no priorities. Assume that stages of other processes have
  // the same mix of priorities as our own.
  const double share =
    all > Duration::zero()
      ? static_cast<double>(own.count()) / static_cast<double>(all.count())
      : 1.0;
  const auto others = std::chrono::duration_cast<Duration>(report.meanService *
                                                           otherStages * share);
  return (own + others) / std::max(1U, report.concurrency);
}

std::optional<std::size_t> PredictedFinish::Choose(
  std::span<const Member* const> aCandidates,
  const RoutingInput& aInput,
  RandomSource& aRandom) const
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const Duration service = aInput.statistics->times.Estimate(
    { aInput.stage, SizeClass(aInput.inputBytes), false });
  const auto finish = [&](std::size_t aIndex) {
    return ExpectedTimeToFinish(*aCandidates[aIndex], aInput, service);
  };
  const std::vector<std::size_t> compared = Sample(aCandidates.size(), aRandom);
  std::vector<Duration> finishes(compared.size());
  std::ranges::transform(compared, finishes.begin(), finish);
  const auto earliest = std::ranges::min_element(finishes);
  const std::size_t best =
    compared[static_cast<std::size_t>(earliest - finishes.begin())];
  const bool isPreferredEarlyEnough =
    aInput.preferred != kNoReplica &&
    finish(aInput.preferred) <=
      std::max(aInput.budget * 8 / 10, *earliest * kMaxPreferredFinishRatio);
  return isPreferredEarlyEnough ? aInput.preferred : best;
}

static_assert(RoutingPolicy<PredictedFinish>);

} // namespace gypsum
