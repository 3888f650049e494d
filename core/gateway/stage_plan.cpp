#include "core/gateway/stage_plan.h"

#include <algorithm>
#include <utility>

namespace gypsum {

StagePlan::StagePlan(std::span<const RouteStage> aStages,
                     std::span<const std::uint32_t> aPieces)
{
  for (std::size_t index = 0; index < aStages.size(); ++index) {
    Stage stage;
    stage.spec = aStages[index];
    stage.pieces = index < aPieces.size() ? aPieces[index] : 0;
    stage.state = stage.pieces == 0 ? State::Done : State::Waiting;
    stages_.push_back(std::move(stage));
    if (stages_.back().pieces == 0) {
      continue;
    }
    for (const std::uint32_t source : stages_.back().spec.inputStages) {
      stages_[source].readers.push_back(static_cast<std::uint32_t>(index));
    }
  }
}

bool StagePlan::HasWork() const
{
  return std::ranges::any_of(
    stages_, [](const Stage& aStage) { return aStage.pieces > 0; });
}

bool StagePlan::IsDone() const
{
  return std::ranges::all_of(
    stages_, [](const Stage& aStage) { return aStage.state == State::Done; });
}

bool StagePlan::MayStart(const Stage& aStage) const
{
  return aStage.state == State::Waiting &&
         std::ranges::all_of(aStage.spec.inputStages,
                             [&](std::uint32_t aSource) {
                               return stages_[aSource].state == State::Done;
                             });
}

std::vector<std::uint32_t> StagePlan::Ready() const
{
  std::vector<std::uint32_t> ready;
  for (std::uint32_t index = 0; index < stages_.size(); ++index) {
    if (MayStart(stages_[index])) {
      ready.push_back(index);
    }
  }
  return ready;
}

void StagePlan::OnStarted(std::uint32_t aStage)
{
  stages_[aStage].state = State::Running;
}

Duration StagePlan::SlackOf(std::uint32_t aStage, const TimeOf& aTimeOf) const
{
  return Remaining(aTimeOf) - LongestPathFrom(aStage, aTimeOf);
}

void StagePlan::OnDone(std::uint32_t aStage, std::vector<std::string> aHandles)
{
  stages_[aStage].handles = std::move(aHandles);
  stages_[aStage].state = State::Done;
}

std::uint32_t StagePlan::PiecesOf(std::uint32_t aStage) const
{
  return stages_[aStage].pieces;
}

const RouteStage& StagePlan::SpecOf(std::uint32_t aStage) const
{
  return stages_[aStage].spec;
}

std::vector<std::string> StagePlan::InputsOf(std::uint32_t aStage) const
{
  std::vector<std::string> inputs;
  for (const std::uint32_t source : stages_[aStage].spec.inputStages) {
    const auto& handles = stages_[source].handles;
    inputs.insert(inputs.end(), handles.begin(), handles.end());
  }
  return inputs;
}

std::vector<std::string> StagePlan::FinalHandles() const
{
  std::vector<std::string> handles;
  for (const Stage& stage : stages_) {
    if (stage.readers.empty()) {
      handles.insert(handles.end(), stage.handles.begin(), stage.handles.end());
    }
  }
  return handles;
}

std::vector<StagePlan::Released> StagePlan::TakeReleasable()
{
  std::vector<Released> released;
  for (Stage& stage : stages_) {
    const bool isRead =
      !stage.readers.empty() && !stage.isReleased &&
      std::ranges::all_of(stage.readers, [&](std::uint32_t aReader) {
        return stages_[aReader].state == State::Done;
      });
    if (isRead) {
      stage.isReleased = true;
      released.push_back({ stage.spec.service, stage.handles });
    }
  }
  return released;
}

std::vector<StagePlan::Released> StagePlan::TakeAll()
{
  std::vector<Released> released;
  for (Stage& stage : stages_) {
    if (!stage.isReleased && !stage.handles.empty()) {
      stage.isReleased = true;
      released.push_back({ stage.spec.service, stage.handles });
    }
  }
  return released;
}

StagePlan::LargestInput StagePlan::LargestFinalInput() const
{
  LargestInput largest;
  for (const Stage& stage : stages_) {
    const std::uint64_t bytes = stage.spec.resultBytes * stage.pieces;
    if (stage.readers.empty() && !stage.handles.empty() &&
        bytes > largest.bytes) {
      largest = { stage.handles.front(), bytes };
    }
  }
  return largest;
}

StagePlan::LargestInput StagePlan::LargestInputOf(std::uint32_t aStage) const
{
  LargestInput largest;
  for (const std::uint32_t source : stages_[aStage].spec.inputStages) {
    const Stage& stage = stages_[source];
    const std::uint64_t bytes = stage.spec.resultBytes * stage.pieces;
    if (!stage.handles.empty() && bytes > largest.bytes) {
      largest = { stage.handles.front(), bytes };
    }
  }
  return largest;
}

bool StagePlan::IsFinal(std::uint32_t aStage) const
{
  return stages_[aStage].readers.empty();
}

Duration StagePlan::LongestPathFrom(std::uint32_t aStage,
                                    const TimeOf& aTimeOf) const
{
  if (stages_[aStage].state == State::Done) {
    return RemainingAfter(aStage, aTimeOf);
  }
  const StageTime time = aTimeOf(aStage);
  return time.wait + time.work + RemainingAfter(aStage, aTimeOf);
}

Duration StagePlan::RemainingAfter(std::uint32_t aStage,
                                   const TimeOf& aTimeOf) const
{
  Duration longest{};
  for (const std::uint32_t reader : stages_[aStage].readers) {
    longest = std::max(longest, LongestPathFrom(reader, aTimeOf));
  }
  return longest;
}

Duration StagePlan::Remaining(const TimeOf& aTimeOf) const
{
  Duration longest{};
  for (std::uint32_t index = 0; index < stages_.size(); ++index) {
    if (stages_[index].state != State::Done) {
      longest = std::max(longest, LongestPathFrom(index, aTimeOf));
    }
  }
  return longest;
}

} // namespace gypsum
