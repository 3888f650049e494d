#include "core/agent/stage_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsum {

namespace {

constexpr std::size_t kLongInputBytes = 16'384;
/** Waiting time that raises a stage by one priority class. */
constexpr Duration kAgeingInterval = std::chrono::seconds(2);
/** A stage needs this multiple of its expected service time to be started. */
constexpr double kServiceTimeMargin = 1.3;
/** Charged at least, so that shares are counted before any time is known. */
constexpr Duration kMinServiceTime = std::chrono::milliseconds(10);

StageKind KindOf(const StageRequest& aRequest)
{
  return { StageKey(aRequest.pipeline, aRequest.id.stage),
           SizeClass(aRequest.input.size()),
           false };
}

std::uint32_t AgedPriority(const QueuedStage& aStage, Instant aNow)
{
  const auto aged = (aNow - aStage.arrival) / kAgeingInterval;
  const auto priority = static_cast<Duration::rep>(aStage.request.priority);
  return static_cast<std::uint32_t>(
    std::max<Duration::rep>(0, priority - aged));
}

} // namespace

bool HasLongInput(const StageRequest& aRequest)
{
  return aRequest.input.size() >= kLongInputBytes;
}

void StageQueue::Push(QueuedStage aStage)
{
  stages_.push_back(std::move(aStage));
}

StageQueue::SortKey StageQueue::SortKeyOf(const QueuedStage& aStage,
                                          Instant aNow) const
{
  switch (kind_) {
    case QueueKind::FirstComeFirstServed:
      return { 0, 0, aStage.arrival, {} };
    case QueueKind::Deadline:
      return { aStage.request.priority, 0, aStage.deadline, aStage.arrival };
    case QueueKind::Fair:
      break;
  }
  return { AgedPriority(aStage, aNow),
           shares_.VirtualStartOf(aStage.request.id.request.customer),
           aStage.deadline,
           aStage.arrival };
}

std::optional<QueuedStage> StageQueue::Pop(Instant aNow, bool aMayStartLong)
{
  const auto isExcluded = [&](const QueuedStage& aStage) {
    return !aMayStartLong && HasLongInput(aStage.request);
  };
  auto next = stages_.end();
  for (auto stage = stages_.begin(); stage != stages_.end(); ++stage) {
    const bool isNext =
      !isExcluded(*stage) && (next == stages_.end() ||
                              SortKeyOf(*stage, aNow) < SortKeyOf(*next, aNow));
    next = isNext ? stage : next;
  }
  if (next == stages_.end()) {
    return std::nullopt;
  }
  QueuedStage stage = std::move(*next);
  stages_.erase(next);
  shares_.OnStarted(stage.request.id.request.customer,
                    stage.request.weight,
                    std::max(kMinServiceTime, ExpectedTime(stage.request)));
  return stage;
}

std::optional<QueuedStage> StageQueue::Remove(const StageId& aId)
{
  const auto found =
    std::ranges::find_if(stages_, [&](const QueuedStage& aStage) {
      return aStage.request.id == aId;
    });
  if (found == stages_.end()) {
    return std::nullopt;
  }
  QueuedStage stage = std::move(*found);
  stages_.erase(found);
  return stage;
}

std::vector<QueuedStage> StageQueue::RemoveExpired(Instant aNow)
{
  const auto late = std::stable_partition(
    stages_.begin(), stages_.end(), [&](const QueuedStage& aStage) {
      // A stage that has not waited is always tried; otherwise no new service
      // time would ever correct a wrong estimate.
      const bool usesEstimate =
        kind_ == QueueKind::Fair && aStage.arrival < aNow;
      const auto needed =
        usesEstimate ? std::chrono::duration_cast<Duration>(
                         ExpectedTime(aStage.request) * kServiceTimeMargin)
                     : Duration::zero();
      return aStage.deadline > aNow + needed;
    });
  std::vector<QueuedStage> expired(std::make_move_iterator(late),
                                   std::make_move_iterator(stages_.end()));
  stages_.erase(late, stages_.end());
  return expired;
}

void StageQueue::OnServed(const StageRequest& aRequest, Duration aServiceTime)
{
  times_.Record(KindOf(aRequest), aServiceTime);
}

Duration StageQueue::ExpectedTime(const StageRequest& aRequest) const
{
  return times_.Estimate(KindOf(aRequest));
}

} // namespace gypsum
