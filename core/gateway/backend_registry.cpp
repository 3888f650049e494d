#include "core/gateway/backend_registry.h"

#include <algorithm>
#include <utility>

namespace gypsum {

namespace {

std::string_view DescribeChange(const BackendPtr& aBefore,
                                const BackendRecord& aAfter)
{
  if (!aBefore) {
    return "added";
  }
  if (aBefore->startedMs != aAfter.startedMs) {
    return "restarted";
  }
  if (aBefore->isDraining != aAfter.isDraining) {
    return aAfter.isDraining ? "draining" : "ready";
  }
  return *aBefore == aAfter ? "" : "changed";
}

/** Servers that were started together have started within this time. */
constexpr std::uint64_t kMaxStartSpreadMs = 2'500;
constexpr std::uint64_t kRecentRestartMs = 60'000;
/** A server that has crashed before returns a few seconds later. */
constexpr std::uint64_t kReturnTimeMs = 4'000;

} // namespace

bool HadRestarts(const RegistrySnapshot& aRegistry, std::uint64_t aThenMs)
{
  std::map<std::string_view, std::uint64_t> oldest;
  for (const RegistryChange& entry : aRegistry.entries) {
    if (entry.record) {
      const auto [found, isNew] =
        oldest.emplace(entry.record->service, entry.record->startedMs);
      found->second = std::min(found->second, entry.record->startedMs);
    }
  }
  return std::ranges::any_of(
    aRegistry.entries, [&](const RegistryChange& aEntry) {
      if (!aEntry.record) {
        return false;
      }
      const std::uint64_t startedMs = aEntry.record->startedMs;
      return startedMs + kRecentRestartMs >= aThenMs &&
             startedMs <= aThenMs + kReturnTimeMs &&
             startedMs > oldest[aEntry.record->service] + kMaxStartSpreadMs;
    });
}

RegistryEvent BackendRegistry::EventOf(std::string_view aId,
                                       std::string_view aKind,
                                       const Entry& aEntry) const
{
  RegistryEvent event{ std::string(aId), std::string(aKind), "", "", 0, false };
  if (aEntry.record) {
    event.startedMs = aEntry.record->startedMs;
    event.service = aEntry.record->service;
    event.version = aEntry.record->version;
    event.wasLeaving = IsLeaving(*aEntry.record);
  }
  return event;
}

std::vector<RegistryEvent> BackendRegistry::Apply(const RegistryChange& aChange,
                                                  Instant aNow)
{
  return Apply(std::span(&aChange, 1), aNow);
}

std::vector<RegistryEvent> BackendRegistry::Apply(
  std::span<const RegistryChange> aChanges,
  Instant aNow)
{
  std::vector<RegistryEvent> events;
  for (const RegistryChange& change : aChanges) {
    ApplyOne(change, aNow, events);
    revision_ = std::max(revision_, change.revision);
  }
  Settle(events);
  return events;
}

std::vector<RegistryEvent> BackendRegistry::ApplyPage(
  std::span<const RegistryChange> aEntries,
  StoreRevision aListRevision,
  Instant aNow)
{
  std::vector<RegistryEvent> events;
  // What a new era lacks is judged with the whole list.
  if (revision_.revision > 0 && revision_.era != aListRevision.era) {
    return events;
  }
  for (const RegistryChange& entry : aEntries) {
    ApplyOne(entry, aNow, events);
  }
  Settle(events);
  return events;
}

void BackendRegistry::ApplyOne(const RegistryChange& aChange,
                               Instant aNow,
                               std::vector<RegistryEvent>& aEvents)
{
  const auto found = entries_.find(aChange.id);
  if (found != entries_.end() && found->second.revision >= aChange.revision) {
    return;
  }
  if (!aChange.record) {
    if (found == entries_.end()) {
      return;
    }
    if (aChange.isUnreadable) {
      RemoveNow(found, "unreadable", aChange.revision, aEvents);
      return;
    }
    isSettled_ = false;
    if (IsWithinReregistrationPeriod(aNow)) {
      found->second.missingUntil = *reregistrationEndsAt_;
      found->second.missingSince = aChange.revision;
      hasMissing_ = true;
      return;
    }
    RemoveNow(found, "removed", aChange.revision, aEvents);
    return;
  }
  Entry& entry = entries_[aChange.id];
  const bool isFromCopy =
    entry.record && entry.revision.era < aChange.revision.era;
  entry.revision = aChange.revision;
  if (isFromCopy && aChange.record->startedMs < entry.record->startedMs) {
    // The copy lacks the later incarnation, which registers again.
    entry.missingUntil = reregistrationEndsAt_;
    entry.missingSince = aChange.revision;
    hasMissing_ = true;
    return;
  }
  entry.missingUntil.reset();
  if (isFromCopy && entry.record->isDraining &&
      entry.record->startedMs == aChange.record->startedMs) {
    leavingSince_.try_emplace({ aChange.id, aChange.record->startedMs }, aNow);
  }
  entry.cold = { aNow + aChange.coldFor, aNow };
  allWarmFrom_ = std::max(allWarmFrom_, entry.cold.until);
  const std::string kind(DescribeChange(entry.record, *aChange.record));
  if (kind.empty()) {
    return;
  }
  entry.record = std::make_shared<const BackendRecord>(*aChange.record);
  isSettled_ = false;
  aEvents.push_back(EventOf(aChange.id, kind, entry));
}

void BackendRegistry::RemoveNow(Entries::iterator aEntry,
                                std::string_view aKind,
                                StoreRevision aRevision,
                                std::vector<RegistryEvent>& aEvents)
{
  isSettled_ = false;
  aEvents.push_back(EventOf(aEntry->first, aKind, aEntry->second));
  NoteRemoval(aEntry->first, aRevision);
  entries_.erase(aEntry);
}

void BackendRegistry::Settle(std::vector<RegistryEvent>& aEvents)
{
  if (std::exchange(isSettled_, true)) {
    return;
  }
  Rebuild();
  RemoveSucceeded(aEvents);
}

void BackendRegistry::RemoveSucceeded(std::vector<RegistryEvent>& aEvents)
{
  if (!hasMissing_) {
    return;
  }
  entriesVisited_ += entries_.size();
  const std::size_t removed = std::erase_if(entries_, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    if (!entry.missingUntil || !entry.record) {
      return false;
    }
    const auto owner = byAddress_.find(entry.record->address);
    const bool isSucceeded =
      owner != byAddress_.end() && owner->second->id != aItem.first;
    if (isSucceeded) {
      aEvents.push_back(EventOf(aItem.first, "removed", entry));
      NoteRemoval(aItem.first, entry.missingSince);
    }
    return isSucceeded;
  });
  if (removed > 0) {
    Rebuild();
  }
}

