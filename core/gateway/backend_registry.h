#pragma once

#include "core/gateway/store_revision.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum {

/** Entry that a backend server publishes about itself in the store. */
struct BackendRecord
{
  std::string id;
  std::string service;
  std::string address; ///< `IPv4:port`.
  std::string zone;
  std::uint32_t slots = 1;
  bool isDraining = false;
  std::uint64_t startedMs = 0; ///< Unix time; identifies the incarnation.
  std::string version;         ///< Of its software; not of model weights.

  bool operator==(const BackendRecord&) const = default;
};

/** Shared reference to the record of a backend server in use. */
using BackendPtr = std::shared_ptr<const BackendRecord>;

/** One change of the registry with the store's revision. */
struct RegistryChange
{
  std::string id;
  StoreRevision revision;
  std::optional<BackendRecord> record; ///< Empty: removed or unreadable.
  bool isUnreadable = false;           ///< Names no server to use.
  /** The store lacks the entry: it is removed after this time, unless the
   * server registers again. */
  std::optional<Duration> removedIn{};
  Duration coldFor{}; ///< Time until the server is warm; zero: it is.
};

/** Until when a server is cold by some word, and when that was heard. */
struct ColdWord
{
  Instant until{};
  Instant saidAt{};
};

/** The registry at one revision: all of it, or what has changed since an
 * earlier one. */
struct RegistrySnapshot
{
  StoreRevision revision;
  std::vector<RegistryChange> entries;
  /** Empty: all entries; else entries that changed after this revision, removed
   * ones included. */
  std::optional<StoreRevision> since{};
};

/** An incarnation of a backend server that has said itself that it leaves. */
struct LeavingBackend
{
  std::string backend;
  std::uint64_t startedMs = 0; ///< Identifies the incarnation.
  Duration age{};              ///< Time since it first said so.

  bool operator==(const LeavingBackend&) const = default;
};

/** A version of the software of a service. */
struct ServiceVersion
{
  std::string service;
  std::string version;
  auto operator<=>(const ServiceVersion&) const = default;
};

/** Effect of a registry change, for the log. */
struct RegistryEvent
{
  std::string id;
  std::string kind; ///< `added`, `restarted`, `draining`, `removed`, ...
  std::string service;
  std::string version; ///< Of the software.
  std::uint64_t startedMs = 0;
  bool wasLeaving = false; ///< It had said before that it leaves.
};

/**
 * Whether servers of some service were started in the last minute before a
 * time, or shortly after it, but well after the oldest one of the service: they
 * may have crashed. `aThenMs` is Unix time in milliseconds.
 */
bool HadRestarts(const RegistrySnapshot& aRegistry, std::uint64_t aThenMs);

/**
 * Backend servers by service, as published in the store. Nothing is kept of
 * entries that name none.
 *
 * A change of an entry is applied only if its revision is newer. Leases expire
 * while the store is unreachable, so an entry that is missing right after the
 * store reconnected is kept for `kReregistrationTimeout`: a live server
 * registers again within that time. The same holds when an era of the store
 * begins: its copy lacks what was written last.
 *
 * Leaving is one state of an incarnation, whether the store says so or the
 * server itself; the store can't undo the word of the server. An entry of a new
 * era may be older than the one before: it neither ends the leaving of an
 * incarnation nor brings an earlier one back.
 */
