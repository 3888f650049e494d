#pragma once

#include "core/agent/agent_events.h"
#include "core/agent/customer_shares.h"
#include "core/routing/policy_options.h"
#include "core/routing/service_times.h"

#include <cstddef>
#include <optional>
#include <tuple>
#include <vector>

namespace gypsum {

/** A stage that waits in an agent until the backend server has capacity. */
struct QueuedStage
{
  Route route;
  StageRequest request;
  Instant arrival{};
  Instant deadline{};
};

/** Whether the input is long enough to delay the stages queued behind it. */
bool HasLongInput(const StageRequest& aRequest);

/** Stages that wait in an agent, served in the order of the queue policy. */
class StageQueue
{
public:
  explicit StageQueue(QueueKind aKind = QueueKind::Deadline)
    : kind_(aKind)
  {
  }

  void Push(QueuedStage aStage);
  /** Removes and returns the stage to start next; nothing if none may start. */
  std::optional<QueuedStage> Pop(Instant aNow, bool aMayStartLong = true);
  /** Removes and returns one attempt; nothing if it is not queued. */
  std::optional<QueuedStage> Remove(const StageId& aId);
  /** Removes and returns the stages that cannot finish by their deadline. */
  std::vector<QueuedStage> RemoveExpired(Instant aNow);
  /** Updates the service time estimate with a time at the backend server. */
  void OnServed(const StageRequest& aRequest, Duration aServiceTime);
  std::size_t Size() const { return stages_.size(); }

private:
  using SortKey = std::tuple<std::uint32_t, double, Instant, Instant>;

  SortKey SortKeyOf(const QueuedStage& aStage, Instant aNow) const;
  Duration ExpectedTime(const StageRequest& aRequest) const;

  QueueKind kind_;
  std::vector<QueuedStage> stages_;
  CustomerShares shares_;
  ServiceTimes times_;
};

} // namespace gypsum
