#pragma once

#include <cstddef>
#include <string_view>

namespace gypsum {

/** Longest text that `IsPlainText` accepts, in bytes. */
inline constexpr std::size_t kMaxPlainTextBytes = 1'024;

/** Whether a foreign text is UTF-8 without control characters, and not too
 * long. */
bool IsPlainText(std::string_view aText);

/** Whether a foreign text can be the value of an HTTP header as it is: plain
 * text that is not empty and has no space at either end. */
bool IsHeaderText(std::string_view aText);

/** Whether a text is printable ASCII, spaces included, or empty. */
bool IsPrintableAscii(std::string_view aText);

} // namespace gypsum
