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

} // namespace

std::vector<RegistryEvent> BackendRegistry::Apply(const RegistryChange& aChange,
                                                  Instant aNow)
{
  revision_ = std::max(revision_, aChange.revision);
  const auto found = entries_.find(aChange.id);
  if (found != entries_.end() && found->second.revision >= aChange.revision) {
    return {};
  }
  if (!aChange.record && !aChange.isUnreadable) {
    if (found == entries_.end()) {
      return {};
    }
    if (IsReturning(aNow)) {
      found->second.missingUntil = *returnEnds_;
      return {};
    }
    const std::string service =
      found->second.record ? found->second.record->service : "";
    entries_.erase(found);
    Rebuild();
    return { { aChange.id, "removed", service } };
  }
  Entry& entry = entries_[aChange.id];
  entry.revision = aChange.revision;
  entry.missingUntil.reset();
  if (aChange.isUnreadable) {
    entry.record.reset();
    Rebuild();
    return { { aChange.id, "unreadable", "" } };
  }
  const std::string what(DescribeChange(entry.record, *aChange.record));
  if (what.empty()) {
    return {};
  }
  entry.record = std::make_shared<const BackendRecord>(*aChange.record);
  Rebuild();
  return { { aChange.id, what, entry.record->service } };
}

std::vector<RegistryEvent> BackendRegistry::Replace(
  const RegistrySnapshot& aList,
  Instant aNow)
{
  if (aList.revision < revision_) {
    return {};
  }
  std::vector<RegistryEvent> news;
  std::set<std::string_view> listed;
  for (const RegistryChange& change : aList.entries) {
    listed.insert(change.id);
    std::ranges::move(Apply(change, aNow), std::back_inserter(news));
  }
  std::vector<RegistryChange> gone;
  for (const auto& [id, entry] : entries_) {
    if (!listed.contains(id) && !entry.missingUntil) {
      gone.push_back(
        { id, std::max(aList.revision, entry.revision + 1), std::nullopt });
    }
  }
  for (const RegistryChange& change : gone) {
    std::ranges::move(Apply(change, aNow), std::back_inserter(news));
  }
  revision_ = std::max(revision_, aList.revision);
  return news;
}

void BackendRegistry::OnStoreReconnected(Instant aNow)
{
  returnEnds_ = aNow + kReturnTime;
}

std::vector<RegistryEvent> BackendRegistry::Expire(Instant aNow)
{
  std::vector<RegistryEvent> news;
  std::erase_if(entries_, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    if (!entry.missingUntil || aNow < *entry.missingUntil) {
      return false;
    }
    news.push_back(
      { aItem.first, "removed", entry.record ? entry.record->service : "" });
    return true;
  });
  if (!news.empty()) {
    Rebuild();
  }
  return news;
}

bool BackendRegistry::IsReturning(Instant aNow) const
{
  return returnEnds_ && aNow < *returnEnds_;
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
         !found->second.record->isDraining;
}

RegistrySnapshot BackendRegistry::Snapshot() const
{
  RegistrySnapshot list{ revision_, {} };
  for (const auto& [id, entry] : entries_) {
    RegistryChange change{ id, entry.revision, std::nullopt, !entry.record };
    if (entry.record) {
      change.record = *entry.record;
    }
    list.entries.push_back(std::move(change));
  }
  return list;
}

void BackendRegistry::Rebuild()
{
  usable_.clear();
  byAddress_.clear();
  for (const auto& [id, entry] : entries_) {
    if (!entry.record) {
      continue;
    }
    // Two entries may name one address in turn: the later life has it.
    BackendPtr& holder = byAddress_[entry.record->address];
    if (!holder || holder->startedMs < entry.record->startedMs) {
      holder = entry.record;
    }
    if (!entry.record->isDraining) {
      usable_[entry.record->service].push_back(entry.record);
    }
  }
}

} // namespace gypsum