std::vector<RegistryEvent> BackendRegistry::Replace(
  const RegistrySnapshot& aSnapshot,
  Instant aNow)
{
  const bool isGap =
    aSnapshot.since &&
    (aSnapshot.since->era != revision_.era || *aSnapshot.since > revision_);
  if (aSnapshot.revision < revision_ || isGap) {
    return {};
  }
  if (aSnapshot.revision.era > revision_.era && revision_.revision > 0) {
    reregistrationEndsAt_ = aNow + kReregistrationTimeout;
  }
  std::vector<RegistryEvent> events;
  std::set<std::string_view> listed;
  for (const RegistryChange& change : aSnapshot.entries) {
    const auto found = entries_.find(change.id);
    if (change.removedIn && found == entries_.end()) {
      // Its removal is known here already.
      continue;
    }
    listed.insert(change.id);
    ApplyOne(change, aNow, events);
    // A removal that the own registry knows to be due, or learns of here.
    if (change.removedIn && found->second.revision == change.revision) {
      found->second.missingSince =
        std::max(found->second.missingSince, aSnapshot.revision);
      hasMissing_ = true;
      std::optional<Instant>& until = found->second.missingUntil;
      until =
        std::min(until.value_or(Instant::max()), aNow + *change.removedIn);
      isSettled_ = false;
    }
  }
  Settle(events);
  revision_ = std::max(revision_, aSnapshot.revision);
  if (aSnapshot.since) {
    return events;
  }
  removalsKnownFrom_ = std::max(removalsKnownFrom_, aSnapshot.revision);
  std::vector<RegistryChange> gone;
  for (const auto& [id, entry] : entries_) {
    const bool isOlder = entry.revision <= aSnapshot.revision;
    if (!listed.contains(id) && !entry.missingUntil && isOlder) {
      const StoreRevision next{ entry.revision.era,
                                entry.revision.revision + 1 };
      gone.push_back({ id, std::max(aSnapshot.revision, next), std::nullopt });
    }
  }
  std::ranges::move(Apply(gone, aNow), std::back_inserter(events));
  return events;
}

