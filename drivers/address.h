#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gypsum {

/** Host and port of an `IPv4:port` address. */
struct Address
{
  std::string host;
  std::uint16_t port = 0;
};

/** Splits an address; `IsAddress` must have accepted the text. */
Address SplitAddress(std::string_view aText);

} // namespace gypsum
