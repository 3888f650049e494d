#pragma once

#include "core/configuration/ini_document.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/**
 * Reads typed values of one section and reports each fault.
 *
 * A getter that finds a fault returns the default, so that one run reports all
 * faults. `Finish` reports the keys that no getter has read.
 */
class SectionReader
{
public:
  SectionReader(const IniSection& aSection, Faults& aFaults);

  bool Has(std::string_view aKey) const;
  std::string Text(std::string_view aKey, std::string_view aDefault);
  /** Reports a fault and returns an empty text if there is no value. */
  std::string RequiredText(std::string_view aKey);
  std::uint64_t Number(std::string_view aKey,
                       std::uint64_t aDefault,
                       std::uint64_t aMin,
                       std::uint64_t aMax);
  /** A decimal number; a fraction is allowed. */
  double Decimal(std::string_view aKey,
                 double aDefault,
                 double aMin,
                 double aMax);
  /** Accepts `true` and `false`. */
  bool Flag(std::string_view aKey, bool aDefault);
  std::string Choice(std::string_view aKey,
                     std::string_view aDefault,
                     const std::vector<std::string_view>& aAllowed);
  /** A list separated by blanks, tabs or commas; empty without the key. */
  std::vector<std::string> Words(std::string_view aKey);

  /** Adds a fault at the line of a key. */
  void Report(std::string_view aKey, std::string aExpected, std::string aFound);
  /** Reports every key of the section that no getter has read. */
  void Finish();

private:
  const IniEntry* Find(std::string_view aKey);

  const IniSection& section_;
  Faults& faults_;
  std::set<std::string, std::less<>> requestedKeys_;
};

/** Parses a whole number in decimal digits; nothing for any other text. */
std::optional<std::uint64_t> ParseNumber(std::string_view aText);

/** Parses a finite decimal number; nothing for any other text. */
std::optional<double> ParseDecimal(std::string_view aText);

/** The words of a text, separated by blanks, tabs or commas. */
std::vector<std::string> SplitWords(std::string_view aText);

/** Whether the text is `IPv4:port` with a port from 1 to 65535. */
bool IsAddress(std::string_view aText);

} // namespace gypsum
