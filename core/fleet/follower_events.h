#pragma once

#include "core/agent/agent_events.h"
#include "core/configuration/manifest.h"
#include "core/entry/entry_events.h"
#include "core/fleet/platform_schedule.h"
#include "core/log_line.h"
#include "core/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace gypsum {

/** A message arrived; of most kinds only the header is used. */
struct FollowerMessage
{
  Route route; ///< Empty if the message arrived as a reply.
  PeerMessage message;
};

/** Result of a read of the platform's manifest. */
struct ManifestReadResult
{
  PlatformStatus status = PlatformStatus::Failed;
  std::string text; ///< Only with `Ok`.
};

/** Result of a read of the platform's list of VMs. */
struct VmListReadResult
{
  PlatformStatus status = PlatformStatus::Failed;
  std::vector<std::string> leaving; ///< Replicas; only with `Ok`.
};

/** Periodic event that drives time-outs and scheduled reads. */
struct FollowerTick
{};

using FollowerEvent = std::
  variant<FollowerMessage, ManifestReadResult, VmListReadResult, FollowerTick>;

/** Makes a manifest active; its revision is higher than any before. */
struct AdoptManifest
{
  ManifestPtr manifest;
};

/** Publishes the list of leaving replicas; it may be unchanged. */
struct PublishLeavingList
{
  std::vector<std::string> replicas;
};

/** Reads the manifest from the platform. */
struct ReadManifest
{
  Revision after = 0; ///< Only a higher revision is needed.
  Duration wait{};    ///< How long to watch for one; zero reads at once.
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
