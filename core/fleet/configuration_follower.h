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

/** What following the configuration needs to know from the settings. */
struct FollowerOptions
{
  ProcessId self;
  std::string zone;
  std::string address; ///< Of the own peer socket.
  std::vector<std::string> seeds;
  bool hasPlatform = true;
  Duration pollInterval{}; ///< Backstop read in a zone of few processes.
  std::uint64_t seed = 0;
  /** Replaced where many followers read one text. */
  std::function<std::variant<ManifestPtr, Faults>(std::string_view)> parse =
    ParseManifest;
};

/** What a follower has counted since its start. */
struct FollowerCounters
{
  std::uint64_t platformReads = 0;
  std::uint64_t platformFailures = 0;
  std::uint64_t refusedManifests = 0;
  std::uint64_t staleManifests = 0;   ///< Older than the one in force.
  std::uint64_t manifestsFetched = 0; ///< From peers.
  std::uint64_t manifestsServed = 0;  ///< To peers.
  std::uint64_t misdirected = 0;
};

/**
 * Follows the configuration: which manifest is in force, and what the platform
 * lists as leaving.
 *
 * The same in entries and agents. A few agents of each availability zone read
 * the platform; the others learn from peers, down a tree at each change and by
 * an exchange with one random peer again and again. The revision never goes
 * down. Pure: an event and the time go in, effects come out.
 */
class ConfigurationFollower
{
public:
  ConfigurationFollower(FollowerOptions aOptions, ClockReading aStart);

  FollowerEffects Handle(FollowerEvent aEvent, ClockReading aNow);

  Revision ActiveRevision() const;
  const ManifestPtr& InForce() const { return manifest_; }
  bool IsReader() const;
  const FollowerCounters& Counters() const { return counters_; }
  void Describe(boost::json::object& aState) const;

  /** Whether a body is for the follower alone. */
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

  enum class Taken
  {
    Newer,
    NotNewer,
    Refused,
  };

  Taken Take(std::string_view aText, std::string_view aSource);
  void Refuse(std::string_view aText,
              std::string_view aSource,
              const Faults& aFaults);
  void Adopt(ManifestPtr aManifest);
  void AdoptCandidateIfDue();
  void RememberAddresses(const Manifest& aManifest);
  void AskForCandidate();
  void FetchIfAhead(const FollowerMessage& aEvent);
  void OnLeavingLearned();

  void OnReaderHeard(const FleetUpdate& aNews);
  void UpdateActing();
  void SearchPeers();
  void ReadPlatformIfDue();
  void PlanBackstop();
  void Gossip();
  FleetUpdate News(std::uint32_t aRound) const;
  std::size_t TellRandomPeers(std::size_t aCount, bool aIsAnyZone);
  Revision HighestKnown() const;
  std::string AddressOf(std::string_view aName) const;
  void SendNews(const std::string& aAddress);
  void Reply(const FollowerMessage& aEvent, PeerBody aBody);
  void Send(const std::string& aAddress, PeerBody aBody);
  Duration RandomUpTo(Duration aLongest);

  FollowerOptions options_;
  std::mt19937_64 random_;
  ManifestPtr manifest_;
  ManifestPtr candidate_; ///< First one, until peers had time to object.
  Instant candidateUntil_{};
  std::size_t peersAsked_ = 0; ///< About the candidate.
  std::size_t confirmations_ = 0;
  ZoneView zone_;
  std::vector<std::string> otherAddresses_; ///< Of agents in every zone.
  LeavingList leaving_;
  PlatformSchedule manifestReads_;
  PlatformSchedule listReads_;
  Instant lastReaderRead_{}; ///< Of any reader of the zone, as far as known.
  std::uint32_t lastReaderRank_ = 0;
  bool isActing_ = false; ///< Reads in place of readers that fell silent.
  Instant nextSearch_{};
  Instant nextGossip_{};
  Instant fetchUntil_{}; ///< A fetch is on its way until then.
  std::size_t nextSeed_ = 0;
  std::uint64_t refusedText_ = 0; ///< Checksum of the last refused text.
  Revision refusedRevision_ = 0;  ///< Not asked of peers for a while.
  Instant refusedUntil_{};
  std::string lastRefusal_;
  FollowerCounters counters_;
  ClockReading now_;
  FollowerEffects effects_;
};

} // namespace gypsum
