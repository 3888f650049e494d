#pragma once

#include "core/configuration/manifest.h"
#include "core/replay/trace.h"

#include <optional>
#include <string>

namespace gypsum {

/** A trace and the manifest that it refers to. */
struct TraceFiles
{
  Trace trace;
  ManifestPtr manifest;
};

/** Reads a trace and its manifest; prints any faults to standard error. */
std::optional<TraceFiles> ReadTraceFiles(const std::string& aPath);

} // namespace gypsum
