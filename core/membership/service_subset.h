#pragma once

#include "core/configuration/manifest.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Replicas of one service that one process tracks at most. */
constexpr std::size_t kMaxTrackedPerService = 24;

/**
 * The replicas of a service that a process sends its work to.
 *
 * The highest by rendezvous hashing of the process's name: processes choose
 * differently, and a change of the service moves few choices.
 */
std::vector<std::string> SelectSubset(const ServiceSpec& aService,
                                      std::string_view aProcess);

} // namespace gypsum
