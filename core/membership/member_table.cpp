#include "core/membership/member_table.h"

#include "core/membership/service_subset.h"

#include <algorithm>
#include <iterator>
#include <chrono>
#include <utility>

namespace gypsum {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Bounds the traffic of hellos, however many members there are. */
constexpr double kHellosPerSecond = 60.0;
constexpr std::size_t kMaxHelloBurst = 60;
constexpr std::uint32_t kMaxUnansweredHellos = 3;
constexpr milliseconds kScanPeriod{ 20 };
/** Minimum time that an unresponsive member is suspect; doubles per flap. */
constexpr milliseconds kBaseSuspicion{ 250 };
constexpr seconds kFlapResetPeriod{ 60 };
constexpr std::uint32_t kMaxFlaps = 6;
constexpr seconds kOnDemandRetention{ 60 };

} // namespace

MemberTable::MemberTable(std::string aSelf)
  : self_(std::move(aSelf))
  , helloBudget_(kMaxHelloBurst)
{
}

void MemberTable::SetManifest(const Manifest& aManifest)
{
  for (auto& [name, member] : members_) {
    const Replica* const replica = aManifest.FindReplica(name);
    member.isRetired = !replica;
    const bool isMoved = replica && (replica->address != member.address ||
                                     replica->service != member.service);
    if (isMoved) {
      // Another VM has taken the slot; discard the state of the old one.
      member = Member{};
      Track(*replica, false);
    }
  }
  // A retired member with outstanding stages is kept until it has answered.
  std::erase_if(members_, [](const auto& aItem) {
    return aItem.second.isRetired && aItem.second.outstanding == 0;
  });
  byService_.clear();
  for (const auto& [name, service] : aManifest.services) {
    auto& subset = byService_[name];
    for (const std::string& replica : SelectSubset(service, self_)) {
      subset.push_back(&Track(*aManifest.FindReplica(replica), false));
    }
  }
}

Member& MemberTable::Track(const Replica& aReplica, bool aIsOnDemand)
{
  const auto [found, isNew] = members_.try_emplace(aReplica.name);
  Member& member = found->second;
  member.name = aReplica.name;
  member.service = aReplica.service;
  member.zone = aReplica.zone;
  member.address = aReplica.address;
  member.isOnDemand = aIsOnDemand && (isNew || member.isOnDemand);
  if (isNew && listedLeaving_.contains(aReplica.name)) {
    member.isListedLeaving = true;
    member.state = MemberState::Leaving;
  }
  return member;
}

const Member* MemberTable::TrackOnDemand(const Manifest& aManifest,
                                         std::string_view aName,
                                         Instant aNow)
{
  auto found = members_.find(aName);
  if (found == members_.end()) {
    const Replica* const replica = aManifest.FindReplica(aName);
    if (!replica) {
      return nullptr;
    }
    Track(*replica, true);
    found = members_.find(aName);
  }
  found->second.lastUsedAt = aNow;
  return &found->second;
}

bool MemberTable::OnReport(std::string_view aName,
                           Incarnation aIncarnation,
                           const Report& aReport,
                           Instant aNow)
{
  const auto found = members_.find(aName);
  if (found == members_.end()) {
    return false;
  }
  Member& member = found->second;
  const bool isReplaced =
    member.incarnation != 0 && member.incarnation != aIncarnation;
  if (member.incarnation != aIncarnation) {
    member.incarnation = aIncarnation;
    member.outstanding = 0;
  }
  member.report = aReport;
  member.lastReportAt = aNow;
  member.unansweredHellos = 0;
  member.isUnresponsive = false;
  UpdateState(member, aNow);
  return isReplaced;
}

void MemberTable::UpdateState(Member& aMember, Instant aNow) const
{
  if (aMember.isListedLeaving || aMember.report.isLeaving) {
    aMember.state = MemberState::Leaving;
  } else if (aMember.incarnation == 0) {
    aMember.state = MemberState::NotReported;
  } else if (aMember.isUnresponsive || aNow < aMember.suspectUntil) {
    // Hysteresis: a member on an unreliable link gets no work each time it
    // briefly answers.
    aMember.state = MemberState::Suspect;
  } else {
    aMember.state = MemberState::Live;
    if (aNow - aMember.suspectUntil > kFlapResetPeriod) {
      aMember.flaps = 0;
    }
  }
}

