#pragma once

#include "core/configuration/fault.h"

#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** One `key = value` of an INI text, with its line number. */
struct IniEntry
{
  std::string key;
  std::string value;
  unsigned line = 0;
};

/** One `[section]`, with its entries in the order of the text. */
struct IniSection
{
  std::string name;
  unsigned line = 0;
  std::vector<IniEntry> entries;
};

/** A parsed INI text, with the line numbers of its sections and entries. */
class IniDocument
{
public:
  /**
   * Parses a text. Adds a fault for each key before the first section, for each
   * duplicate name and for the first malformed line, where parsing stops.
   */
  static IniDocument Parse(std::string_view aText, Faults& aFaults);

  const std::vector<IniSection>& Sections() const { return sections_; }
  /** The section with a name; null if there is none. */
  const IniSection* Find(std::string_view aName) const;

private:
  std::vector<IniSection> sections_;
};

/** Formats `section/key`, as `Fault::key` has it. */
std::string FaultKey(const IniSection& aSection, std::string_view aKey);

} // namespace gypsum
