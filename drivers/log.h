#pragma once

#include "core/log_line.h"

#include <string_view>

namespace gypsum {

/** Sets up the log: lines to standard error from a level on. */
void StartLog(std::string_view aProcess, Severity aLevel);

/** Whether a line of that severity is written; saves building its text. */
bool IsLogged(Severity aSeverity);

/** Writes one line; safe from every thread. */
void Log(const LogLine& aNote);
void Log(Severity aSeverity, std::string_view aPart, std::string_view aText);

} // namespace gypsum
