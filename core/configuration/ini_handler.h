#pragma once

#include <string>
#include <string_view>

namespace gypsum {

/** Receives the contents of an INI text; line numbers start at 1. */
class IniHandler
{
public:
  virtual ~IniHandler() = default;
  virtual void OnSection(const std::string& aName, unsigned aLine) = 0;
  virtual void OnValue(const std::string& aKey,
                       const std::string& aValue,
                       unsigned aLine) = 0;
  virtual void OnMalformed(unsigned aLine) = 0;
};

/** Parses an INI text with cxxtools; stops at a malformed line. */
void ParseIni(std::string_view aText, IniHandler& aHandler);

} // namespace gypsum
