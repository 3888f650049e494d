#include "core/ownership/ownership.h"

#include "core/ownership/owner.h"

#include <algorithm>
#include <utility>

namespace gypsum {

namespace {

constexpr std::size_t kMaxFormerOwnerSets = 64;

bool Contains(const std::vector<Slot>& aSlots, const Slot& aSlot)
{
  return std::ranges::find(aSlots, aSlot) != aSlots.end();
}

/** Whether the service runs any non-repeatable stage. */
bool HasNonRepeatableStage(const Manifest& aManifest, std::string_view aService)
{
  return std::ranges::any_of(aManifest.pipelines, [&](const auto& aItem) {
    return std::ranges::any_of(
      aItem.second.stages, [&](const StageSpec& aStage) {
        return aStage.service == aService && !aStage.isRepeatable;
      });
  });
}

} // namespace

Ownership::Ownership(Slot aSelf)
  : self_(std::move(aSelf))
{
}

void Ownership::Adopt(const Manifest& aManifest, ReleaseTerms aDestroyed)
{
  const Replica* const replica = aManifest.FindReplica(self_.name);
  if (replica && self_.address.empty()) {
    self_.address = replica->address;
  }
  if (replica && service_.empty()) {
    service_ = replica->service;
  }
  const ServiceSpec* service = aManifest.FindService(service_);
  if (service && !HasNonRepeatableStage(aManifest, service_)) {
    service = nullptr;
  }
  if (!current_.slots.empty()) {
    AddFormerOwners(current_);
  }
  const OwnerSet next = service ? CurrentOwners(aManifest, *service)
                                : OwnerSet{ aManifest.revision, {} };
  if (next.slots != current_.slots) {
    // A release covers only the keys that this agent owned when it was given.
    released_.clear();
  }
  current_ = next;
  if (!service) {
    return;
  }
  std::ranges::for_each(service->formerOwners, [this](const OwnerSet& aSet) {
    AddFormerOwners(aSet);
  });
  const auto unreleased = Unreleased();
  for (const Slot& slot : service->destroyedSlots) {
    if (Contains(unreleased, slot)) {
      released_[slot] = aDestroyed;
    }
  }
}

void Ownership::AddFormerOwners(const OwnerSet& aSet)
{
  const auto same =
    std::ranges::find(formerOwners_, aSet.slots, &OwnerSet::slots);
  if (same != formerOwners_.end()) {
    same->revision = std::max(same->revision, aSet.revision);
    return;
  }
  formerOwners_.push_back(aSet);
}

const Slot* Ownership::OwnerIn(const OwnerSet& aSet, const RequestId& aId)
{
  if (aSet.slots.empty()) {
    return nullptr;
  }
  return &OwnerAmong(aSet.slots, aId, &Slot::name);
}

bool Ownership::IsOwnedBy(const RequestId& aId, const Slot& aSlot) const
{
  const Slot* const owner = OwnerIn(current_, aId);
  return owner && *owner == aSlot;
}

bool Ownership::IsReleased(const Slot& aSlot, Revision aSince) const
{
  const auto found = released_.find(aSlot);
  return aSlot == self_ ||
         (found != released_.end() && found->second.revision > aSince);
}

OwnershipStatus Ownership::Check(const RequestId& aId,
                                 std::optional<WallTime> aKeyTime,
                                 Instant aNow) const
{
  if (!IsOwnedBy(aId, self_)) {
    return OwnershipStatus::NotOwner;
  }
  if (formerOwners_.size() > kMaxFormerOwnerSets && !Unreleased().empty()) {
    return OwnershipStatus::Unreleased;
  }
  for (const OwnerSet& set : formerOwners_) {
    const Slot* const owner = OwnerIn(set, aId);
    if (!owner || *owner == self_) {
      continue;
    }
    if (!IsReleased(*owner, set.revision)) {
      return OwnershipStatus::Unreleased;
    }
    const ReleaseTerms& terms = released_.at(*owner);
    const bool isRecordLost =
      aKeyTime ? *aKeyTime <= terms.forgottenUntil : aNow < terms.plainKeysFrom;
    if (isRecordLost) {
      return OwnershipStatus::RecordLost;
    }
  }
  return OwnershipStatus::Owned;
}

void Ownership::OnReleased(const Slot& aSlot, ReleaseTerms aTerms)
{
  released_[aSlot] = aTerms;
}

std::vector<Slot> Ownership::Unreleased() const
{
  std::vector<Slot> slots;
  for (const OwnerSet& set : formerOwners_) {
    const bool wasOwner = Contains(set.slots, self_);
    for (const Slot& slot : set.slots) {
      // Rendezvous hashing moves keys only away from removed slots and to added
      // slots.
      const bool mayHoldOurKeys = !wasOwner || !Contains(current_.slots, slot);
      if (mayHoldOurKeys && !IsReleased(slot, set.revision) &&
          !Contains(slots, slot)) {
        slots.push_back(slot);
      }
    }
  }
  return slots;
}

} // namespace gypsum
