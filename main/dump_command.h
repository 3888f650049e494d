#pragma once

#include "main/command_support.h"

namespace gypsum {

/** `dump ADDRESS`: prints the state of a process; returns the exit code. */
int RunDumpCommand(Arguments aArguments);

} // namespace gypsum
