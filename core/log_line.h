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

/** A log line that the core emits and a driver writes. */
struct LogLine
{
  Severity severity = Severity::Info;
  std::string_view component; ///< Name of the component that logs; a constant.
  std::string text;
};

} // namespace gypsum
