#pragma once

#include "core/gateway/served_configuration.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace gypsum {

/** Expected time to compute the pieces of one stage. */
struct StageTime
{
  Duration work{}; ///< Duration of a call with only these pieces.
  Duration wait{}; ///< Time until that call starts.
};

/**
 * Dependency graph of the stages of one request, with their progress.
 *
 * Stages without pieces count as done, so a stage that reads only from such
 * stages can start at once.
 */
class StagePlan
{
public:
  /** `aPieces` holds the piece count of each stage; missing counts are zero. */
  StagePlan(std::span<const RouteStage> aStages,
            std::span<const std::uint32_t> aPieces);

  bool HasWork() const;
  bool IsDone() const;
  /** Stages that can start; `OnStarted` removes a stage from the list. */
  std::vector<std::uint32_t> Ready() const;
  void OnStarted(std::uint32_t aStage);
  void OnDone(std::uint32_t aStage, std::vector<std::string> aHandles);

  std::uint32_t PiecesOf(std::uint32_t aStage) const;
  const RouteStage& SpecOf(std::uint32_t aStage) const;
  /** Handles of all results that a stage reads. */
  std::vector<std::string> InputsOf(std::uint32_t aStage) const;
  /** Handles of the results that the request itself reads: those of stages
   * that no other stage reads. */
  std::vector<std::string> FinalHandles() const;
  /** Results of one stage service that are no longer needed. */
  struct Released
  {
    std::string service;
    std::vector<std::string> handles;
  };
  /** Takes the results that neither a stage nor the request will read again. */
  std::vector<Released> TakeReleasable();
  /** Takes all results that have not been released. */
  std::vector<Released> TakeAll();
  /** Results of one stage, by their total size and their first handle. */
  struct LargestInput
  {
    std::string handle;
    std::uint64_t bytes = 0;
  };
  /** Largest of the stage results that the request itself reads. */
  LargestInput LargestFinalInput() const;
  /** Largest of the stage results that each piece of a stage reads. */
  LargestInput LargestInputOf(std::uint32_t aStage) const;
  /** Whether the request itself reads the results of a stage. */
  bool IsFinal(std::uint32_t aStage) const;

  using TimeOf = std::function<StageTime(std::uint32_t)>;
  /** Longest time from the end of a stage to the end of the plan. */
  Duration RemainingAfter(std::uint32_t aStage, const TimeOf& aTimeOf) const;
  /** Maximum delay of a ready stage that does not prolong the plan. */
  Duration SlackOf(std::uint32_t aStage, const TimeOf& aTimeOf) const;
  /** Longest time through all stages that are not done. */
  Duration Remaining(const TimeOf& aTimeOf) const;

private:
  enum class State
  {
    Waiting,
    Running,
    Done,
  };
  struct Stage
  {
    RouteStage spec;
    std::uint32_t pieces = 0;
    State state = State::Waiting;
    std::vector<std::string> handles;
    std::vector<std::uint32_t> readers;
    bool isReleased = false;
  };

  Duration LongestPathFrom(std::uint32_t aStage, const TimeOf& aTimeOf) const;
  bool MayStart(const Stage& aStage) const;

  std::vector<Stage> stages_;
};

} // namespace gypsum
