#include "core/configuration/fault.h"

namespace gypsum {

std::string ToText(const std::string& aFile, const Fault& aFault)
{
  return aFile + ":" + std::to_string(aFault.line) + ": " + aFault.key +
         ": expected " + aFault.expected + ", found " + aFault.found;
}

} // namespace gypsum
