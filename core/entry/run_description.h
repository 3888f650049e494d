#pragma once

#include "core/entry/request_run.h"

#include <boost/json/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace gypsum {

/** Requests that a dump lists one by one; the oldest ones. */
constexpr std::size_t kMaxDescribedRuns = 50;

/** Describes the requests in flight: stage, replica, time spent and left. */
void DescribeRuns(const std::map<std::uint64_t, RequestRun>& aRuns,
                  Instant aNow,
                  boost::json::object& aState);

} // namespace gypsum
