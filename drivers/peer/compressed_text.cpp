#include "drivers/peer/compressed_text.h"

#include "core/hash.h"

#include <zlib.h>

#include <stdexcept>

namespace gypsum {

namespace {

// The size limit of a manifest; bounds the memory that a faulty peer can make
// this process allocate.
constexpr std::uint64_t kMaxTextBytes = 1'048'576;

std::string Deflate(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string bytes(size, '\0');
  const int code = compress(reinterpret_cast<Bytef*>(bytes.data()),
                            &size,
                            reinterpret_cast<const Bytef*>(aText.data()),
                            aText.size());
  if (code != Z_OK) {
    throw std::runtime_error("expected zlib to compress, got code " +
                             std::to_string(code));
  }
  bytes.resize(size);
  return bytes;
}

} // namespace

const std::string& Compress(std::string_view aText)
{
  // After a manifest change, one process sends the same text to several peers.
  thread_local std::uint64_t checksum = 0;
  thread_local std::size_t length = 0;
  thread_local std::string bytes;
  if (bytes.empty() || length != aText.size() || checksum != Checksum(aText)) {
    bytes = Deflate(aText);
    length = aText.size();
    checksum = Checksum(aText);
  }
  return bytes;
}

std::optional<std::string> Decompress(std::string_view aBytes,
                                      std::uint64_t aLength)
{
  if (aLength > kMaxTextBytes) {
    return std::nullopt;
  }
  std::string text(aLength, '\0');
  uLongf size = aLength;
  const int code = uncompress(reinterpret_cast<Bytef*>(text.data()),
                              &size,
                              reinterpret_cast<const Bytef*>(aBytes.data()),
                              aBytes.size());
  if (code != Z_OK || size != aLength) {
    return std::nullopt;
  }
  return text;
}

} // namespace gypsum
