#pragma once

#include "core/configuration/fault.h"
#include "core/log_line.h"
#include "core/routing/policy_options.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gypsum {

enum class Role
{
  Entry,
  Agent,
};

/** What one process learns from its own settings file. */
struct Settings
{
  Role role = Role::Entry;
  std::string name;
  std::string zone;
  std::string httpAddress;     ///< Callers (entry) and operators.
  std::string peerAddress;     ///< ZeroMQ socket for the other processes.
  std::string peerBindAddress; ///< What that socket binds, if not the same.
  std::vector<std::string> platformAddresses;
  std::vector<std::string> seedAddresses; ///< Peers to ask for the manifest.
  std::string backendAddress;             ///< Agents only.
  Severity logLevel = Severity::Info;
  std::uint32_t httpThreads = 0;
  std::uint32_t maxRequests = 0;    ///< Requests in flight in one entry.
  std::uint64_t maxBodyBytes = 0;   ///< Largest body of a caller.
  std::uint32_t maxQueued = 0;      ///< Stages waiting in one agent.
  std::uint32_t maxRecords = 0;     ///< Execution records in one agent.
  std::uint64_t maxRecordBytes = 0; ///< Recorded outputs in one agent.
  Duration recordLifetime{};        ///< How long an outcome can be replayed.
  Duration clockError{};            ///< Largest error between wall clocks.
  Duration gracePeriod{};           ///< Longest graceful stop.
  Duration reportInterval{};        ///< Between load reports of an agent.
  Duration platformPollInterval{};  ///< Backstop read of the platform.
  PolicyOptions policy;

  bool operator==(const Settings&) const = default;
};

/** Parses and validates a whole settings file; reports every fault. */
std::variant<Settings, Faults> ParseSettings(std::string_view aText);

} // namespace gypsum
