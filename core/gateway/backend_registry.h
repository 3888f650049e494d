#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** What a backend server says of itself in the store. */
struct BackendRecord
{
  std::string id;
  std::string service;
  std::string address; ///< `IPv4:port`.
  std::string zone;
  std::uint32_t slots = 1;
  bool isDraining = false;
  std::uint64_t startedMs = 0; ///< Unix time; another start is another life.

  bool operator==(const BackendRecord&) const = default;
};

/** A backend server that is in use, as all its users share it. */
using BackendPtr = std::shared_ptr<const BackendRecord>;

/** One change of the registry, as the store numbers it. */
struct RegistryChange
{
  std::string id;
  std::uint64_t revision = 0;
  std::optional<BackendRecord> record; ///< Nothing: removed or unreadable.
  bool isUnreadable = false;
};

/** A whole registry at a revision. */
struct RegistrySnapshot
{
  std::uint64_t revision = 0;
  std::vector<RegistryChange> entries;
};

/** What a change did, for the log. */
struct RegistryEvent
{
  std::string id;
  std::string kind; ///< `added`, `restarted`, `draining`, `removed`, ...
  std::string service;
};

/**
 * The backend servers by service, as the store publishes them.
 *
 * Changes of an entry count only with a newer revision. While the store was
 * away its leases lapsed: an entry that is missing just after it came back is
 * kept until `kReturnTime` has passed, since a live server writes it again.
 */
class BackendRegistry
{
public:
  /** Servers that live and reach the store are back within two seconds. */
  static constexpr Duration kReturnTime = std::chrono::milliseconds(2'200);

  std::vector<RegistryEvent> Apply(const RegistryChange& aChange, Instant aNow);
  std::vector<RegistryEvent> Replace(const RegistrySnapshot& aList,
                                     Instant aNow);
  /** The store answers again after it was away. */
  void OnStoreReconnected(Instant aNow);
  /** Drops the entries whose time to come back has passed. */
  std::vector<RegistryEvent> Expire(Instant aNow);

  /** Backend servers of a service that may get new work. */
  const std::vector<BackendPtr>& Usable(std::string_view aService) const;
  /** The backend server in use at an address, draining or not. */
  BackendPtr FindByAddress(std::string_view aAddress) const;
  /** Whether this very life of a backend server may still get work. */
  bool IsUsable(const BackendRecord& aBackend) const;

  std::uint64_t Revision() const { return revision_; }
  /** All entries with their revisions, for a peer. */
  RegistrySnapshot Snapshot() const;

private:
  struct Entry
  {
    std::uint64_t revision = 0;
    BackendPtr record; ///< Nothing while the entry cannot be read.
    std::optional<Instant> missingUntil;
  };

  void Rebuild();
  bool IsReturning(Instant aNow) const;

  std::map<std::string, Entry, std::less<>> entries_;
  std::map<std::string, std::vector<BackendPtr>, std::less<>> usable_;
  std::map<std::string, BackendPtr, std::less<>> byAddress_;
  std::uint64_t revision_ = 0;
  std::optional<Instant> returnEnds_;
};

} // namespace gypsum