class BackendRegistry
{
public:
  /** Live servers that reach the store register again within two seconds. */
  static constexpr Duration kReregistrationTimeout =
    std::chrono::milliseconds(2'200);
  /** How long the word of an incarnation that is not listed is kept: its entry
   * may come back with the store. */
  static constexpr Duration kLeavingMemory = std::chrono::minutes(10);
  /** Removals that are remembered, so that peers need not get all entries. */
  static constexpr std::size_t kMaxRemovals = 1'024;

  std::vector<RegistryEvent> Apply(const RegistryChange& aChange, Instant aNow);
  /** The same for changes that arrive together, at the cost of one. */
  std::vector<RegistryEvent> Apply(std::span<const RegistryChange> aChanges,
                                   Instant aNow);
  /** Takes in the entries of one page of a list that goes on, or was broken
   * off: the registry keeps its revision, and all other entries. */
  std::vector<RegistryEvent> ApplyPage(std::span<const RegistryChange> aEntries,
                                       StoreRevision aListRevision,
                                       Instant aNow);
  /** Replaces all entries, or takes in those that have changed; not if the
   * snapshot is older than the registry, or leaves out what it lacks. */
  std::vector<RegistryEvent> Replace(const RegistrySnapshot& aSnapshot,
                                     Instant aNow);
  /** The store answers again after it was unreachable. */
  void OnStoreReconnected(Instant aNow);
  /** Removes missing entries whose time to register again has passed. */
  std::vector<RegistryEvent> Expire(Instant aNow);

  /** The servers of these zones get nothing until they are left out again. */
  void SetEvacuatedZones(std::set<std::string, std::less<>> aZones);
  bool IsInEvacuatedZone(const BackendRecord& aBackend) const
  {
    return evacuatedZones_.contains(aBackend.zone);
  }
  /** Whether a service would have usable servers if no zone were evacuated, but
   * has none now. */
  bool IsEvacuated(std::string_view aService) const;

  /** The server has said itself that it leaves, which nothing takes back for
   * this incarnation; true if that is new. */
  bool OnLeaving(const LeavingBackend& aLeaving, Instant aNow);
  /** All incarnations that have said so and may still be listed. */
  std::vector<LeavingBackend> Leaving(Instant aNow) const;

  /** Backend servers of a service that accept new requests, but for those in
   * evacuated zones. */
  const std::vector<BackendPtr>& Usable(std::string_view aService) const;
  /** The backend server at an address, draining or not; null if none. */
  BackendPtr FindByAddress(std::string_view aAddress) const;
  /** Whether this incarnation of a backend server accepts new requests, and its
   * zone is not evacuated. */
  bool IsUsable(const BackendRecord& aBackend) const;
  /** Whether this incarnation is listed, leaving or not. */
  bool IsListed(const BackendRecord& aBackend) const
  {
    return IsListed({ aBackend.id, aBackend.startedMs });
  }

  /** What the entry of an incarnation says; a time that has passed if it is not
   * listed. */
  ColdWord ColdWordOf(const BackendRecord& aBackend) const;
  /** From when on all servers are warm by their entries. */
  Instant AllWarmFrom() const { return allWarmFrom_; }
  /** The record of an incarnation; null if it is not listed. */
  BackendPtr Find(std::string_view aId, std::uint64_t aStartedMs) const;
  /** All listed servers of a zone. */
  std::vector<BackendPtr> ListedIn(std::string_view aZone) const;

  /** Whether any incarnation of a server is listed. */
  bool Lists(std::string_view aId) const { return entries_.contains(aId); }
  /** Software versions of all listed servers. */
  const std::set<ServiceVersion>& Versions() const { return versions_; }

  /** Entries that all changes so far have looked at to find what is usable. */
  std::uint64_t EntriesVisited() const { return entriesVisited_; }

  StoreRevision Revision() const { return revision_; }
  /** All entries with their revisions, to send to a peer. */
  RegistrySnapshot Snapshot(Instant aNow) const;
  /** What has changed since a revision that a peer has; all entries if that is
   * not known. */
  RegistrySnapshot SnapshotSince(StoreRevision aSince, Instant aNow) const;

private:
  struct Entry
  {
    StoreRevision revision;
    BackendPtr record; ///< Never null.
    std::optional<Instant> missingUntil;
    StoreRevision missingSince; ///< Set with `missingUntil`.
    ColdWord cold;
  };
  struct Removal
  {
    std::string id;
    StoreRevision revision;
  };

  using Entries = std::map<std::string, Entry, std::less<>>;
  using Incarnation = std::pair<std::string, std::uint64_t>;

  RegistryEvent EventOf(std::string_view aId,
                        std::string_view aKind,
                        const Entry& aEntry) const;
  /** Takes in a change, without what follows from it for other entries. */
  void ApplyOne(const RegistryChange& aChange,
                Instant aNow,
                std::vector<RegistryEvent>& aEvents);
  void RemoveNow(Entries::iterator aEntry,
                 std::string_view aKind,
                 StoreRevision aRevision,
                 std::vector<RegistryEvent>& aEvents);
  /** Finds what follows from the changes that were taken in. */
  void Settle(std::vector<RegistryEvent>& aEvents);
  void NoteRemoval(const std::string& aId, StoreRevision aRevision);
  RegistryChange ChangeOf(const std::string& aId,
                          const Entry& aEntry,
                          Instant aNow) const;
  void Rebuild();
  /** Removes entries that the store lacks, and whose address a server that
   * started later has registered. */
  void RemoveSucceeded(std::vector<RegistryEvent>& aEvents);
  /** By the store's word or its own; only the next incarnation ends it. */
  bool IsLeaving(const BackendRecord& aBackend) const;
  bool IsListed(const Incarnation& aIncarnation) const;
  bool IsWithinReregistrationPeriod(Instant aNow) const;

  Entries entries_;
  std::map<std::string, std::vector<BackendPtr>, std::less<>> usable_;
  std::map<std::string, BackendPtr, std::less<>> byAddress_;
  std::set<ServiceVersion> versions_;
  std::map<Incarnation, Instant> leavingSince_;
  std::set<std::string, std::less<>> evacuatedZones_;
  /** Services with servers that only the evacuation of their zone holds. */
  std::set<std::string, std::less<>> evacuatedServices_;
  bool isSettled_ = true;
  bool hasMissing_ = false; ///< Whether some entry may have to be removed.
  std::deque<Removal> removals_;
  /** Removals up to this revision may have been forgotten. */
  StoreRevision removalsKnownFrom_;
  std::uint64_t entriesVisited_ = 0;
  StoreRevision revision_;
  Instant allWarmFrom_{};
  std::optional<Instant> reregistrationEndsAt_;
};

} // namespace gypsum
