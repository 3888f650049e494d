#pragma once

#include "core/configuration/manifest.h"
#include "core/log_line.h"
#include "core/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gypsum {

/** Return path to the sender of a message; opaque to the core. */
using Route = std::string;

/** A message was received from a peer. */
struct AgentMessage
{
  Route route;
  PeerMessage message;
};

/** Result of a call to the backend server. */
struct BackendResult
{
  bool wasSent = true;     ///< False only if no byte can have been sent.
  unsigned httpStatus = 0; ///< Zero if no complete reply was received.
  std::string body;
};

/** A call to the backend server ended. */
struct BackendReturned
{
  std::uint64_t call = 0;
  BackendResult result;
};

/** A manifest was received and validated. */
struct AgentManifestAdopted
{
  ManifestPtr manifest;
};

/** The platform's list of leaving replicas has changed. */
struct AgentLeavingListUpdated
{
  std::vector<std::string> replicas;
};

/** The process was requested to stop. */
struct AgentStopRequested
{};

/** Periodic event that drives timeouts and retries. */
struct AgentTick
{};

using AgentEvent = std::variant<AgentMessage,
                                BackendReturned,
                                AgentManifestAdopted,
                                AgentLeavingListUpdated,
                                AgentStopRequested,
                                AgentTick>;

/** Sends a message to the peer that a route leads to. */
struct SendBack
{
  Route route;
  PeerMessage message;
};

/** Calls the local backend server. */
struct CallBackend
{
  std::uint64_t call = 0;
  std::string operation;
  RequestId id;
  std::string input;
  Duration timeout{};
  bool isRepeatable = true;
  std::uint32_t priority = 0; ///< Zero is the most urgent class.
};

/** Closes the connection of a call whose result is no longer needed. */
struct AbortBackend
{
  std::uint64_t call = 0;
};

/** All accepted work is done; the process may exit. */
struct AgentDrained
{};

using AgentEffect = std::
  variant<SendBack, SendTo, CallBackend, AbortBackend, AgentDrained, LogLine>;
using AgentEffects = std::vector<AgentEffect>;

} // namespace gypsum
