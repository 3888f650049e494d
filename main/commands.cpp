#include "main/commands.h"

#include "main/check_command.h"
#include "main/command_support.h"
#include "main/dump_command.h"
#include "main/gateway_command.h"
#include "main/load_command.h"
#include "main/replay_command.h"
#include "main/role_command.h"

#include <algorithm>
#include <array>
#include <exception>
#include <iostream>
#include <string_view>

namespace gypsum {

namespace {

struct Command
{
  std::string_view name;
  std::string_view summary;
  int (*run)(Arguments);
};

int RunVersionCommand(Arguments aArguments)
{
  TCLAP::CmdLine line("Prints the version.", ' ', kVersion);
  Parse(line, aArguments);
  std::cout << "gypsumstream " << kVersion << "\n";
  return kExitOk;
}

constexpr std::string_view kVersionName = "version";

constexpr std::array kCommands{
  Command{ "entry", "serve callers on an entry VM", RunEntryCommand },
  Command{ "agent", "run stages beside a backend server", RunAgentCommand },
  Command{ "gateway",
           "serve clients on the operators' platform",
           RunGatewayCommand },
  Command{ "check", "validate settings files and manifests", RunCheckCommand },
  Command{ "dump", "print the state of a process", RunDumpCommand },
  Command{ "load", "send a trace to entries over HTTP", RunLoadCommand },
  Command{ "replay", "replay a trace in virtual time", RunReplayCommand },
  Command{ kVersionName, "print the version", RunVersionCommand },
};

void PrintUsage(std::ostream& aOut)
{
  aOut << "usage: gypsumstream COMMAND [ARGUMENTS]\n\ncommands:\n";
  for (const Command& command : kCommands) {
    aOut << "  " << command.name << "  " << command.summary << "\n";
  }
  aOut << "\ngypsumstream COMMAND --help tells the arguments of a command.\n";
}

int RunCommand(const Command& aCommand, Arguments aArguments)
{
  try {
    return aCommand.run(aArguments);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "gypsumstream " << aCommand.name << ": " << error.error()
              << " (" << error.argId() << ")\n";
    return kExitUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const std::exception& error) {
    std::cerr << "gypsumstream " << aCommand.name << ": " << error.what()
              << "\n";
    return kExitFailure;
  }
}

} // namespace

int RunCommandLine(std::span<const std::string> aArguments)
{
  if (aArguments.size() < 2) {
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  const std::string_view name = aArguments[1];
  if (name == "--help" || name == "-h") {
    PrintUsage(std::cout);
    return kExitOk;
  }
  const std::string_view commandName =
    name == "--version" ? kVersionName : name;
  const auto command =
    std::ranges::find(kCommands, commandName, &Command::name);
  if (command == kCommands.end()) {
    std::cerr << "gypsumstream: expected a command, got '" << name << "'\n";
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  return RunCommand(*command, aArguments.subspan(1));
}

} // namespace gypsum
