#include "core/entry/run_description.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <iterator>

namespace gypsum {

namespace {

std::int64_t MillisecondsOf(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

void DescribeRun(const RequestRun& aRun,
                 Instant aNow,
                 boost::json::object& aState)
{
  aState["pipeline"] = aRun.pipeline->name;
  aState["stage"] = aRun.Stage().name;
  aState["attempts"] = aRun.attemptsOfStage;
  aState["replica"] = aRun.attempt == 0 ? "" : aRun.target;
  aState["started"] = aRun.hasStarted;
  aState["revision"] = aRun.manifest->revision;
  aState["elapsed_ms"] = MillisecondsOf(aNow - aRun.arrival);
  aState["remaining_ms"] = MillisecondsOf(aRun.deadline - aNow);
}

} // namespace

void DescribeRuns(const std::map<std::uint64_t, RequestRun>& aRuns,
                  Instant aNow,
                  boost::json::object& aState)
{
  // Call numbers increase in order of arrival, so the oldest come first.
  const auto listed = std::min(aRuns.size(), kMaxDescribedRuns);
  const auto last = std::next(aRuns.begin(), static_cast<long>(listed));
  std::for_each(aRuns.begin(), last, [&](const auto& aItem) {
    const RequestRun& run = aItem.second;
    DescribeRun(run, aNow, aState[ToText(run.id)].emplace_object());
  });
}

} // namespace gypsum
