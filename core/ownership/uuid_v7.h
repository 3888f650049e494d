#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace gypsum {

/** Makes a UUIDv7; the number distinguishes keys made at the same time. */
std::string MakeUuidV7(WallTime aTime, std::uint64_t aNumber);

} // namespace gypsum