void BackendRegistry::OnStoreReconnected(Instant aNow)
{
  reregistrationEndsAt_ = aNow + kReregistrationTimeout;
}

std::vector<RegistryEvent> BackendRegistry::Expire(Instant aNow)
{
  std::erase_if(leavingSince_, [&](const auto& aItem) {
    return aNow - aItem.second >= kLeavingMemory && !IsListed(aItem.first);
  });
  std::vector<RegistryEvent> events;
  if (!hasMissing_) {
    return events;
  }
  entriesVisited_ += entries_.size();
  hasMissing_ = false;
  std::erase_if(entries_, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    if (!entry.missingUntil || aNow < *entry.missingUntil) {
      hasMissing_ = hasMissing_ || entry.missingUntil.has_value();
      return false;
    }
    events.push_back(EventOf(aItem.first, "removed", entry));
    NoteRemoval(aItem.first, entry.missingSince);
    return true;
  });
  if (!events.empty()) {
    Rebuild();
  }
  return events;
}

bool BackendRegistry::OnLeaving(const LeavingBackend& aLeaving, Instant aNow)
{
  const Incarnation incarnation{ aLeaving.backend, aLeaving.startedMs };
  if (aLeaving.age >= kLeavingMemory && !IsListed(incarnation)) {
    return false;
  }
  const Instant since = aNow - aLeaving.age;
  const auto [found, isNew] = leavingSince_.try_emplace(incarnation, since);
  found->second = std::min(found->second, since);
  if (isNew) {
    Rebuild();
  }
  return isNew;
}

std::vector<LeavingBackend> BackendRegistry::Leaving(Instant aNow) const
{
  std::vector<LeavingBackend> leaving;
  for (const auto& [incarnation, since] : leavingSince_) {
    leaving.push_back({ incarnation.first, incarnation.second, aNow - since });
  }
  return leaving;
}

bool BackendRegistry::IsLeaving(const BackendRecord& aBackend) const
{
  return aBackend.isDraining ||
         leavingSince_.contains({ aBackend.id, aBackend.startedMs });
}

bool BackendRegistry::IsListed(const Incarnation& aIncarnation) const
{
  const auto found = entries_.find(aIncarnation.first);
  return found != entries_.end() && found->second.record &&
         found->second.record->startedMs == aIncarnation.second;
}

bool BackendRegistry::IsWithinReregistrationPeriod(Instant aNow) const
{
  return reregistrationEndsAt_ && aNow < *reregistrationEndsAt_;
}

const std::vector<BackendPtr>& BackendRegistry::Usable(
  std::string_view aService) const
{
  static const std::vector<BackendPtr> kNone;
  const auto found = usable_.find(aService);
  return found == usable_.end() ? kNone : found->second;
}

BackendPtr BackendRegistry::FindByAddress(std::string_view aAddress) const
{
  const auto found = byAddress_.find(aAddress);
  return found == byAddress_.end() ? nullptr : found->second;
}

bool BackendRegistry::IsUsable(const BackendRecord& aBackend) const
{
  const auto found = entries_.find(aBackend.id);
  return found != entries_.end() && found->second.record &&
         found->second.record->startedMs == aBackend.startedMs &&
         !IsLeaving(*found->second.record) &&
         !IsInEvacuatedZone(*found->second.record);
}

void BackendRegistry::SetEvacuatedZones(
  std::set<std::string, std::less<>> aZones)
{
  evacuatedZones_ = std::move(aZones);
  Rebuild();
}

