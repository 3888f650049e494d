#include "drivers/address.h"

#include <charconv>

namespace gypsum {

Address SplitAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  Address address;
  address.host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  std::from_chars(port.data(), port.data() + port.size(), address.port);
  return address;
}

} // namespace gypsum
