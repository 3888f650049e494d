#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gypsum {

/** Number of priority classes that manifests may use. */
constexpr std::size_t kPriorityClasses = 8;

/** Statistics of one replica from the calls of this process. */
struct ReplicaScore
{
  double latencyRatio = 1; ///< Smoothed ratio of measured to expected time.
  Instant lastSample{};
  std::uint32_t samples = 0;
  std::uint32_t consecutiveFailures = 0;
  std::uint32_t ejections = 0;
  Instant ejectedUntil{};
  /** Expected service time of the outstanding stages, by priority. */
  std::array<Duration, kPriorityClasses> pendingWork{};

  /** Latency ratio at a time; decays towards one without new samples. */
  double LatencyRatioAt(Instant aNow) const;
  /** Pending work of the given priority and all more urgent ones. */
  Duration PendingBefore(std::uint32_t aPriority) const;
};

/** Scores of all replicas; ejects stragglers and failing replicas. */
class ReplicaScores
{
public:
  void OnSent(std::string_view aReplica,
              std::uint32_t aPriority,
              Duration aExpected);
  /** A stage completed, failed or was abandoned; subtracts its pending work. */
  void OnEnded(std::string_view aReplica,
               std::uint32_t aPriority,
               Duration aExpected);
  /**
   * Adds a time sample of a stage. `aTime` is its service time, or the time
   * since sending if the stage was abandoned.
   */
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
  double fleetLatencyRatio_ = 1; ///< Smoothed over all samples of all replicas.
};

} // namespace gypsum
