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

/** Settings of one process, from its own settings file. */
struct Settings
{
  Role role = Role::Entry;
  std::string name;
  std::string zone;
  std::string httpAddress;     ///< For callers (entry only) and operators.
  std::string peerAddress;     ///< ZeroMQ socket that peers connect to.
  std::string peerBindAddress; ///< Local address that this socket binds.
  std::vector<std::string> platformAddresses;
  /** Peers to request the manifest from. */
  std::vector<std::string> seedAddresses;
  std::string backendAddress; ///< Set for agents only.
  Severity logLevel = Severity::Info;
  std::uint32_t httpThreads = 0;    ///< Threads of the HTTP server.
  std::uint32_t maxRequests = 0;    ///< Requests in flight in one entry.
  std::uint64_t maxBodyBytes = 0;   ///< Largest body of a caller's request.
  std::uint32_t maxQueued = 0;      ///< Stages waiting in one agent.
  std::uint32_t maxRecords = 0;     ///< Execution records in one agent.
  std::uint64_t maxRecordBytes = 0; ///< Recorded outputs in one agent.
  Duration recordLifetime{};        ///< How long an outcome can be replayed.
  Duration clockError{};     ///< Largest difference between two wall clocks.
  Duration gracePeriod{};    ///< Longest duration of a graceful stop.
  Duration reportInterval{}; ///< Time between load reports of an agent.
  Duration platformPollInterval{}; ///< Mean time between backstop reads.
  PolicyOptions policy;

  bool operator==(const Settings&) const = default;
};

/** Parses and validates a settings file; reports every fault in it. */
std::variant<Settings, Faults> ParseSettings(std::string_view aText);

} // namespace gypsum
