#pragma once

#include "core/agent/agent_events.h"
#include "core/configuration/manifest.h"
#include "core/entry/entry_events.h"
#include "core/fleet/platform_schedule.h"
#include "core/messages.h"
#include "core/log_line.h"

#include <string>
#include <variant>
#include <vector>

namespace gypsum {

/** A message came in; its header alone may matter. */
struct FollowerMessage
{
  Route route; ///< Empty if it came as a reply.
  PeerMessage message;
};

/** A read of the platform's manifest ended. */
struct ManifestReadResult
{
  PlatformStatus status = PlatformStatus::Failed;
  std::string text; ///< Only with `Ok`.
};

/** A read of the platform's list of VMs ended. */
struct VmListReadResult
{
  PlatformStatus status = PlatformStatus::Failed;
  std::vector<std::string> leaving; ///< Only with `Ok`.
};

/** Time has passed. */
struct FollowerTick
{};

using FollowerEvent = std::
  variant<FollowerMessage, ManifestReadResult, VmListReadResult, FollowerTick>;

/** A manifest is in force from now on; its revision is the highest yet. */
struct AdoptManifest
{
  ManifestPtr manifest;
};

/** The replicas known as leaving have changed, or are told again. */
struct PublishLeavingList
{
  std::vector<std::string> replicas;
};

/** Reads the manifest from the platform. */
struct ReadManifest
{
  Revision after = 0; ///< Only a newer one is of use.
  Duration wait{};    ///< How long to watch for a newer one; zero to read.
};

/** Reads the list of VMs from the platform. */
struct ReadVmList
{};

using FollowerEffect = std::variant<AdoptManifest,
                                    PublishLeavingList,
                                    ReadManifest,
                                    ReadVmList,
                                    SendTo,
                                    SendBack,
                                    LogLine>;
using FollowerEffects = std::vector<FollowerEffect>;

} // namespace gypsum
