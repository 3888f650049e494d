#pragma once

#include "core/configuration/manifest.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Maximum number of replicas of one service that a process tracks. */
constexpr std::size_t kMaxTrackedPerService = 24;

/**
 * Selects the replicas of a service that a process sends work to.
 *
 * Uses the highest rendezvous weights for the name of the process, so that
 * processes select different replicas and a change of the replicas of the
 * service changes few selections.
 */
std::vector<std::string> SelectSubset(const ServiceSpec& aService,
                                      std::string_view aProcess);

} // namespace gypsum
