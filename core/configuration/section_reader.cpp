#include "core/configuration/section_reader.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <utility>

namespace gypsum {

namespace {

constexpr std::uint64_t kMaxPort = 65535;

bool IsSeparator(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == ',' || aCharacter == '\t';
}

std::string Quoted(std::string_view aText)
{
  return "'" + std::string(aText) + "'";
}

std::string OneOf(const std::set<std::string, std::less<>>& aNames)
{
  return "one of " + boost::algorithm::join(aNames, ", ");
}

} // namespace

SectionReader::SectionReader(const IniSection& aSection, Faults& aFaults)
  : section_(aSection)
  , faults_(aFaults)
{
}

bool SectionReader::Has(std::string_view aKey) const
{
  return std::ranges::any_of(section_.entries, [&](const IniEntry& aEntry) {
    return aEntry.key == aKey;
  });
}

std::string SectionReader::Text(std::string_view aKey,
                                std::string_view aDefault)
{
  const IniEntry* const entry = Find(aKey);
  return entry ? entry->value : std::string(aDefault);
}

std::string SectionReader::RequiredText(std::string_view aKey)
{
  const IniEntry* const entry = Find(aKey);
  if (!entry || entry->value.empty()) {
    Report(aKey, "a value", "none");
    return {};
  }
  return entry->value;
}

std::uint64_t SectionReader::Number(std::string_view aKey,
                                    std::uint64_t aDefault,
                                    std::uint64_t aMin,
                                    std::uint64_t aMax)
{
  const IniEntry* const entry = Find(aKey);
  if (!entry) {
    return aDefault;
  }
  const auto value = ParseNumber(entry->value);
  if (!value || *value < aMin || *value > aMax) {
    Report(aKey,
           "a whole number from " + std::to_string(aMin) + " to " +
             std::to_string(aMax),
           Quoted(entry->value));
    return aDefault;
  }
  return *value;
}

double SectionReader::Decimal(std::string_view aKey,
                              double aDefault,
                              double aMin,
                              double aMax)
{
  const IniEntry* const entry = Find(aKey);
  if (!entry) {
    return aDefault;
  }
  const auto value = ParseDecimal(entry->value);
  if (!value || *value < aMin || *value > aMax) {
    Report(aKey,
           "a number from " + std::to_string(aMin) + " to " +
             std::to_string(aMax),
           Quoted(entry->value));
    return aDefault;
  }
  return *value;
}

bool SectionReader::Flag(std::string_view aKey, bool aDefault)
{
  return Choice(aKey, aDefault ? "true" : "false", { "true", "false" }) ==
         "true";
}

std::string SectionReader::Choice(std::string_view aKey,
                                  std::string_view aDefault,
                                  const std::vector<std::string_view>& aAllowed)
{
  const IniEntry* const entry = Find(aKey);
  if (!entry) {
    return std::string(aDefault);
  }
  if (std::ranges::find(aAllowed, entry->value) == aAllowed.end()) {
    const std::string alternatives = std::accumulate(
      aAllowed.begin() + 1,
      aAllowed.end(),
      std::string(aAllowed.front()),
      [](std::string aJoined, std::string_view aValue) {
        return std::move(aJoined) + " or " + std::string(aValue);
      });
    Report(aKey, alternatives, Quoted(entry->value));
    return std::string(aDefault);
  }
  return entry->value;
}

std::vector<std::string> SectionReader::Words(std::string_view aKey)
{
  const IniEntry* const entry = Find(aKey);
  return entry ? SplitWords(entry->value) : std::vector<std::string>{};
}

void SectionReader::Report(std::string_view aKey,
                           std::string aExpected,
                           std::string aFound)
{
  const auto entry = std::ranges::find(section_.entries, aKey, &IniEntry::key);
  const unsigned line =
    entry == section_.entries.end() ? section_.line : entry->line;
  faults_.push_back({ line,
                      FaultKey(section_, aKey),
                      std::move(aExpected),
                      std::move(aFound) });
}

void SectionReader::Finish()
{
  for (const IniEntry& entry : section_.entries) {
    if (!requestedKeys_.contains(entry.key)) {
      Report(entry.key, OneOf(requestedKeys_), Quoted(entry.key));
    }
  }
}

const IniEntry* SectionReader::Find(std::string_view aKey)
{
  requestedKeys_.emplace(aKey);
  const auto entry = std::ranges::find(section_.entries, aKey, &IniEntry::key);
  return entry == section_.entries.end() ? nullptr : &*entry;
}

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, value);
  if (code != std::errc() || end != last || aText.empty()) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> ParseDecimal(std::string_view aText)
{
  double value = 0.0;
  const char* const last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, value);
  if (code != std::errc() || end != last || aText.empty() ||
      !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string> SplitWords(std::string_view aText)
{
  std::vector<std::string> words;
  boost::split(words, aText, IsSeparator, boost::token_compress_on);
  std::erase(words, "");
  return words;
}

bool IsAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(std::string(aText.substr(0, colon)), error);
  const auto port = ParseNumber(aText.substr(colon + 1));
  return !error && port && *port >= 1 && *port <= kMaxPort;
}

} // namespace gypsum
