#pragma once

#include "main/command_support.h"

namespace gypsum {

/** `entry FILE`: runs an entry until it is stopped; returns the exit code. */
int RunEntryCommand(Arguments aArguments);

/** `agent FILE`: runs an agent until it is stopped; returns the exit code. */
int RunAgentCommand(Arguments aArguments);

} // namespace gypsum
