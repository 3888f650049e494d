#pragma once

#include "main/command_support.h"

namespace gypsum {

/** `replay TRACE`: replays a trace or generates one; returns the exit code. */
int RunReplayCommand(Arguments aArguments);

} // namespace gypsum
