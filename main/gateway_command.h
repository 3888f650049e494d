#pragma once

#include "main/command_support.h"

namespace gypsum {

/** `gateway [FILE]`: runs a gateway until it stops; returns the exit code. */
int RunGatewayCommand(Arguments aArguments);

} // namespace gypsum
