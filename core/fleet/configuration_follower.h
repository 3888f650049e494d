#pragma once

#include "core/fleet/follower_events.h"
#include "core/fleet/leaving_list.h"
#include "core/fleet/platform_schedule.h"
#include "core/fleet/zone_view.h"

#include <boost/json/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gypsum {

/** Settings of a `ConfigurationFollower`. */
struct FollowerOptions
{
  ProcessId self;
  std::string zone;
  std::string address;            ///< Address of this process's peer socket.
  std::vector<std::string> seeds; ///< Peers to request the first manifest from.
  bool hasPlatform = true;        ///< False if no platform address is set.
  /** Mean time between backstop reads; grows with the size of the zone. */
  Duration pollInterval{};
  std::uint64_t seed = 0; ///< Seed of the random choices and jitter.
  /** Parses a manifest; replaceable, for instance to cache the results. */
  std::function<std::variant<ManifestPtr, Faults>(std::string_view)> parse =
    ParseManifest;
};

/** Counters of a follower since its start. */
struct FollowerCounters
{
  std::uint64_t platformReads = 0;
  std::uint64_t platformFailures = 0;
  std::uint64_t refusedManifests = 0;
  std::uint64_t staleManifests = 0;   ///< Older than the active one.
  std::uint64_t manifestsFetched = 0; ///< From peers.
  std::uint64_t manifestsServed = 0;  ///< To peers.
  std::uint64_t misdirected = 0;      ///< Messages for another incarnation.
};

/**
 * Keeps the active manifest and the list of leaving replicas up to date.
 *
 * Runs in every entry and agent. A few agents of each availability zone, the
 * readers, read the platform. The other processes receive each change from
 * their peers, along a tree, and also compare state with one random peer at
 * intervals. The active revision never decreases.
 *
 * Pure: takes an event and the current time, returns effects.
 */
class ConfigurationFollower
{
public:
  ConfigurationFollower(FollowerOptions aOptions, ClockReading aStart);

  FollowerEffects Handle(FollowerEvent aEvent, ClockReading aNow);

  Revision ActiveRevision() const;
  const ManifestPtr& ActiveManifest() const { return manifest_; }
  /** Whether this process currently reads the platform for its zone. */
  bool IsReader() const;
  const FollowerCounters& Counters() const { return counters_; }
  /** Writes the follower's part of `/dump`. */
  void Describe(boost::json::object& aState) const;

  /** Whether only the follower handles messages with this body. */
  static bool IsForFollower(const PeerBody& aBody);

private:
  void On(FollowerMessage& aEvent);
  void On(ManifestReadResult& aEvent);
  void On(VmListReadResult& aEvent);
  void On(FollowerTick& aEvent);

  void OnBody(const FollowerMessage& aEvent, const ManifestRequest& aBody);
  void OnBody(const FollowerMessage& aEvent, const ManifestReply& aBody);
  void OnBody(const FollowerMessage& aEvent, const FleetUpdate& aBody);
  template<typename Other>
  void OnBody(const FollowerMessage& aEvent, const Other& aBody);

  enum class ReceiveResult
  {
    Newer,
    NotNewer,
    Refused, ///< The manifest is invalid.
  };

  ReceiveResult ReceiveManifest(std::string_view aText,
                                std::string_view aSource);
  void RefuseManifest(std::string_view aText,
                      std::string_view aSource,
                      const Faults& aFaults);
  void Adopt(ManifestPtr aManifest);
  void AdoptCandidateIfDue();
  void UpdateAgentAddresses(const Manifest& aManifest);
  void QueryPeersAboutCandidate();
  void FetchIfAhead(const FollowerMessage& aEvent);
  void OnLeavingAdded();

  void UpdateReaderState(const FleetUpdate& aUpdate);
  void UpdateActingReader();
  void RequestFromSeedIfDue();
  void ReadPlatformIfDue();
  void ScheduleBackstopRead();
  void GossipIfDue();
  FleetUpdate MakeUpdate(std::uint32_t aRound) const;
  std::size_t SendUpdateToRandomPeers(std::size_t aCount, bool aIsAnyZone);
  Revision HighestKnownRevision() const;
  std::string AddressOf(std::string_view aName) const;
  void SendUpdate(const std::string& aAddress);
  void Reply(const FollowerMessage& aEvent, PeerBody aBody);
  void Send(const std::string& aAddress, PeerBody aBody);
  Duration RandomUpTo(Duration aMax);

  FollowerOptions options_;
  std::mt19937_64 random_;
  ManifestPtr manifest_;
  /** First manifest, adopted unless a peer soon names a newer revision. */
  ManifestPtr candidate_;
  Instant candidateDeadline_{};
  std::size_t peersQueried_ = 0;  ///< Random peers asked about the candidate.
  std::size_t confirmations_ = 0; ///< Updates that name no newer revision.
  ZoneView zone_;
  std::vector<std::string> agentAddresses_; ///< Other agents, all zones.
  LeavingList leaving_;
  PlatformSchedule manifestReads_;
  PlatformSchedule listReads_;
  Instant lastReaderRead_{}; ///< Latest known read by a reader of the zone.
  std::uint32_t lastReaderRank_ = 0; ///< Rank of that reader.
  bool isActingReader_ = false;      ///< Stands in for unresponsive readers.
  Instant nextSeedRequest_{};
  Instant nextGossip_{};
  Instant fetchDeadline_{}; ///< When the pending fetch times out.
  std::size_t nextSeed_ = 0;
  std::uint64_t refusedChecksum_ = 0; ///< Checksum of the last refused text.
  Revision refusedRevision_ = 0;      ///< Not fetched until `refusedUntil_`.
  Instant refusedUntil_{};
  std::string lastRefusal_;
  FollowerCounters counters_;
  ClockReading now_;
  FollowerEffects effects_;
};

} // namespace gypsum
