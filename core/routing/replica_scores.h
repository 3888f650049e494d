#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gypsum {

/** Classes of priority that manifests may use. */
constexpr std::size_t kPriorityClasses = 8;

/** What this process has learned of one replica from its own calls. */
struct ReplicaScore
{
  double latencyRatio =
    1; ///< Smoothed ratio of the time taken to the expected.
  Instant lastSample{};
  std::uint32_t samples = 0;
  std::uint32_t consecutiveFailures = 0;
  std::uint32_t ejections = 0;
  Instant ejectedUntil{};
  /** Expected time of the stages sent and not back, by priority. */
  std::array<Duration, kPriorityClasses> pendingWork{};

  /** The latencyRatio as it stands, fading while no sample comes. */
  double LatencyRatioAt(Instant aNow) const;
  /** ScoreOf the given priority and the more urgent ones. */
  Duration PendingBefore(std::uint32_t aPriority) const;
};

/** The scores of all replicas; ejects stragglers and failing replicas. */
class ReplicaScores
{
public:
  void OnSent(std::string_view aReplica,
              std::uint32_t aPriority,
              Duration aExpected);
  /** A stage came back or was given up; takes its work off. */
  void OnEnded(std::string_view aReplica,
               std::uint32_t aPriority,
               Duration aExpected);
  /** The time of a stage that took, or still takes, `aTime`. */
  void OnTimeSample(std::string_view aReplica,
                    Duration aTime,
                    Duration aExpected,
                    Instant aNow);
  void OnFailure(std::string_view aReplica, Instant aNow);
  const ReplicaScore& ScoreOf(std::string_view aReplica) const;
  bool IsEjected(std::string_view aReplica, Instant aNow) const;

private:
  struct Hash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  ReplicaScore& FindOrAdd(std::string_view aReplica);
  static void Eject(ReplicaScore& aScore, Instant aNow);

  std::unordered_map<std::string, ReplicaScore, Hash, std::equal_to<>> scores_;
  double fleetLatencyRatio_ = 1; ///< ScoreOf the whole fleet, smoothed.
};

} // namespace gypsum
