#include "main/gateway_command.h"

#include "core/gateway/gateway_settings.h"
#include "drivers/event_log.h"
#include "kernel/signal_block.h"
#include "main/commands.h"
#include "servers/gateway/gateway_process.h"

#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <variant>

namespace gypsum {

namespace {

/** The platform passes the path of the settings file in this variable. */
constexpr const char* kSettingsVariable = "GYPSUMSTREAM_BOOT";

/** Reads and validates a settings file; if that fails, prints the faults. */
std::optional<GatewaySettings> ReadSettings(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return std::nullopt;
  }
  auto settings = ParseGatewaySettings(*text);
  if (const auto* const faults = std::get_if<Faults>(&settings)) {
    PrintFaults(aPath, *faults);
    return std::nullopt;
  }
  return std::get<GatewaySettings>(std::move(settings));
}

} // namespace

int RunGatewayCommand(Arguments aArguments)
{
  const sigset_t mask = BlockSignals();
  TCLAP::CmdLine line(
    "Serves clients and calls backend servers itself.", ' ', kVersion);
  TCLAP::UnlabeledValueArg<std::string> file(
    "settings",
    "settings file (INI); without it, the one named in GYPSUMSTREAM_BOOT",
    false,
    "",
    "FILE",
    line);
  Parse(line, aArguments);
  std::string path = file.getValue();
  if (path.empty()) {
    const char* const named = std::getenv(kSettingsVariable);
    path = named ? named : "";
  }
  if (path.empty()) {
    std::cerr << "expected a settings file or " << kSettingsVariable
              << ", got neither\n";
    return kExitUsage;
  }
  const auto settings = ReadSettings(path);
  if (!settings) {
    return kExitFailure;
  }
  EventLog log(settings->name,
               settings->logLevel,
               settings->logLinesPerSecond,
               STDOUT_FILENO);
  GatewayProcess process(*settings, log, [path] { return ReadSettings(path); });
  return process.Run(mask);
}

} // namespace gypsum
