#pragma once

#include "main/command_support.h"

namespace gypsum {

/** `check FILE...`: validates settings and manifests; returns the exit code. */
int RunCheckCommand(Arguments aArguments);

} // namespace gypsum
