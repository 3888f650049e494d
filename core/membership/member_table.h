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

enum class MemberState
{
  NotReported, ///< No report yet; its incarnation is not known.
  Live,
  Suspect, ///< Does not answer, or has not done so for long enough again.
  Leaving, ///< Gets no new work.
};

/** One agent as this process knows it. */
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
  std::uint32_t outstanding = 0;      ///< Stages this process waits for.
  std::uint32_t unansweredHellos = 0; ///< Hellos since it was heard.
  bool isUnresponsive = false;  ///< Too many hellos went unansweredHellos.
  bool isListedLeaving = false; ///< By the platform; outranks its reports.
  bool isRetired = false;       ///< Not in the manifest any more.
  std::uint32_t flaps = 0;      ///< Times it fell silent lately.
  Instant suspectUntil{};       ///< Not live before, however it answers.
  Instant lastUsedAt{};         ///< Last use of a member kept on demand.
  bool isOnDemand = false;      ///< Outside the subset of its service.

  /** Whether work for it alone can be sent: it answers, leaving or not. */
  bool IsReachable() const { return incarnation != 0 && !isUnresponsive; }
};

/**
 * The agents that this process may send work to.
 *
 * Of each service a subset chosen by rendezvous hashing of the own name, and
 * on demand the owners of keys. Evidence, strongest first: what the agent says
 * when it leaves, unansweredHellos hellos, the platform's list; the list
 * outranks an agent that does not know yet that it leaves.
 */
class MemberTable
{
public:
  explicit MemberTable(std::string aSelf);

  /** Takes the replicas of a manifest; those it drops finish their work. */
  void SetManifest(const Manifest& aManifest);

  /**
   * Takes a report; a new incarnation forgets what was known of the old.
   * True if attempts sent to an older incarnation are lost.
   */
  bool OnReport(std::string_view aName,
                Incarnation aIncarnation,
                const Report& aReport,
                Instant aNow);
  /** Takes the whole list of members that the platform lists as leaving. */
  void OnLeavingListUpdated(const std::vector<std::string>& aLeaving);
  void OnSent(std::string_view aName);
  void OnReplied(std::string_view aName);

  /** A replica that is wanted by name, tracked from now on; null if unknown. */
  const Member* TrackOnDemand(const Manifest& aManifest,
                              std::string_view aName,
                              Instant aNow);
  /** Members to ask for a report; marks them as asked. */
  std::vector<const Member*> TakeDueHellos(Instant aNow, Duration aInterval);
  /** True if a member fell silent, so that attempts sent to it are lost. */
  bool Expire(Instant aNow, Duration aTimeout);

  const Member* Find(std::string_view aName) const;
  /** The members of a service that may get new work. */
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
  /** Of the manifest in force; these are neither retired nor on demand. */
  std::map<std::string, std::vector<const Member*>, std::less<>> byService_;
  std::set<std::string, std::less<>> listedLeaving_;
  double helloBudget_;
  Instant lastRefill_{};
  Instant lastScan_{};
};

/** The name of a state in dumps and logs. */
std::string_view NameOf(MemberState aState);

} // namespace gypsum
