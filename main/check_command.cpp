#include "main/check_command.h"

#include "core/configuration/ini_document.h"
#include "core/configuration/manifest.h"
#include "core/configuration/settings.h"
#include "core/gateway/gateway_settings.h"
#include "main/commands.h"

#include <algorithm>
#include <iostream>
#include <variant>

namespace gypsum {

namespace {

template<typename Accepted>
Faults FaultsOf(const std::variant<Accepted, Faults>& aResult)
{
  const Faults* const faults = std::get_if<Faults>(&aResult);
  return faults ? *faults : Faults{};
}

/** Settings have a section [gateway] or [process]; others are manifests. */
Faults Check(const std::string& aText)
{
  Faults ignored;
  const IniDocument document = IniDocument::Parse(aText, ignored);
  if (document.Find("gateway")) {
    return FaultsOf(ParseGatewaySettings(aText));
  }
  return document.Find("process") ? FaultsOf(ParseSettings(aText))
                                  : FaultsOf(ParseManifest(aText));
}

bool IsFileValid(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return false;
  }
  const Faults faults = Check(*text);
  PrintFaults(aPath, faults);
  if (faults.empty()) {
    std::cout << aPath << ": valid\n";
  }
  return faults.empty();
}

} // namespace

int RunCheckCommand(Arguments aArguments)
{
  TCLAP::CmdLine line("Validates settings files and manifests.", ' ', kVersion);
  TCLAP::UnlabeledMultiArg<std::string> files(
    "files", "files to check", true, "FILE", line);
  Parse(line, aArguments);
  const auto invalid = std::ranges::count(files.getValue(), false, IsFileValid);
  return invalid == 0 ? kExitOk : kExitFailure;
}

} // namespace gypsum
