#include "main/role_command.h"

#include "core/configuration/ini_document.h"
#include "core/configuration/settings.h"
#include "main/commands.h"
#include "main/process.h"

#include <algorithm>
#include <variant>

namespace gypsum {

namespace {

Fault WrongRole(const std::string& aText, Role aExpected)
{
  Faults ignored;
  const IniDocument document = IniDocument::Parse(aText, ignored);
  const auto& entries = document.Find("process")->entries;
  const auto role = std::ranges::find(entries, "role", &IniEntry::key);
  return { role->line,
           "process/role",
           aExpected == Role::Entry ? "entry" : "agent",
           "'" + role->value + "'" };
}

int RunRole(Arguments aArguments, Role aRole, const std::string& aSummary)
{
  TCLAP::CmdLine line(aSummary, ' ', kVersion);
  TCLAP::UnlabeledValueArg<std::string> file(
    "settings", "settings file (INI)", true, "", "FILE", line);
  Parse(line, aArguments);
  const auto text = ReadFile(file.getValue());
  if (!text) {
    return kExitFailure;
  }
  const auto settings = ParseSettings(*text);
  if (const auto* const faults = std::get_if<Faults>(&settings)) {
    PrintFaults(file.getValue(), *faults);
    return kExitFailure;
  }
  const Settings& accepted = std::get<Settings>(settings);
  if (accepted.role != aRole) {
    PrintFaults(file.getValue(), { WrongRole(*text, aRole) });
    return kExitFailure;
  }
  return aRole == Role::Entry ? RunEntry(accepted) : RunAgent(accepted);
}

} // namespace

int RunEntryCommand(Arguments aArguments)
{
  return RunRole(aArguments, Role::Entry, "Serves callers on an entry VM.");
}

int RunAgentCommand(Arguments aArguments)
{
  return RunRole(
    aArguments, Role::Agent, "Runs stages beside one backend server.");
}

} // namespace gypsum
