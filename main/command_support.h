#pragma once

#include "core/configuration/fault.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <optional>
#include <span>
#include <string>

namespace gypsum {

constexpr const char* kVersion = "0.1.0";

/** Arguments of a command; the first one is its name. */
using Arguments = std::span<const std::string>;

/** Parses the arguments; throws `TCLAP::ArgException` for a usage error. */
void Parse(TCLAP::CmdLine& aLine, Arguments aArguments);

/** Reads a file; if that fails, prints the error. */
std::optional<std::string> ReadFile(const std::string& aPath,
                                    std::ostream& aErrors = std::cerr);

/** Prints each fault on a line of its own. */
void PrintFaults(const std::string& aPath,
                 const Faults& aFaults,
                 std::ostream& aErrors = std::cerr);

} // namespace gypsum
