#include "servers/gateway/platform_state.h"

#include "core/printable_text.h"
#include "drivers/clock.h"
#include "platform/configuration_decoder.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace gypsum {

namespace {

/** Why a list was broken off: a call failed, or its pages went wrong. */
std::string_view ReasonOf(const StoreList& aList)
{
  return aList.GetState() == StoreList::State::Reading
           ? "call-failed"
           : NameOf(aList.GetState());
}

} // namespace

std::uint64_t PlatformState::Version() const
{
  return state_.routes ? state_.routes->Configuration().version : 0;
}

void PlatformState::OnVersion(StorePart aPart, StoreRevision aVersion)
{
  StoreKnowledge& knowledge = state_.Knowledge(aPart);
  if (aVersion <= knowledge.Version()) {
    return;
  }
  knowledge.OnVersion(aVersion);
  // A peer may have listed what this gateway could not.
  ForgetFailedList(aPart);
  if (versionObserver_) {
    versionObserver_(aPart);
  }
}

bool PlatformState::AdoptConfiguration(const std::string& aText,
                                       std::string_view aSource,
                                       Duration aAge)
{
  auto decoded = DecodeConfiguration(aText);
  if (const auto* const fault = std::get_if<DecodeFault>(&decoded)) {
    state_.log.Write(LogClass::StateChange,
                     "configuration-rejected",
                     { { "source", aSource },
                       { "reason", fault->text },
                       { "kept-version", Version() } });
    return false;
  }
  auto& configuration = std::get<ServedConfiguration>(decoded);
  if (configuration.version <= Version() && state_.routes) {
    return true;
  }
  const std::uint64_t before = Version();
  state_.routes = std::make_shared<const RouteTable>(
    std::make_shared<const ServedConfiguration>(std::move(configuration)));
  state_.configurationText = aText;
  SetColdStarts();
  const ServedConfiguration& adopted = state_.routes->Configuration();
  state_.log.Write(LogClass::StateChange,
                   "configuration-adopted",
                   { { "version", adopted.version },
                     { "before", before },
                     { "source", aSource },
                     { "age", aAge },
                     { "routes", adopted.routes.size() },
                     { "keys", adopted.customersByKey.size() } });
  state_.metrics.Set(
    "configuration_version", "", "", static_cast<double>(adopted.version));
  OnVersion(StorePart::Configuration, { 0, adopted.version });
  return true;
}

void PlatformState::SetColdStarts()
{
  ColdBackends::Services services;
  for (const auto& [name, service] : state_.routes->Configuration().services) {
    if (service.coldStart) {
      services.emplace(name, *service.coldStart);
    }
  }
  state_.coldBackends.SetServices(std::move(services));
}

void PlatformState::OnRegistryEvents(std::span<const RegistryEvent> aEvents,
                                     std::string_view aSource)
{
  for (const RegistryEvent& event : aEvents) {
    if (event.kind == "restarted" || event.kind == "removed") {
      state_.prefixes.RemoveReplica(event.id);
    }
    state_.log.Write(LogClass::StateChange,
                     "backend-" + event.kind,
                     { { "backend", event.id },
                       { "service", event.service },
                       { "software", event.version },
                       { "source", aSource },
                       { "registry", TextOf(state_.registry.Revision()) } });
    if (observer_) {
      observer_(event);
    }
  }
}

void PlatformState::ApplyBackends(std::span<const RegistryChange> aChanges,
                                  std::string_view aSource)
{
  ObserveVersions();
  OnRegistryEvents(state_.registry.Apply(aChanges, Now().steady), aSource);
  LogColdServers(aChanges, aSource);
  ObserveVersions();
  OnVersion(StorePart::Backends, state_.registry.Revision());
}

void PlatformState::ApplyBackendPage(std::span<const RegistryChange> aEntries,
                                     StoreRevision aListRevision)
{
  ObserveVersions();
  OnRegistryEvents(
    state_.registry.ApplyPage(aEntries, aListRevision, Now().steady),
    "store-page");
  LogColdServers(aEntries, "store-page");
  ObserveVersions();
}

void PlatformState::ReplaceBackends(const RegistrySnapshot& aSnapshot,
                                    std::string_view aSource)
{
  ObserveVersions();
  OnRegistryEvents(state_.registry.Replace(aSnapshot, Now().steady), aSource);
  LogColdServers(aSnapshot.entries, aSource);
  ObserveVersions();
  OnVersion(StorePart::Backends, state_.registry.Revision());
}

void PlatformState::ApplyEvacuations(std::span<const ZoneChange> aChanges,
                                     std::string_view aSource)
{
  OnZoneChanges(state_.zones.Apply(aChanges), aSource);
}

void PlatformState::ReplaceEvacuations(const EvacuationList& aList,
                                       std::string_view aSource)
{
  OnZoneChanges(state_.zones.Replace(aList), aSource);
}

