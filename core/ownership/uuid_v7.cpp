#include "core/ownership/uuid_v7.h"

#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace gypsum {

namespace {

constexpr std::size_t kTimeBytes = 6;
constexpr std::size_t kFirstNumberByte = 9;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint8_t kVersion7 = 0x70;
constexpr std::uint8_t kVariant = 0x80;

/** Writes the low bytes of a number, the most significant first. */
template<typename Iterator>
void WriteBytes(std::uint64_t aNumber, Iterator aFirst, Iterator aLast)
{
  while (aLast != aFirst) {
    *--aLast = static_cast<std::uint8_t>(aNumber);
    aNumber >>= kBitsPerByte;
  }
}

} // namespace

std::string MakeUuidV7(WallTime aTime, std::uint64_t aNumber)
{
  boost::uuids::uuid uuid{};
  const auto milliseconds =
    static_cast<std::uint64_t>(aTime.time_since_epoch().count());
  WriteBytes(milliseconds, uuid.begin(), uuid.begin() + kTimeBytes);
  WriteBytes(aNumber, uuid.begin() + kFirstNumberByte, uuid.end());
  uuid.data[kTimeBytes] = kVersion7;
  uuid.data[kFirstNumberByte - 1] = kVariant;
  return boost::uuids::to_string(uuid);
}

} // namespace gypsum
