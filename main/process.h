#pragma once

#include "core/configuration/settings.h"

namespace gypsum {

/** Runs an entry until its graceful stop; returns the exit code. */
int RunEntry(const Settings& aSettings);

/** Runs an agent until its graceful stop; returns the exit code. */
int RunAgent(const Settings& aSettings);

} // namespace gypsum