void PlatformState::OnZoneChanges(std::span<const ZoneChange> aChanges,
                                  std::string_view aSource)
{
  if (!aChanges.empty()) {
    state_.registry.SetEvacuatedZones(state_.zones.Zones());
  }
  const Instant now = Now().steady;
  for (const ZoneChange& change : aChanges) {
    if (!change.isEvacuated) {
      std::ranges::for_each(state_.registry.ListedIn(change.zone),
                            [&](const BackendPtr& aServer) {
                              state_.coldBackends.OnZoneReturned(*aServer, now);
                            });
    }
    state_.metrics.Set(
      "zone_evacuated", "zone", change.zone, change.isEvacuated ? 1.0 : 0.0);
    state_.log.Write(LogClass::StateChange,
                     change.isEvacuated ? "zone-evacuated" : "zone-taken-back",
                     { { "zone", change.zone },
                       { "source", aSource },
                       { "revision", TextOf(change.revision) } });
  }
  // A list without a change has a newer version as well, of which the next
  // status is soon enough.
  state_.evacuationKnowledge.OnVersion(state_.zones.Version());
  if (aChanges.empty()) {
    return;
  }
  if (versionObserver_) {
    versionObserver_(StorePart::Evacuations);
  }
  if (zoneObserver_) {
    zoneObserver_();
  }
}

void PlatformState::LogColdServers(std::span<const RegistryChange> aEntries,
                                   std::string_view aSource)
{
  const Instant now = Now().steady;
  for (const RegistryChange& entry : aEntries) {
    if (!entry.record || !state_.coldBackends.IsCold(*entry.record, now)) {
      continue;
    }
    const Instant until = state_.coldBackends.ColdUntil(*entry.record);
    const Instant before = std::exchange(loggedColdUntil_[entry.id], until);
    if (before <= now) {
      state_.log.Write(LogClass::StateChange,
                       "backend-cold",
                       { { "backend", entry.id },
                         { "service", entry.record->service },
                         { "for", until - now },
                         { "source", aSource } });
    }
  }
}

bool PlatformState::OnLeaving(const LeavingBackend& aLeaving,
                              std::string_view aSource)
{
  if (!state_.registry.OnLeaving(aLeaving, Now().steady)) {
    return false;
  }
  state_.log.Write(LogClass::StateChange,
                   "backend-leaving",
                   { { "backend", aLeaving.backend },
                     { "source", aSource },
                     { "age", aLeaving.age },
                     { "registry", TextOf(state_.registry.Revision()) } });
  return true;
}

void PlatformState::ObserveVersions()
{
  state_.versions.Observe(state_.registry.Versions(), Now().steady);
}

void PlatformState::OnListFailed(StorePart aPart, const StoreList& aList)
{
  failedLists_.insert_or_assign(aPart, aList);
  state_.metrics.Set("store_list_failing", "part", NameOf(aPart), 1.0);
  // Of a list that ends at its first page `store-away` tells.
  if (aList.Pages() == 0) {
    return;
  }
  state_.metrics.Count("store_lists_failed", "what", ReasonOf(aList));
  state_.log.Write(LogClass::Failure,
                   "store-list-failed",
                   { { "part", NameOf(aPart) },
                     { "reason", ReasonOf(aList) },
                     { "pages", aList.Pages() },
                     { "entries", aList.Items() },
                     { "after", aList.After() },
                     { "registry", TextOf(state_.registry.Revision()) } });
}

void PlatformState::ForgetFailedList(StorePart aPart)
{
  if (failedLists_.erase(aPart) > 0) {
    state_.metrics.Set("store_list_failing", "part", NameOf(aPart), 0.0);
  }
}

std::string PlatformState::FailedLists() const
{
  std::string text;
  for (const auto& [part, list] : failedLists_) {
    text.append("list of ")
      .append(NameOf(part))
      .append(" failed: ")
      .append(ReasonOf(list))
      .append(" after ")
      .append(std::to_string(list.Pages()))
      .append(" pages, at '")
      .append(ToPrintable(list.After()))
      .append("'\n");
  }
  return text;
}

void PlatformState::OnStoreCallSucceeded()
{
  const Instant now = Now().steady;
  state_.lastStoreResponseAt = now;
  if (failedStoreCalls_ == 0) {
    return;
  }
  state_.registry.OnStoreReconnected(now);
  state_.log.Write(
    LogClass::StateChange,
    "store-back",
    { { "away", now - failingSince_ }, { "failed-calls", failedStoreCalls_ } });
  failedStoreCalls_ = 0;
}

void PlatformState::OnStoreCallFailed(std::string_view aReason)
{
  state_.metrics.Count("store_failures", "what", aReason);
  if (failedStoreCalls_++ > 0) {
    return;
  }
  failingSince_ = Now().steady;
  state_.log.Write(LogClass::StateChange,
                   "store-away",
                   { { "what", aReason },
                     { "version", Version() },
                     { "registry", TextOf(state_.registry.Revision()) } });
}

void PlatformState::Expire()
{
  OnRegistryEvents(state_.registry.Expire(Now().steady), "store");
  ObserveVersions();
  const auto isListed = [this](std::string_view aId) {
    return state_.registry.Lists(aId);
  };
  state_.loads.Retain(isListed);
  state_.limits.Retain(isListed, Now().steady);
  state_.coldBackends.Expire(Now().steady);
  std::erase_if(loggedColdUntil_,
                [](const auto& aItem) { return aItem.second <= Now().steady; });
}

} // namespace gypsum
