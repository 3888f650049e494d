#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace gypsum {

/** The UUIDv7 of a time and a number that tells keys of one time apart. */
std::string MakeUuidV7(WallTime aTime, std::uint64_t aNumber);

} // namespace gypsum
