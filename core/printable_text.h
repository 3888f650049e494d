#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gypsum {

/** Bytes of a foreign text that are shown at most. */
inline constexpr std::size_t kMaxPrintedBytes = 256;

/** A foreign text as one line of printable ASCII: other bytes are written as
 * `%XX`, and a long text ends with `...`. */
std::string ToPrintable(std::string_view aText);

} // namespace gypsum
