#include "core/gateway/store_knowledge.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gypsum {

StoreKnowledge::StoreKnowledge(std::string_view aOwnAddress,
                               std::uint64_t aSeed,
                               double aOwnShare)
  : ownWeight_(WeightOf(aOwnAddress, aOwnShare))
  , random_(static_cast<std::uint_fast32_t>(aSeed))
{
}

double StoreKnowledge::WeightOf(std::string_view aAddress, double aShare)
{
  static const std::uint64_t kKey = Checksum("store-readers");
  return WeightedScore(kKey, aAddress, aShare);
}

void StoreKnowledge::OnShare(const std::string& aPeer, double aShare)
{
  Peer& peer = PeerOf(aPeer);
  if (peer.share != aShare) {
    peer.share = aShare;
    peer.weight = WeightOf(aPeer, aShare);
  }
}

void StoreKnowledge::OnAsked(const std::string& aPeer, Instant aNow)
{
  lastAskedAt_ = aNow;
  Peer& peer = PeerOf(aPeer);
  if (!peer.askedAt || aNow - *peer.askedAt >= kSilentPeerPause) {
    peer.askedAt = aNow;
  }
}

bool StoreKnowledge::IsSilent(const std::optional<Instant>& aAskedAt,
                              Duration aTimeout,
                              Instant aNow)
{
  return aAskedAt && aNow - *aAskedAt >= aTimeout &&
         aNow - *aAskedAt < kSilentPeerPause;
}

StoreKnowledge::Peer& StoreKnowledge::PeerOf(const std::string& aAddress)
{
  const auto [found, isNew] = peers_.try_emplace(aAddress);
  if (isNew) {
    found->second.weight = WeightOf(aAddress, found->second.share);
  }
  return found->second;
}

const StoreKnowledge::Peer* StoreKnowledge::Find(
  std::string_view aAddress) const
{
  const auto found = peers_.find(aAddress);
  return found == peers_.end() ? nullptr : &found->second;
}

void StoreKnowledge::OnClaim(const std::string& aPeer,
                             const KnowledgeClaim& aClaim,
                             Instant aNow)
{
  Peer& peer = PeerOf(aPeer);
  peer.claim = aClaim;
  peer.claimedAt = aNow;
  newestClaim_ = std::max(newestClaim_, aClaim.version);
}

void StoreKnowledge::OnAnswer(const std::string& aPeer,
                              const KnowledgeClaim& aClaim,
                              Instant aAskedAt,
                              Instant aNow)
{
  OnClaim(aPeer, aClaim, aNow);
  PeerOf(aPeer).askedAt.reset();
  if (aClaim.age >= kUnknownAge) {
    return;
  }
  // What held in an earlier era says nothing about the store as it is now.
  if (aClaim.version.era < version_.era) {
    return;
  }
  const Instant upTo = aAskedAt - aClaim.age;
  if (aClaim.version <= version_) {
    Confirm(upTo, aPeer);
  } else if (!pending_ || pending_->upTo < upTo) {
    pending_ = { aClaim.version, upTo, aPeer };
  }
}

void StoreKnowledge::OnRead(Instant aUpTo)
{
  readAt_ = readAt_ ? std::max(*readAt_, aUpTo) : aUpTo;
  Confirm(aUpTo, "store");
}

void StoreKnowledge::OnVersion(StoreRevision aVersion)
{
  if (aVersion <= version_) {
    return;
  }
  if (aVersion.era > version_.era) {
    // The changes between the copy and the new era are not known.
    followedSince_.reset();
  }
  version_ = aVersion;
  fetchingSince_.reset();
  for (auto& [address, peer] : peers_) {
    peer.fetchedAt.reset();
  }
  if (pending_ && pending_->version <= version_) {
    Confirm(pending_->upTo, pending_->source);
    pending_.reset();
  }
}

void StoreKnowledge::Confirm(Instant aUpTo, std::string_view aSource)
{
  if (confirmedAt_ && aUpTo <= *confirmedAt_) {
    return;
  }
  if (!followedSince_ || !confirmedAt_ || aUpTo - *confirmedAt_ > kMaxGap) {
    followedSince_ = aUpTo;
  }
  confirmedAt_ = aUpTo;
  source_ = aSource;
}

void StoreKnowledge::RemovePeer(std::string_view aPeer)
{
  const auto found = peers_.find(aPeer);
  if (found != peers_.end()) {
    peers_.erase(found);
  }
}

bool StoreKnowledge::HasRead(Instant aNow) const
{
  return readAt_ && aNow - *readAt_ < kReaderTimeout;
}

