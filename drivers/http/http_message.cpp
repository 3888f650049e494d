#include "drivers/http/http_message.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace gypsum {

std::string_view HttpRequest::Header(std::string_view aName) const
{
  const auto found = std::ranges::find_if(headers, [&](const auto& aHeader) {
    return boost::algorithm::iequals(aHeader.first, aName);
  });
  return found == headers.end() ? std::string_view{} : found->second;
}

} // namespace gypsum
