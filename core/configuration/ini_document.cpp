#include "core/configuration/ini_document.h"

#include "core/configuration/ini_handler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsum {

namespace {

/** Collects parser events into sections. */
class SectionCollector : public IniHandler
{
public:
  SectionCollector(std::vector<IniSection>& aSections, Faults& aFaults)
    : sections_(aSections)
    , faults_(aFaults)
  {
  }

  void OnSection(const std::string& aName, unsigned aLine) override
  {
    sections_.push_back({ aName, aLine, {} });
  }

  void OnValue(const std::string& aKey,
               const std::string& aValue,
               unsigned aLine) override
  {
    if (sections_.empty()) {
      faults_.push_back({ aLine, aKey, "a [section] before any key", aKey });
      return;
    }
    sections_.back().entries.push_back({ aKey, aValue, aLine });
  }

  void OnMalformed(unsigned aLine) override
  {
    faults_.push_back(
      { aLine, "", "[section], key = value or a comment", "a malformed line" });
  }

private:
  std::vector<IniSection>& sections_;
  Faults& faults_;
};

void ReportDuplicateNames(const std::vector<IniSection>& aSections,
                          Faults& aFaults)
{
  std::set<std::string_view> sectionNames;
  for (const IniSection& section : aSections) {
    if (!sectionNames.insert(section.name).second) {
      aFaults.push_back({ section.line,
                          section.name,
                          "each section once",
                          "[" + section.name + "] again" });
    }
    std::set<std::string_view> keys;
    for (const IniEntry& entry : section.entries) {
      if (!keys.insert(entry.key).second) {
        aFaults.push_back({ entry.line,
                            FaultKey(section, entry.key),
                            "each key once in a section",
                            entry.key + " again" });
      }
    }
  }
}

} // namespace

IniDocument IniDocument::Parse(std::string_view aText, Faults& aFaults)
{
  IniDocument document;
  SectionCollector collector(document.sections_, aFaults);
  ParseIni(aText, collector);
  ReportDuplicateNames(document.sections_, aFaults);
  return document;
}

const IniSection* IniDocument::Find(std::string_view aName) const
{
  const auto found = std::ranges::find(sections_, aName, &IniSection::name);
  return found == sections_.end() ? nullptr : &*found;
}

std::string FaultKey(const IniSection& aSection, std::string_view aKey)
{
  return aSection.name + "/" + std::string(aKey);
}

} // namespace gypsum
