#pragma once

#include "core/configuration/section_reader.h"
#include "core/configuration/settings.h"
#include "tests/support/document.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace gypsum::tests {

using KeyValues = std::map<std::string, std::map<std::string, std::string>>;

/** The smallest valid settings of a role, with one setting added or changed. */
inline std::string SettingsText(const std::string& aRole,
                                const std::string& aKey = {},
                                const std::string& aValue = {})
{
  KeyValues values{
    { "process", { { "role", aRole }, { "name", "n" }, { "zone", "z" } } },
    { "network",
      { { "http", "127.0.0.1:7001" }, { "peer", "127.0.0.1:7002" } } }
  };
  if (aRole == "agent") {
    values["network"]["backend"] = "127.0.0.1:7003";
  }
  if (!aKey.empty()) {
    const std::size_t slash = aKey.find('/');
    values[aKey.substr(0, slash)][aKey.substr(slash + 1)] = aValue;
  }
  std::ostringstream text;
  for (const auto& [section, entries] : values) {
    text << "[" << section << "]\n";
    for (const auto& [key, value] : entries) {
      text << key << " = " << value << "\n";
    }
  }
  return text.str();
}

inline Faults SettingsFaults(const std::string& aText)
{
  const auto parsed = ParseSettings(aText);
  const Faults* const faults = std::get_if<Faults>(&parsed);
  return faults ? *faults : Faults{};
}

/** The names that the fault for an unknown name lists as allowed. */
inline std::vector<std::string> AllowedNames(const std::string& aRole,
                                             const std::string& aUnknownKey)
{
  for (const Fault& fault :
       SettingsFaults(SettingsText(aRole, aUnknownKey, "1"))) {
    if (fault.expected.starts_with("one of ")) {
      return SplitWords(fault.expected.substr(7));
    }
  }
  return {};
}

inline std::string SettingKey(std::string aSection, const std::string& aKey)
{
  return std::move(aSection.append("/").append(aKey));
}

/** Every setting of either role, as `section/key`. */
inline std::set<std::string> AllSettings()
{
  std::set<std::string> allSettings;
  for (const std::string role : { "entry", "agent" }) {
    for (const std::string& section : AllowedNames(role, "nowhere/x")) {
      for (const std::string& key :
           AllowedNames(role, SettingKey(section, "x"))) {
        allSettings.insert(SettingKey(section, key));
      }
    }
  }
  return allSettings;
}

inline bool IsOutOfRange(const std::string& aKey, std::uint64_t aValue)
{
  const Faults faults =
    SettingsFaults(SettingsText("entry", aKey, std::to_string(aValue)));
  return std::ranges::any_of(faults, [&](const Fault& aFault) {
    return aFault.key == aKey && aFault.expected.starts_with("a whole number");
  });
}

TEST_CASE(
  "[Settings] every setting has a table row in docs/SETTINGS.md with its range "
  "and default")
{
  // Columns: key, unit, range, default, meaning.
  const auto rows = TableRows("docs/SETTINGS.md");
  const std::set<std::string> allSettings = AllSettings();
  REQUIRE(allSettings.size() > 10);
  for (const std::string& key : allSettings) {
    CAPTURE(key);
    const auto row = rows.find(key);
    REQUIRE(row != rows.end());
    REQUIRE(row->second.size() == 5);
    CHECK_FALSE(row->second[1].empty());
    CHECK_FALSE(row->second[4].empty());
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::string separator;
    if (!(std::istringstream(row->second[2]) >> min >> separator >> max)) {
      continue;
    }
    CHECK_FALSE(IsOutOfRange(key, min));
    CHECK_FALSE(IsOutOfRange(key, max));
    CHECK(IsOutOfRange(key, max + 1));
    CHECK((min == 0 || IsOutOfRange(key, min - 1)));
    const auto defaults = ParseSettings(SettingsText("entry"));
    const auto documented =
      ParseSettings(SettingsText("entry", key, row->second[3]));
    REQUIRE(std::holds_alternative<Settings>(documented));
    CHECK(std::get<Settings>(defaults) == std::get<Settings>(documented));
  }
}

TEST_CASE("[Settings] an entry without more HTTP threads than requests is "
          "refused")
{
  const Faults faults =
    SettingsFaults(SettingsText("entry", "limits/requests", "450"));
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].key == "limits/http_threads");
}

} // namespace gypsum::tests
