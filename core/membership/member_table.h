#pragma once

#include "core/configuration/manifest.h"
#include "core/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** State of a member; only live ones get repeatable stages. */
enum class MemberState
{
  NotReported, ///< No report received yet; its incarnation is not known.
  Live,
  Suspect, ///< Unresponsive, or responsive again only recently.
  Leaving, ///< About to stop; gets no new work.
};

/** State of one agent, as known to this process. */
struct Member
{
  std::string name;
  std::string service;
  std::string zone;
  std::string address;
  MemberState state = MemberState::NotReported;
  Incarnation incarnation = 0;
  Instant lastReportAt{};
  Instant lastHelloAt{};
  Report report;
  std::uint32_t outstanding = 0; ///< Stages of this process not yet answered.
  std::uint32_t unansweredHellos = 0; ///< Hellos sent since its last report.
  bool isUnresponsive = false;        ///< Too many hellos were not answered.
  bool isListedLeaving = false; ///< Listed by the platform; overrides reports.
  bool isRetired = false;       ///< No longer in the manifest.
  std::uint32_t flaps = 0;      ///< Times it recently became unresponsive.
  Instant suspectUntil{};  ///< Not live before this time, even if it answers.
  Instant lastUsedAt{};    ///< Last use, for members tracked on demand.
  bool isOnDemand = false; ///< Outside the subset of its service.

  /**
   * Whether it answers, leaving or not, so that work that only this member can
   * do may be sent to it.
   */
  bool IsReachable() const { return incarnation != 0 && !isUnresponsive; }
};

/**
 * The agents that this process may send work to.
 *
 * Tracks a subset of the replicas of each service, chosen by rendezvous hashing
 * of the process name, and on demand the owners of keys.
 *
 * A member counts as leaving if the platform lists it or its own report says
 * so. The list overrides the report, as an agent may not know yet that it
 * leaves. Other members count as unresponsive after several unanswered hellos.
 */
class MemberTable
{
public:
  explicit MemberTable(std::string aSelf);

  /**
   * Tracks the replicas of a manifest. Members that it no longer lists are kept
   * until their outstanding stages are answered.
   */
  void SetManifest(const Manifest& aManifest);

  /**
   * Handles a report of an agent; a new incarnation resets outstanding stages.
   *
   * Returns true if attempts sent to an earlier incarnation are lost.
   */
  bool OnReport(std::string_view aName,
                Incarnation aIncarnation,
                const Report& aReport,
                Instant aNow);
  /** Replaces the list of replicas that the platform lists as leaving. */
  void OnLeavingListUpdated(const std::vector<std::string>& aLeaving);
  void OnSent(std::string_view aName);
  void OnReplied(std::string_view aName);

  /** Finds a replica by name, tracking it on demand; null if unknown. */
  const Member* TrackOnDemand(const Manifest& aManifest,
                              std::string_view aName,
                              Instant aNow);
  /** Returns the members that are due a hello and counts it as sent. */
  std::vector<const Member*> TakeDueHellos(Instant aNow, Duration aInterval);
  /**
   * Marks members as unresponsive and drops unused ones.
   *
   * Returns true if attempts sent to a member are lost.
   */
  bool Expire(Instant aNow, Duration aTimeout);

  const Member* Find(std::string_view aName) const;
  /** Members of a service that may get new work. */
  std::vector<const Member*> Usable(std::string_view aService) const;
  const std::map<std::string, Member, std::less<>>& All() const
  {
    return members_;
  }

private:
  Member& Track(const Replica& aReplica, bool aIsOnDemand);
  void UpdateState(Member& aMember, Instant aNow) const;
  void DropUnused(Instant aNow);
  void RefillHelloBudget(Instant aNow);

  std::string self_;
  std::map<std::string, Member, std::less<>> members_;
  /** Subsets from the active manifest; none is retired or on demand. */
  std::map<std::string, std::vector<const Member*>, std::less<>> byService_;
  std::set<std::string, std::less<>> listedLeaving_;
  double helloBudget_;
  Instant lastRefill_{};
  Instant lastScan_{};
};

/** Name of a state in dumps and logs. */
std::string_view NameOf(MemberState aState);

} // namespace gypsum
