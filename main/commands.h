#pragma once

#include <span>
#include <string>

namespace gypsum {

/** Exit codes of the command line. */
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

/** Runs `gypsumstream ARGUMENTS`; returns the exit code. */
int RunCommandLine(std::span<const std::string> aArguments);

} // namespace gypsum
