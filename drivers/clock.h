#pragma once

#include "core/identity.h"
#include "core/time.h"

namespace gypsum {

/** Reads the steady clock and the wall clock. */
ClockReading Now();

/** Draws a random incarnation for a starting process; never zero. */
Incarnation DrawIncarnation();

} // namespace gypsum
