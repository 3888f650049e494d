#include "main/command_support.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

namespace gypsum {

namespace {

bool IsOption(const std::string& aWord)
{
  return aWord.size() > 1 && aWord.starts_with('-');
}

bool MatchesName(const TCLAP::Arg& aArgument, const std::string& aWord)
{
  return aWord == "-" + aArgument.getFlag() ||
         aWord == "--" + aArgument.getName();
}

/** TCLAP would accept an unknown option as a positional argument. */
void RejectUnknownOptions(TCLAP::CmdLine& aLine, Arguments aArguments)
{
  const auto& known = aLine.getArgList();
  const auto last = std::ranges::find(aArguments, "--");
  const auto unknown =
    std::find_if(aArguments.begin(), last, [&](const std::string& aWord) {
      return IsOption(aWord) &&
             std::ranges::none_of(known, [&](const TCLAP::Arg* aArgument) {
               return MatchesName(*aArgument, aWord);
             });
    });
  if (unknown != last) {
    throw TCLAP::CmdLineParseException(
      "expected an option of this command, got '" + *unknown + "'", *unknown);
  }
}

} // namespace

void Parse(TCLAP::CmdLine& aLine, Arguments aArguments)
{
  aLine.setExceptionHandling(false);
  RejectUnknownOptions(aLine, aArguments);
  std::vector<std::string> words(aArguments.begin(), aArguments.end());
  words.front() = "gypsumstream " + words.front();
  aLine.parse(words);
}

std::optional<std::string> ReadFile(const std::string& aPath,
                                    std::ostream& aErrors)
{
  std::ifstream in(aPath, std::ios::binary);
  // A directory can be opened and reads as an empty file.
  if (!in || std::filesystem::is_directory(aPath)) {
    aErrors << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void PrintFaults(const std::string& aPath,
                 const Faults& aFaults,
                 std::ostream& aErrors)
{
  for (const Fault& fault : aFaults) {
    aErrors << ToText(aPath, fault) << "\n";
  }
}

} // namespace gypsum
