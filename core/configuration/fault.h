#pragma once

#include <string>
#include <vector>

namespace gypsum {

/** One fault in a settings file or a manifest. */
struct Fault
{
  unsigned line = 0; ///< Counted from 1; zero if no line applies.
  std::string key;   ///< `section/key`, or the name of a section.
  std::string expected;
  std::string found;
};

using Faults = std::vector<Fault>;

/** Formats as `FILE:LINE: KEY: expected EXPECTED, found FOUND`. */
std::string ToText(const std::string& aFile, const Fault& aFault);

} // namespace gypsum
