#include "core/routing/replica_scores.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gypsum {

namespace {

/** Weight of a new sample in the latency ratio of its replica. */
constexpr double kSmoothing = 0.3;
/** Weight of a new sample in the latency ratio of the whole fleet. */
constexpr double kFleetSmoothing = 0.02;
constexpr double kMaxLatencyRatio = 10;
constexpr double kStragglerLatencyRatio = 2.5;
constexpr std::uint32_t kMinSamples = 4;
constexpr std::uint32_t kMaxConsecutiveFailures = 3;
/** Length of the first ejection; doubles for each one that follows. */
constexpr Duration kBaseEjection = std::chrono::seconds(2);
/** Decay without samples lets an unused slow replica get work again. */
constexpr Duration kLatencyRatioHalfLife = std::chrono::seconds(5);
constexpr std::uint32_t kMaxDoublings = 3;

} // namespace

double ReplicaScore::LatencyRatioAt(Instant aNow) const
{
  if (latencyRatio == 1) {
    return 1;
  }
  const auto halvings = static_cast<double>((aNow - lastSample).count()) /
                        static_cast<double>(kLatencyRatioHalfLife.count());
  return 1 + (latencyRatio - 1) * std::exp2(-halvings);
}

Duration ReplicaScore::PendingBefore(std::uint32_t aPriority) const
{
  const auto end = pendingWork.begin() +
                   std::min<std::size_t>(kPriorityClasses, aPriority + 1);
  return std::accumulate(pendingWork.begin(), end, Duration::zero());
}

void ReplicaScores::OnSent(std::string_view aReplica,
                           std::uint32_t aPriority,
                           Duration aExpected)
{
  FindOrAdd(aReplica).pendingWork.at(aPriority) += aExpected;
}

void ReplicaScores::OnEnded(std::string_view aReplica,
                            std::uint32_t aPriority,
                            Duration aExpected)
{
  Duration& pending = FindOrAdd(aReplica).pendingWork.at(aPriority);
  pending = std::max(Duration::zero(), pending - aExpected);
}

void ReplicaScores::OnTimeSample(std::string_view aReplica,
                                 Duration aTime,
                                 Duration aExpected,
                                 Instant aNow)
{
  if (aExpected <= Duration::zero()) {
    return;
  }
  const double ratio = std::min(kMaxLatencyRatio,
                                static_cast<double>(aTime.count()) /
                                  static_cast<double>(aExpected.count()));
  fleetLatencyRatio_ += kFleetSmoothing * (ratio - fleetLatencyRatio_);
  ReplicaScore& score = FindOrAdd(aReplica);
  score.consecutiveFailures = 0;
  score.latencyRatio = score.LatencyRatioAt(aNow);
  score.latencyRatio += kSmoothing * (ratio - score.latencyRatio);
  score.lastSample = aNow;
  ++score.samples;
  const bool isStraggler =
    score.samples >= kMinSamples &&
    score.latencyRatio >
      kStragglerLatencyRatio * std::max(1.0, fleetLatencyRatio_);
  if (isStraggler) {
    Eject(score, aNow);
  } else if (score.samples > 4 * kMinSamples) {
    score.ejections = 0;
  }
}

void ReplicaScores::OnFailure(std::string_view aReplica, Instant aNow)
{
  ReplicaScore& score = FindOrAdd(aReplica);
  if (++score.consecutiveFailures >= kMaxConsecutiveFailures) {
    Eject(score, aNow);
    // After the ejection, a single failure ejects the replica again.
    score.consecutiveFailures = kMaxConsecutiveFailures - 1;
  }
}

void ReplicaScores::Eject(ReplicaScore& aScore, Instant aNow)
{
  if (aScore.ejectedUntil > aNow) {
    return;
  }
  aScore.ejectedUntil = aNow + kBaseEjection * (1U << aScore.ejections);
  aScore.ejections = std::min(aScore.ejections + 1, kMaxDoublings);
}

const ReplicaScore& ReplicaScores::ScoreOf(std::string_view aReplica) const
{
  static const ReplicaScore kUnknown;
  const auto found = scores_.find(aReplica);
  return found == scores_.end() ? kUnknown : found->second;
}

bool ReplicaScores::IsEjected(std::string_view aReplica, Instant aNow) const
{
  return ScoreOf(aReplica).ejectedUntil > aNow;
}

ReplicaScore& ReplicaScores::FindOrAdd(std::string_view aReplica)
{
  const auto found = scores_.find(aReplica);
  return found != scores_.end()
           ? found->second
           : scores_.emplace(std::string(aReplica), ReplicaScore{})
               .first->second;
}

} // namespace gypsum
