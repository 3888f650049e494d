#pragma once

#include "core/replay/trace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Returns the names of all traces that can be generated. */
std::vector<std::string> GeneratedTraceNames();

/** Generates a trace from a seed; `nullopt` if the name is unknown. */
std::optional<Trace> GenerateTrace(std::string_view aName, std::uint64_t aSeed);

} // namespace gypsum