bool BackendRegistry::IsEvacuated(std::string_view aService) const
{
  return Usable(aService).empty() && evacuatedServices_.contains(aService);
}

BackendPtr BackendRegistry::Find(std::string_view aId,
                                 std::uint64_t aStartedMs) const
{
  const auto found = entries_.find(aId);
  const bool isListed = found != entries_.end() && found->second.record &&
                        found->second.record->startedMs == aStartedMs;
  return isListed ? found->second.record : nullptr;
}

std::vector<BackendPtr> BackendRegistry::ListedIn(std::string_view aZone) const
{
  std::vector<BackendPtr> listed;
  for (const auto& [id, entry] : entries_) {
    if (entry.record && entry.record->zone == aZone) {
      listed.push_back(entry.record);
    }
  }
  return listed;
}

ColdWord BackendRegistry::ColdWordOf(const BackendRecord& aBackend) const
{
  const auto found = entries_.find(aBackend.id);
  const bool isListed = found != entries_.end() && found->second.record &&
                        found->second.record->startedMs == aBackend.startedMs;
  return isListed ? found->second.cold : ColdWord{};
}

RegistryChange BackendRegistry::ChangeOf(const std::string& aId,
                                         const Entry& aEntry,
                                         Instant aNow) const
{
  RegistryChange change{ aId, aEntry.revision, std::nullopt, !aEntry.record };
  if (aEntry.record) {
    change.record = *aEntry.record;
  }
  change.coldFor = std::max(Duration{}, Duration(aEntry.cold.until - aNow));
  if (aEntry.missingUntil) {
    change.removedIn = std::max(Duration{}, *aEntry.missingUntil - aNow);
  }
  return change;
}

RegistrySnapshot BackendRegistry::Snapshot(Instant aNow) const
{
  RegistrySnapshot list{ revision_, {} };
  for (const auto& [id, entry] : entries_) {
    list.entries.push_back(ChangeOf(id, entry, aNow));
  }
  return list;
}

RegistrySnapshot BackendRegistry::SnapshotSince(StoreRevision aSince,
                                                Instant aNow) const
{
  const bool isKnown = aSince.revision > 0 && aSince.era == revision_.era &&
                       aSince >= removalsKnownFrom_;
  if (!isKnown) {
    return Snapshot(aNow);
  }
  RegistrySnapshot list{ revision_, {}, aSince };
  for (const auto& [id, entry] : entries_) {
    // Whether the peer knows of a removal that is due can't be told.
    if (entry.revision > aSince || entry.missingUntil) {
      list.entries.push_back(ChangeOf(id, entry, aNow));
    }
  }
  for (const Removal& removal : removals_) {
    if (removal.revision > aSince && !entries_.contains(removal.id)) {
      list.entries.push_back({ removal.id, removal.revision, std::nullopt });
    }
  }
  return list;
}

void BackendRegistry::NoteRemoval(const std::string& aId,
                                  StoreRevision aRevision)
{
  removals_.push_back({ aId, aRevision });
  if (removals_.size() > kMaxRemovals) {
    removalsKnownFrom_ =
      std::max(removalsKnownFrom_, removals_.front().revision);
    removals_.pop_front();
  }
}

void BackendRegistry::Rebuild()
{
  usable_.clear();
  byAddress_.clear();
  versions_.clear();
  evacuatedServices_.clear();
  entriesVisited_ += entries_.size();
  for (const auto& [id, entry] : entries_) {
    if (!entry.record) {
      continue;
    }
    versions_.insert({ entry.record->service, entry.record->version });
    // When an address is reused by another server, two entries may name it for
    // a while: the server that started later owns it.
    BackendPtr& owner = byAddress_[entry.record->address];
    if (!owner || owner->startedMs < entry.record->startedMs) {
      owner = entry.record;
    }
    if (IsLeaving(*entry.record)) {
      continue;
    }
    if (IsInEvacuatedZone(*entry.record)) {
      evacuatedServices_.insert(entry.record->service);
    } else {
      usable_[entry.record->service].push_back(entry.record);
    }
  }
}

} // namespace gypsum
