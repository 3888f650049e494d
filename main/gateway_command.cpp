#include "main/gateway_command.h"

#include "core/gateway/gateway_settings.h"
#include "drivers/clock.h"
#include "drivers/event_log.h"
#include "kernel/signal_block.h"
#include "main/commands.h"
#include "servers/gateway/gateway_process.h"

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <variant>

namespace gypsum {

namespace {

/** The platform passes the path of the settings file in this variable. */
constexpr const char* kSettingsVariable = "GYPSUMSTREAM_BOOT";

/** A settings file that can't be used may still be in writing at the start. */
constexpr Duration kSettingsWait = std::chrono::seconds(1);
constexpr Duration kSettingsInterval = std::chrono::milliseconds(50);

/** Reads and validates a settings file; if that fails, prints the faults. */
std::optional<GatewaySettings> ReadSettings(const std::string& aPath,
                                            std::ostream& aErrors)
{
  const auto text = ReadFile(aPath, aErrors);
  if (!text) {
    return std::nullopt;
  }
  auto settings = ParseGatewaySettings(*text);
  if (const auto* const faults = std::get_if<Faults>(&settings)) {
    PrintFaults(aPath, *faults, aErrors);
    return std::nullopt;
  }
  return std::get<GatewaySettings>(std::move(settings));
}

/** Waits for a time or a stop signal, which the caller blocks; true for a
 * signal. */
bool IsStoppedWithin(Duration aTime)
{
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  const timespec timeout{ 0, std::chrono::nanoseconds(aTime).count() };
  return sigtimedwait(&stops, nullptr, &timeout) > 0;
}

/** The settings, or the exit code of a process that starts without any. */
std::variant<GatewaySettings, int> AwaitSettings(const std::string& aPath)
{
  const Instant end = Now().steady + kSettingsWait;
  for (;;) {
    std::ostringstream errors;
    if (auto settings = ReadSettings(aPath, errors)) {
      return std::move(*settings);
    }
    if (Now().steady >= end) {
      std::cerr << errors.str();
      return kExitFailure;
    }
    if (IsStoppedWithin(kSettingsInterval)) {
      std::cerr << "stopped before the settings could be used: "
                << errors.str();
      return kExitOk;
    }
  }
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
  const auto result = AwaitSettings(path);
  if (const int* const exitCode = std::get_if<int>(&result)) {
    return *exitCode;
  }
  const auto& settings = std::get<GatewaySettings>(result);
  EventLog log(settings.name,
               settings.logLevel,
               settings.logLinesPerSecond,
               STDOUT_FILENO);
  GatewayProcess process(
    settings, log, [path] { return ReadSettings(path, std::cerr); });
  return process.Run(mask);
}

} // namespace gypsum