void MemberTable::OnLeavingListUpdated(const std::vector<std::string>& aLeaving)
{
  listedLeaving_.clear();
  listedLeaving_.insert(aLeaving.begin(), aLeaving.end());
  for (auto& [name, member] : members_) {
    member.isListedLeaving = listedLeaving_.contains(name);
    UpdateState(member, member.lastReportAt);
  }
}

void MemberTable::OnSent(std::string_view aName)
{
  const auto found = members_.find(aName);
  if (found != members_.end()) {
    ++found->second.outstanding;
  }
}

void MemberTable::OnReplied(std::string_view aName)
{
  const auto found = members_.find(aName);
  if (found == members_.end() || found->second.outstanding == 0) {
    return;
  }
  --found->second.outstanding;
}

std::vector<const Member*> MemberTable::TakeDueHellos(Instant aNow,
                                                      Duration aInterval)
{
  if (lastScan_ != Instant{} && aNow - lastScan_ < kScanPeriod) {
    return {};
  }
  lastScan_ = aNow;
  RefillHelloBudget(aNow);
  // In a large table, members without outstanding stages get fewer hellos.
  const Duration idleInterval = std::max<Duration>(
    aInterval,
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(members_.size()) / kHellosPerSecond)));
  std::vector<Member*> due;
  for (auto& [name, member] : members_) {
    const Duration interval =
      member.outstanding != 0 || member.unansweredHellos != 0 ? aInterval
                                                              : idleInterval;
    const bool isDue = member.lastHelloAt == Instant{} ||
                       (aNow - member.lastHelloAt >= interval &&
                        aNow - member.lastReportAt >= interval);
    if (isDue) {
      due.push_back(&member);
    }
  }
  const auto count =
    std::min(due.size(), static_cast<std::size_t>(helloBudget_));
  std::ranges::partial_sort(due,
                            due.begin() + static_cast<std::ptrdiff_t>(count),
                            {},
                            &Member::lastHelloAt);
  due.resize(count);
  helloBudget_ -= static_cast<double>(count);
  for (Member* const member : due) {
    member->lastHelloAt = aNow;
    ++member->unansweredHellos;
  }
  return { due.begin(), due.end() };
}

void MemberTable::RefillHelloBudget(Instant aNow)
{
  const std::chrono::duration<double> passed =
    lastRefill_ == Instant{} ? Duration::zero() : aNow - lastRefill_;
  lastRefill_ = aNow;
  helloBudget_ = std::min<double>(
    kMaxHelloBurst, helloBudget_ + passed.count() * kHellosPerSecond);
}

bool MemberTable::Expire(Instant aNow, Duration aTimeout)
{
  bool areAttemptsLost = false;
  for (auto& [name, member] : members_) {
    const bool hasTimedOut = !member.isUnresponsive &&
                             member.incarnation != 0 &&
                             member.unansweredHellos >= kMaxUnansweredHellos &&
                             aNow - member.lastReportAt > aTimeout;
    if (hasTimedOut) {
      member.isUnresponsive = true;
      member.flaps = std::min(member.flaps + 1, kMaxFlaps);
      member.suspectUntil = aNow + kBaseSuspicion * (1U << member.flaps);
      areAttemptsLost |= member.outstanding != 0;
      UpdateState(member, aNow);
    }
  }
  DropUnused(aNow);
  return areAttemptsLost;
}

void MemberTable::DropUnused(Instant aNow)
{
  std::erase_if(members_, [&](const auto& aItem) {
    const Member& member = aItem.second;
    const bool isUnused =
      member.isOnDemand && aNow - member.lastUsedAt > kOnDemandRetention;
    return member.outstanding == 0 && (member.isRetired || isUnused);
  });
}

const Member* MemberTable::Find(std::string_view aName) const
{
  const auto found = members_.find(aName);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<const Member*> MemberTable::Usable(std::string_view aService) const
{
  std::vector<const Member*> usable;
  const auto subset = byService_.find(aService);
  if (subset == byService_.end()) {
    return usable;
  }
  usable.reserve(subset->second.size());
  std::ranges::copy_if(
    subset->second, std::back_inserter(usable), [](const Member* aMember) {
      return aMember->state == MemberState::Live;
    });
  return usable;
}

std::string_view NameOf(MemberState aState)
{
  switch (aState) {
    case MemberState::NotReported:
      return "unheard";
    case MemberState::Live:
      return "live";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Leaving:
      break;
  }
  return "leaving";
}

} // namespace gypsum
