#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Compresses a text with zlib.
 *
 * Each thread caches its last result, because the same text is sent to several
 * peers. The reference is valid until the next call on the same thread.
 */
const std::string& Compress(std::string_view aText);

/** Decompresses a text; nothing if invalid or not `aLength` bytes long. */
std::optional<std::string> Decompress(std::string_view aBytes,
                                      std::uint64_t aLength);

} // namespace gypsum
