#pragma once

#include "core/time.h"

#include <optional>
#include <string_view>

namespace gypsum {

/** Creation time of a UUIDv7 key; nothing for any other key. */
std::optional<WallTime> UuidV7Time(std::string_view aKey);

} // namespace gypsum
