#pragma once

#include <string>
#include <string_view>

namespace gypsum {

enum class Severity
{
  Debug,
  Info,
  Warning,
  Error,
};

/** A line for the log, asked for by the core and written by a driver. */
struct LogLine
{
  Severity severity = Severity::Info;
  std::string_view component; ///< Fixed prefix of the part that speaks.
  std::string text;
};

} // namespace gypsum
