#pragma once

#include "core/identity.h"
#include "core/time.h"

namespace gypsum {

/** Reads both clocks of this machine. */
ClockReading Now();

/** Draws the incarnation of a starting process; never zero. */
Incarnation DrawIncarnation();

} // namespace gypsum
