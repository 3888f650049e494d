#pragma once

#include "core/entry/request_run.h"

#include <boost/json/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace gypsum {

/** Maximum number of requests listed in a dump; the oldest are listed. */
constexpr std::size_t kMaxDescribedRuns = 50;

/** Describes requests in flight: stage, replica, elapsed and remaining time. */
void DescribeRuns(const std::map<std::uint64_t, RequestRun>& aRuns,
                  Instant aNow,
                  boost::json::object& aState);

} // namespace gypsum
