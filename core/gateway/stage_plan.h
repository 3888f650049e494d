#pragma once

#include "core/gateway/served_configuration.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace gypsum {

/** What making the pieces of one stage takes. */
struct StageTime
{
  Duration work{}; ///< Of one call with the pieces of this request alone.
  Duration wait{}; ///< Expected until that call starts.
};

/**
 * The stages of one request: what may start, what it reads, how long it takes.
 *
 * Stages with no pieces are left out; what reads only left-out stages starts
 * at once.
 */
class StagePlan
{
public:
  /** `aPieces` counts by stage; missing counts are zero. */
  StagePlan(std::span<const RouteStage> aStages,
            std::span<const std::uint32_t> aPieces);

  bool HasWork() const;
  bool IsDone() const;
  /** Stages that may start; the same until they are marked. */
  std::vector<std::uint32_t> Ready() const;
  void OnStarted(std::uint32_t aStage);
  void OnDone(std::uint32_t aStage, std::vector<std::string> aHandles);

  std::uint32_t PiecesOf(std::uint32_t aStage) const;
  const RouteStage& SpecOf(std::uint32_t aStage) const;
  /** Handles of all pieces of the stages that this one reads. */
  std::vector<std::string> InputsOf(std::uint32_t aStage) const;
  /** Handles of the stages that no other stage reads. */
  std::vector<std::string> FinalHandles() const;
  /** Results of one stage service. */
  struct Released
  {
    std::string service;
    std::vector<std::string> handles;
  };
  /** Results that no stage and not the request itself will read any more. */
  std::vector<Released> TakeReleasable();
  /** All that was made and not released. */
  std::vector<Released> TakeAll();
  /** Bytes of the results that the request itself reads, largest stage. */
  struct LargestInput
  {
    std::string handle;
    std::uint64_t bytes = 0;
  };
  LargestInput LargestFinalInput() const;
  /** The same of what one piece of a stage reads. */
  LargestInput LargestInputOf(std::uint32_t aStage) const;
  /** Whether the request itself reads the results of a stage. */
  bool IsFinal(std::uint32_t aStage) const;

  using TimeOf = std::function<StageTime(std::uint32_t)>;
  /** Longest way from the start of a stage's successors to the end. */
  Duration RemainingAfter(std::uint32_t aStage, const TimeOf& aTimeOf) const;
  /** How much later a ready stage may start without prolonging the whole. */
  Duration SlackOf(std::uint32_t aStage, const TimeOf& aTimeOf) const;
  /** Longest way through all stages that are not done. */
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

  Duration LongestFrom(std::uint32_t aStage, const TimeOf& aTimeOf) const;
  bool MayStart(const Stage& aStage) const;

  std::vector<Stage> stages_;
};

} // namespace gypsum
