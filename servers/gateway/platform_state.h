#pragma once

#include "core/gateway/backend_registry.h"
#include "core/gateway/store_list.h"
#include "servers/gateway/gateway_state.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Applies updates of the configuration and the registry, from the store or from
 * a peer, to the state of the gateway and logs the changes.
 *
 * The configuration version never decreases within one process.
 */
class PlatformState
{
public:
  explicit PlatformState(GatewayState& aState)
    : state_(aState)
  {
  }

  /** Called for each change of the registry, after it was applied. */
  using BackendObserver = std::function<void(const RegistryEvent&)>;

  void SetBackendObserver(BackendObserver aObserver)
  {
    observer_ = std::move(aObserver);
  }
  /** Called after zones were evacuated or taken back. */
  using ZoneObserver = std::function<void()>;

  void SetZoneObserver(ZoneObserver aObserver)
  {
    zoneObserver_ = std::move(aObserver);
  }
  /** Called when a part has a newer version. */
  using VersionObserver = std::function<void(StorePart)>;

  void SetVersionObserver(VersionObserver aObserver)
  {
    versionObserver_ = std::move(aObserver);
  }

  std::uint64_t Version() const;
  /** Returns false if the text cannot be decoded; ignores older versions.
   * `aAge` is that of the source's knowledge. */
  bool AdoptConfiguration(const std::string& aText,
                          std::string_view aSource,
                          Duration aAge);
  void ApplyBackends(std::span<const RegistryChange> aChanges,
                     std::string_view aSource);
  /** The entries of one page of a list that is not whole. */
  void ApplyBackendPage(std::span<const RegistryChange> aEntries,
                        StoreRevision aListRevision);
  void ReplaceBackends(const RegistrySnapshot& aSnapshot,
                       std::string_view aSource);
  void ApplyEvacuations(std::span<const ZoneChange> aChanges,
                        std::string_view aSource);
  void ReplaceEvacuations(const EvacuationList& aList,
                          std::string_view aSource);
  /** A backend server has said itself that it leaves, to this gateway or to the
   * peer that `aSource` names; true if that is new. */
  bool OnLeaving(const LeavingBackend& aLeaving, std::string_view aSource);
  /** A list of the store was broken off after the pages that it tells of. */
  void OnListFailed(StorePart aPart, const StoreList& aList);
  /** A part is known again, whatever its last list came to. */
  void ForgetFailedList(StorePart aPart);
  /** The parts whose last list was broken off, and where, if nothing newer is
   * known of them since; a line each. */
  std::string FailedLists() const;
  void OnStoreCallSucceeded();
  void OnStoreCallFailed(std::string_view aReason);
  bool IsStoreUnavailable() const { return failedStoreCalls_ > 0; }
  /** Removes backend servers that have not returned within their grace time;
   * call it several times a second. */
  void Expire();

private:
  void OnZoneChanges(std::span<const ZoneChange> aChanges,
                     std::string_view aSource);
  /** Logs servers that have become cold by their entries. */
  void LogColdServers(std::span<const RegistryChange> aEntries,
                      std::string_view aSource);
  /** Adopts the rates of cold servers from the configuration. */
  void SetColdStarts();
  void ObserveVersions();
  void OnVersion(StorePart aPart, StoreRevision aVersion);
  void OnRegistryEvents(std::span<const RegistryEvent> aEvents,
                        std::string_view aSource);

  GatewayState& state_;
  BackendObserver observer_;
  VersionObserver versionObserver_;
  ZoneObserver zoneObserver_;
  std::map<std::string, Instant, std::less<>> loggedColdUntil_;
  /** The last lists of parts, where they were broken off. */
  std::map<StorePart, StoreList> failedLists_;
  std::uint32_t failedStoreCalls_ = 0;
  Instant failingSince_{};
};

} // namespace gypsum