bool StoreKnowledge::IsReader(std::span<const std::string> aLive, Instant aNow)
{
  std::size_t rank = 0;
  std::size_t readersBefore = 0;
  auto live = aLive.begin();
  for (const auto& [address, peer] : peers_) {
    if (peer.weight <= ownWeight_) {
      continue;
    }
    live = std::find_if(
      live, aLive.end(), [&wanted = address](const std::string& aOther) {
        return aOther >= wanted;
      });
    const bool isLive = live != aLive.end() && *live == address;
    rank += isLive ? 1 : 0;
    // A reader that has just fallen silent counts for a while: the claims of
    // those that follow it arrive later than the news that it is gone, and the
    // whole fleet would read meanwhile.
    const Duration sinceClaim = isLive ? Duration{} : aNow - peer.claimedAt;
    readersBefore +=
      peer.claim.readAge < kReaderTimeout - std::max(Duration{}, sinceClaim)
        ? 1
        : 0;
  }
  const Duration turn = kTakeoverSpread * static_cast<std::int64_t>(rank) /
                        static_cast<std::int64_t>(aLive.size() + 1);
  if (Age(aNow) >= kTakeoverAge + turn) {
    readsUntil_ = aNow + kTakeoverTime;
  }
  return readersBefore < kMaxReaders || aNow < readsUntil_;
}

std::optional<std::string> StoreKnowledge::ChooseWitness(
  std::span<const std::string> aLive,
  Instant aNow)
{
  const Duration age = Age(aNow);
  const bool isUrgent = age >= kUrgentAge;
  const bool isDue = isUrgent || (age >= kAskAge && !HasRead(aNow));
  if (!isDue ||
      aNow - lastAskedAt_ < (isUrgent ? kUrgentAskInterval : kAskAge)) {
    return std::nullopt;
  }
  std::vector<std::pair<Duration, const std::string*>> candidates;
  for (const std::string& address : aLive) {
    const Peer* const peer = Find(address);
    if (!peer || IsSilent(peer->askedAt, kAnswerTimeout, aNow)) {
      continue;
    }
    // Readers are asked in turn; if they don't help, whoever knew most lately.
    const bool isReader = peer->claim.readAge < kReaderTimeout;
    candidates.emplace_back(isReader && !isUrgent
                              ? Duration{}
                              : peer->claim.age + (aNow - peer->claimedAt),
                            &address);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::ranges::shuffle(candidates, random_);
  const std::string& chosen =
    *std::ranges::min_element(
       candidates, {}, &std::pair<Duration, const std::string*>::first)
       ->second;
  OnAsked(chosen, aNow);
  return chosen;
}

bool StoreKnowledge::IsWorthAsking(const std::string& aPeer, Instant aNow) const
{
  const Peer* const peer = Find(aPeer);
  const Duration age = Age(aNow);
  return peer && age >= kUrgentAge && peer->claim.age + kAskAge < age &&
         (!peer->askedAt || aNow - *peer->askedAt >= kAnswerTimeout);
}

std::optional<std::string> StoreKnowledge::ChooseSource(
  std::span<const std::string> aLive,
  Instant aNow)
{
  const bool isFetching =
    fetchingSince_ && aNow - *fetchingSince_ < kFetchTimeout;
  if (newestClaim_ <= version_ || isFetching) {
    return std::nullopt;
  }
  const std::string* source = nullptr;
  const Peer* best = nullptr;
  const auto rankOf = [](const Peer& aPeer) {
    return std::pair(aPeer.claim.version, aPeer.claimedAt);
  };
  for (const std::string& address : aLive) {
    ++sourcesVisited_;
    const Peer* const peer = Find(address);
    const bool isCandidate = peer && peer->claim.version > version_ &&
                             !IsSilent(peer->fetchedAt, kFetchTimeout, aNow);
    if (isCandidate && (!best || rankOf(*peer) > rankOf(*best))) {
      best = peer;
      source = &address;
    }
  }
  if (!source) {
    return std::nullopt;
  }
  fetchingSince_ = aNow;
  PeerOf(*source).fetchedAt = aNow;
  return *source;
}

KnowledgeClaim StoreKnowledge::Claim(Instant aNow) const
{
  return { version_, Age(aNow), ReadAge(aNow) };
}

Duration StoreKnowledge::AgeAt(std::string_view aPeer, Instant aNow) const
{
  const Peer* const peer = Find(aPeer);
  return peer
           ? std::min(kUnknownAge, peer->claim.age + (aNow - peer->claimedAt))
           : kUnknownAge;
}

Duration StoreKnowledge::ReadAge(Instant aNow) const
{
  return readAt_ ? std::min(kUnknownAge, aNow - *readAt_) : kUnknownAge;
}

Duration StoreKnowledge::Age(Instant aNow) const
{
  return confirmedAt_ ? std::min(kUnknownAge, aNow - *confirmedAt_)
                      : kUnknownAge;
}

} // namespace gypsum
