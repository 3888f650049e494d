#pragma once

#include "main/command_support.h"

namespace gypsum {

/** `load TRACE`: sends a trace to entries; returns the exit code. */
int RunLoadCommand(Arguments aArguments);

} // namespace gypsum
