#pragma once

#include "core/configuration/manifest.h"

#include <string>
#include <variant>

namespace gypsum::tests {

/** A small valid manifest with an engine service and a plain service. */
inline std::string SampleManifestText(unsigned aRevision = 1)
{
  return "[manifest]\n"
         "name = sample\n"
         "revision = " +
         std::to_string(aRevision) +
         "\n"
         "[zones]\n"
         "zone-a = home\n"
         "[customers]\n"
         "atelier = 2\n"
         "[service.writer]\n"
         "kind = engine\n"
         "concurrency = 2\n"
         "[replicas.writer]\n"
         "writer-1 = zone-a 127.0.0.1:7001\n"
         "writer-2 = zone-a 127.0.0.1:7002\n"
         "[service.booking]\n"
         "kind = plain\n"
         "concurrency = 1\n"
         "[replicas.booking]\n"
         "booking-1 = zone-a 127.0.0.1:7101\n"
         "[pipeline.hold]\n"
         "deadline_ms = 1000\n"
         "priority = 0\n"
         "stages = draft confirm\n"
         "[stage.hold.draft]\n"
         "service = writer\n"
         "operation = /draft\n"
         "[stage.hold.confirm]\n"
         "service = booking\n"
         "operation = /confirm\n"
         "repeatable = false\n";
}

inline ManifestPtr SampleManifest(unsigned aRevision = 1)
{
  return std::get<ManifestPtr>(ParseManifest(SampleManifestText(aRevision)));
}

} // namespace gypsum::tests
