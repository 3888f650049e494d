#pragma once

#include "core/configuration/manifest.h"

#include <cstddef>
#include <string>

namespace gypsum::bench {

/** Size of a synthetic fleet. */
struct FleetSize
{
  std::size_t replicas = 0;
  std::size_t customers = 0;
  std::size_t zones = 12;
};

/**
 * Returns the manifest text of a synthetic fleet with nine engine services, two
 * plain services and eleven pipelines of four stages, the last being a booking.
 */
std::string FleetManifestText(const FleetSize& aSize, Revision aRevision);

/** Returns the parsed manifest; throws if it is not valid. */
ManifestPtr FleetManifest(const FleetSize& aSize, Revision aRevision);

} // namespace gypsum::bench
