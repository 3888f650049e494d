#pragma once

#include "core/configuration/manifest.h"
#include "core/messages.h"
#include "core/log_line.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gypsum {

/** Where a reply goes; opaque to the core. */
using Route = std::string;

/** A message that came in from a peer. */
struct AgentMessage
{
  Route route;
  PeerMessage message;
};

/** What a call to the backend server came to. */
struct BackendResult
{
  bool wasSent = true;     ///< False only if not one byte can have gone out.
  unsigned httpStatus = 0; ///< Zero if no whole reply came.
  std::string body;
};

/** A call to the backend server ended. */
struct BackendReturned
{
  std::uint64_t call = 0;
  BackendResult result;
};

struct AgentManifestAdopted
{
  ManifestPtr manifest;
};

/** The replicas that the platform lists as leaving. */
struct AgentLeavingListUpdated
{
  std::vector<std::string> replicas;
};

/** The process was asked to stop. */
struct AgentStopRequested
{};

/** Time has passed. */
struct AgentTick
{};

using AgentEvent = std::variant<AgentMessage,
                                BackendReturned,
                                AgentManifestAdopted,
                                AgentLeavingListUpdated,
                                AgentStopRequested,
                                AgentTick>;

/** Sends a message back along a route. */
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

/** Closes the connection of a call whose result no longer matters. */
struct AbortBackend
{
  std::uint64_t call = 0;
};

/** Nothing is left to do; the process may exit. */
struct AgentDrained
{};

using AgentEffect = std::
  variant<SendBack, SendTo, CallBackend, AbortBackend, AgentDrained, LogLine>;
using AgentEffects = std::vector<AgentEffect>;

} // namespace gypsum
