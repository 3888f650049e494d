#pragma once

#include "core/log_line.h"

#include <string_view>

namespace gypsum {

/** Sets up the log: lines of at least that severity go to standard error. */
void StartLog(std::string_view aProcess, Severity aLevel);

/** Whether lines of that severity are written; lets callers skip building the
 * text. */
bool IsLogged(Severity aSeverity);

/** Writes one line; thread-safe. */
void Log(const LogLine& aLine);
void Log(Severity aSeverity,
         std::string_view aComponent,
         std::string_view aText);

} // namespace gypsum
