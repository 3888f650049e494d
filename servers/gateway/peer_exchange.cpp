#include "servers/gateway/peer_exchange.h"

#include "core/gateway/queue_ownership.h"
#include "core/hash.h"
#include "drivers/clock.h"
#include "kernel/kernel.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** How long an address that has sent nothing stays a target, and how long a
 * silent peer is kept. */
constexpr Duration kCandidateTimeout = std::chrono::seconds(10);
/** How long a peer that does not answer this gateway owns no queue. */
constexpr Duration kUnreachableTime = std::chrono::seconds(2);
/** How long an owner is kept: the choice looks at each peer. */
constexpr Duration kOwnerCacheTime = std::chrono::milliseconds(50);

/** A bounded sample of a large fleet is enough to discover the rest; a fleet
 * that starts at once depends on it for its owners. */
constexpr std::size_t kMaxListedPeers = 16;
constexpr std::size_t kMaxListedAtStart = 64;

std::string HostOf(std::string_view aAddress)
{
  return std::string(aAddress.substr(0, aAddress.rfind(':')));
}

} // namespace

PeerExchange::PeerExchange(GatewayState& aState, PlatformState& aPlatformState)
  : state_(aState)
  , platformState_(aPlatformState)
  , transport_(aState.settings.peerAddress)
  , sightings_(PeerSightings::IdOf(aState.self.incarnation))
  , random_(static_cast<std::uint_fast32_t>(aState.self.incarnation))
{
}

void PeerExchange::Start()
{
  startedAt_ = Now().steady;
  discovery_ = FleetDiscovery(startedAt_, HasOtherSeeds());
  transport_.SetHandler([this](Route aRoute, PeerMessage aMessage) {
    asio::post(state_.loop,
               [this,
                route = std::move(aRoute),
                message = std::move(aMessage)]() mutable {
                 Receive(std::move(route), std::move(message));
               });
  });
  transport_.SetFailureHandler([this](std::string_view aReason) {
    asio::post(state_.loop, [this, reason = std::string(aReason)] {
      failureHandler_(reason);
    });
  });
  Kernel unused;
  transport_.Start(unused);
  state_.tasks.SpawnEndless("peer-rounds", [this] { return RoundLoop(); });
}

void PeerExchange::Stop()
{
  transport_.Stop();
}

std::string PeerExchange::SeedAddress(std::string_view aSeed) const
{
  return HostOf(aSeed) + ":" + std::to_string(state_.settings.peerPort);
}

bool PeerExchange::HasOtherSeeds() const
{
  return std::ranges::any_of(
    state_.settings.seedAddresses, [&](const std::string& aSeed) {
      return SeedAddress(aSeed) != state_.settings.peerAddress;
    });
}

PeerHeader PeerExchange::HeaderFor(Incarnation aTarget) const
{
  return { state_.self, aTarget, platformState_.Version() };
}

GatewayStatus PeerExchange::OwnStatus() const
{
  const Instant now = Now().steady;
  GatewayStatus status;
  status.address = state_.settings.peerAddress;
  status.zone = state_.settings.zone;
  status.isLeaving = state_.IsStopping();
  status.processorShare = state_.settings.processorShare;
  status.settledFor = discovery_.SettledFor(now);
  status.configuration = state_.configurationKnowledge.Claim(now);
  status.backends = state_.backendKnowledge.Claim(now);
  status.evacuations = state_.evacuationKnowledge.Claim(now);
  status.evacuatedZones = state_.zones.List().zones;
  for (const auto& [address, peer] : peers_) {
    if (IsLive(peer, now)) {
      status.peers.push_back(address);
    }
  }
  const std::size_t mostListed =
    Uptime() < FleetDiscovery::kMaxTime ? kMaxListedAtStart : kMaxListedPeers;
  if (status.peers.size() > mostListed) {
    std::minstd_rand source = random_;
    std::ranges::shuffle(status.peers, source);
    status.peers.resize(mostListed);
  }
  status.sightings = sightings_.Report(now, state_.IsStopping());
  status.loads = state_.loads.OwnLoads(now);
  status.reads = state_.prefixes.RecentReads(now);
  status.limits = state_.limits.All(now);
  status.leaving = state_.registry.Leaving(now);
  if (queueWaitProvider_) {
    status.waits = queueWaitProvider_();
  }
  if (crashStatusProvider_) {
    crashStatusProvider_(status);
  }
  return status;
}

bool PeerExchange::IsLive(const Peer& aPeer, Instant aNow) const
{
  const auto aliveAt =
    sightings_.LastAliveAt(PeerSightings::IdOf(aPeer.id.incarnation));
  return aliveAt && aNow - *aliveAt < SilenceTimeout(peers_.size());
}

bool PeerExchange::IsLeaving(const Peer& aPeer) const
{
  return aPeer.status.isLeaving ||
         sightings_.IsLeaving(PeerSightings::IdOf(aPeer.id.incarnation));
}

void PeerExchange::UpdatePeers(Instant aNow)
{
  sightings_.Expire(aNow);
  for (auto& [address, peer] : peers_) {
    const auto aliveAt =
      sightings_.LastAliveAt(PeerSightings::IdOf(peer.id.incarnation));
    peer.lastAliveAt = std::max(
      { peer.lastAliveAt, peer.lastReceivedAt, aliveAt.value_or(Instant{}) });
    if (IsLeaving(peer)) {
      heardAt_.erase(address);
    } else {
      heardAt_[address] = peer.lastAliveAt;
    }
  }
  std::erase_if(peers_, [&](const auto& aItem) {
    if (aNow - aItem.second.lastAliveAt < kCandidateTimeout) {
      return false;
    }
    state_.loads.RemovePeer(aItem.first);
    for (const StorePart part : kStoreParts) {
      state_.Knowledge(part).RemovePeer(aItem.first);
    }
    return true;
  });
}

std::vector<std::string> PeerExchange::RoundTargets()
{
  std::vector<std::string> live = LivePeers(LeavingPeers::Include);
  std::ranges::shuffle(live, random_);
  if (live.size() > kPeersPerRound) {
    live.resize(kPeersPerRound);
    for (const auto& [service, owner] : owners_) {
      if (!owner.address.empty()) {
        live.push_back(owner.address);
      }
    }
  }
  return live;
}

std::vector<std::string> PeerExchange::UnheardTargets()
{
  const Instant now = Now().steady;
  for (const std::string& seed : state_.settings.seedAddresses) {
    const std::string address = SeedAddress(seed);
    if (!peers_.contains(address)) {
      candidates_[address] = now + kCandidateTimeout;
    }
  }
  std::erase_if(candidates_, [&](const auto& aItem) {
    return aItem.second < now || aItem.first == state_.settings.peerAddress;
  });
  std::vector<std::string> unheard;
  for (const auto& [address, until] : candidates_) {
    unheard.push_back(address);
  }
  std::ranges::shuffle(unheard, random_);
  unheard.resize(std::min(unheard.size(), kCandidatesPerRound));
  return unheard;
}

void PeerExchange::NotifyPromptSent(const PromptSent& aPrompt)
{
  std::vector<std::string> targets = LivePeers(LeavingPeers::Include);
  if (targets.size() > kMaxPromptTargets) {
    std::ranges::shuffle(targets, random_);
    targets.resize(kMaxPromptTargets);
  }
  for (const std::string& target : targets) {
    SendTo(target, aPrompt);
  }
}

void PeerExchange::OnLeavingResponse(const BackendRecord& aBackend)
{
  const LeavingBackend leaving{ aBackend.id, aBackend.startedMs, Duration{} };
  if (!platformState_.OnLeaving(leaving, "own")) {
    return;
  }
  for (const std::string& peer : LivePeers(LeavingPeers::Include)) {
    SendTo(peer, LeavingNotice{ leaving });
  }
}

void PeerExchange::OnPeerStopping(const std::string& aAddress,
                                  Incarnation aIncarnation)
{
  const auto found = peers_.find(aAddress);
  if (found != peers_.end() && found->second.id.incarnation == aIncarnation) {
    sightings_.OnLeaving(PeerSightings::IdOf(aIncarnation), Now().steady);
    ForgetOwners();
  }
}

void PeerExchange::OnNoAnswer(const std::string& aAddress, Instant aSince)
{
  const auto found = peers_.find(aAddress);
  if (found == peers_.end() || found->second.lastReceivedAt >= aSince) {
    return;
  }
  found->second.unreachableUntil = Now().steady + kUnreachableTime;
  ForgetOwners();
  state_.log.Write(
    LogClass::StateChange,
    "peer-unreachable",
    { { "peer", found->second.id.name },
      { "address", aAddress },
      { "silent", Now().steady - found->second.lastReceivedAt } });
}

void PeerExchange::OnQueueWait(const std::string& aAddress,
                               const ServiceWait& aWait)
{
  const auto found = peers_.find(aAddress);
  if (found == peers_.end()) {
    return;
  }
  auto& waits = found->second.status.waits;
  const auto wait = std::ranges::find_if(waits, [&](const ServiceWait& aItem) {
    return aItem.service == aWait.service && aItem.priority == aWait.priority;
  });
  if (wait == waits.end()) {
    waits.push_back(aWait);
  } else {
    wait->wait = aWait.wait;
  }
}

void PeerExchange::AnnounceStop()
{
  ForgetOwners();
  SendStatusNow();
}

void PeerExchange::SendStatusNow()
{
  const WorkMeter::Scope work(state_.work, "status-round");
  std::vector<std::string> targets = RoundTargets();
  std::ranges::move(UnheardTargets(), std::back_inserter(targets));
  SendStatusTo(std::move(targets));
}

void PeerExchange::SendStatusTo(std::vector<std::string> aTargets)
{
  std::ranges::sort(aTargets);
  aTargets.erase(std::unique(aTargets.begin(), aTargets.end()), aTargets.end());
  if (aTargets.empty()) {
    return;
  }
  const GatewayStatus status = OwnStatus();
  for (const std::string& target : aTargets) {
    SendTo(target, status);
  }
}

asio::awaitable<void> PeerExchange::RoundLoop()
{
  asio::steady_timer timer(state_.loop);
  Instant nextRoundAt{};
  for (;;) {
    const Instant now = Now().steady;
    if (now >= nextRoundAt) {
      nextRoundAt = now + kStatusInterval;
      sightings_.BeginRound();
      SendStatusNow();
    } else {
      const WorkMeter::Scope work(state_.work, "status-round");
      SendStatusTo(UnheardTargets());
    }
    UpdatePeers(now);
    std::erase_if(heardAt_, [&](const auto& aItem) {
      return now - aItem.second >= kMemory;
    });
    state_.retryBudget.SetGatewayCount(LiveGateways());
    const bool isDiscovering =
      now < startedAt_ + kDiscoveryTime || !discovery_.IsSettled(now);
    timer.expires_after(isDiscovering ? kDiscoveryInterval : kStatusInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void PeerExchange::Receive(Route aRoute, PeerMessage aMessage)
{
  const WorkMeter::Scope work(state_.work, NameOf(aMessage.body));
  const PeerHeader& header = aMessage.header;
  const bool isForThisProcess =
    header.target == 0 || header.target == state_.self.incarnation;
  if (!isForThisProcess ||
      header.sender.incarnation == state_.self.incarnation) {
    state_.metrics.Count("peer_messages_dropped", "", "");
    if (const auto* const status = std::get_if<GatewayStatus>(&aMessage.body)) {
      OnStatusForPredecessor(header, *status);
    }
    return;
  }
  // Any message shows that the sender is alive, even if this gateway is not a
  // target of its status this round.
  sightings_.OnHeard(PeerSightings::IdOf(header.sender.incarnation),
                     Now().steady);
  const auto sender = std::ranges::find_if(peers_, [&](const auto& aItem) {
    return aItem.second.id.incarnation == header.sender.incarnation;
  });
  if (sender != peers_.end()) {
    sender->second.lastReceivedAt = Now().steady;
    sender->second.unreachableUntil = {};
  }
  if (auto* const status = std::get_if<GatewayStatus>(&aMessage.body)) {
    OnStatus(header, std::move(*status));
    return;
  }
  if (const auto* const prompt = std::get_if<PromptSent>(&aMessage.body)) {
    state_.loads.OnPeerPromptSent(
      prompt->backend, prompt->tokens, Now().steady);
    return;
  }
  if (const auto* const notice = std::get_if<LeavingNotice>(&aMessage.body)) {
    platformState_.OnLeaving(notice->leaving, header.sender.name);
    return;
  }
  if (handler_) {
    handler_(std::move(aRoute), header, std::move(aMessage.body));
  }
}

void PeerExchange::OnStatusForPredecessor(const PeerHeader& aHeader,
                                          const GatewayStatus& aStatus)
{
  const bool isKnown = peers_.contains(aStatus.address) ||
                       candidates_.contains(aStatus.address) ||
                       aHeader.sender.incarnation == state_.self.incarnation;
  if (isKnown) {
    return;
  }
  candidates_[aStatus.address] = Now().steady + kCandidateTimeout;
  SendTo(aStatus.address, OwnStatus());
}

void PeerExchange::OnStatus(const PeerHeader& aHeader, GatewayStatus aStatus)
{
  const Instant now = Now().steady;
  for (const std::string& address : aStatus.peers) {
    if (!peers_.contains(address) && address != state_.settings.peerAddress) {
      candidates_[address] = now + kCandidateTimeout;
    }
  }
  candidates_.erase(aStatus.address);
  Peer& peer = peers_[aStatus.address];
  const bool isNew = peer.id.incarnation != aHeader.sender.incarnation;
  peer.settledAt = FleetDiscovery::SettledAt(aStatus.settledFor, now);
  if (isNew) {
    discovery_.OnPeerFound(aStatus.settledFor, now);
  }
  if (isNew || !IsLive(peer, now)) {
    state_.log.Write(LogClass::StateChange,
                     isNew ? "peer-new" : "peer-back",
                     { { "peer", aHeader.sender.name },
                       { "address", aStatus.address },
                       { "version", aHeader.revision } });
  }
  peer.id = aHeader.sender;
  peer.lastReceivedAt = now;
  sightings_.OnReport(aStatus.sightings, now);
  state_.loads.OnPeerReport(aStatus.address, aStatus.loads, now);
  for (const PrefixRead& read : aStatus.reads) {
    state_.prefixes.OnPeerRead(read);
  }
  for (const LeavingBackend& leaving : aStatus.leaving) {
    platformState_.OnLeaving(leaving, aHeader.sender.name);
  }
  peer.status = std::move(aStatus);
  if (IsLeaving(peer)) {
    heardAt_.erase(peer.status.address);
  } else {
    heardAt_[peer.status.address] = now;
  }
  if (claimsHandler_) {
    claimsHandler_(peer.status.address, peer.status);
  }
  if (limitsHandler_) {
    limitsHandler_(peer.status.address, peer.status.limits);
  }
  // It may have just started, and know nothing; and an earlier reply may have
  // been lost while its connection was opened.
  const bool knowsThisGateway = aHeader.target != 0;
  if (isNew || !knowsThisGateway) {
    SendTo(peer.status.address, OwnStatus());
  }
  if (crashStatusHandler_) {
    crashStatusHandler_(peer.status);
  }
}

std::string PeerExchange::QueueOwnerOf(std::string_view aService) const
{
  const Instant now = Now().steady;
  CachedOwner& cached = owners_[std::string(aService)];
  if (now >= cached.until) {
    cached = { OwnerOf(Checksum(aService), "", UnreachablePeers::Exclude),
               now + kOwnerCacheTime };
  }
  return cached.address;
}

std::string PeerExchange::QueueOwnerWithout(std::string_view aService,
                                            std::string_view aPeer) const
{
  return OwnerOf(Checksum(aService), aPeer, UnreachablePeers::Exclude);
}

std::string PeerExchange::OwnerOf(std::uint64_t aKey) const
{
  return OwnerOf(aKey, "", UnreachablePeers::Include);
}

std::string PeerExchange::OwnerOf(std::uint64_t aKey,
                                  std::string_view aExcluded,
                                  UnreachablePeers aUnreachable) const
{
  const Instant now = Now().steady;
  std::vector<OwnerCandidate> candidates;
  if (!state_.IsStopping()) {
    candidates.push_back({ state_.settings.peerAddress,
                           state_.settings.processorShare,
                           discovery_.SettledFor(now) });
  }
  for (const auto& [address, peer] : peers_) {
    const bool isReachable =
      aUnreachable == UnreachablePeers::Include || now >= peer.unreachableUntil;
    const bool mayOwn = IsLive(peer, now) && !IsLeaving(peer) && isReachable &&
                        address != aExcluded;
    if (mayOwn) {
      candidates.push_back(
        { address,
          peer.status.processorShare,
          std::max(Duration{}, Duration(now - peer.settledAt)) });
    }
  }
  const std::string_view owner = ChooseOwner(aKey, candidates);
  return owner == state_.settings.peerAddress ? "" : std::string(owner);
}

void PeerExchange::ForgetOwners()
{
  for (auto& [service, owner] : owners_) {
    owner.until = {};
  }
}

bool PeerExchange::IsLive(const std::string& aAddress,
                          Incarnation aIncarnation) const
{
  const auto found = peers_.find(aAddress);
  return found != peers_.end() && IsLive(found->second, Now().steady) &&
         found->second.id.incarnation == aIncarnation;
}

std::string PeerExchange::AddressOf(Incarnation aIncarnation) const
{
  const auto found = std::ranges::find_if(peers_, [&](const auto& aItem) {
    return aItem.second.id.incarnation == aIncarnation;
  });
  return found == peers_.end() ? "" : found->first;
}

Incarnation PeerExchange::IncarnationOf(const std::string& aAddress) const
{
  const auto found = peers_.find(aAddress);
  return found == peers_.end() ? 0 : found->second.id.incarnation;
}

std::optional<Duration> PeerExchange::QueueWaitAt(const std::string& aAddress,
                                                  std::string_view aService,
                                                  std::uint32_t aPriority) const
{
  const auto found = peers_.find(aAddress);
  if (found == peers_.end()) {
    return std::nullopt;
  }
  const auto& waits = found->second.status.waits;
  const auto wait = std::ranges::find_if(waits, [&](const ServiceWait& aWait) {
    return aWait.service == aService && aWait.priority == aPriority;
  });
  return wait == waits.end() ? Duration{} : wait->wait;
}

std::vector<std::string> PeerExchange::LivePeers(LeavingPeers aLeaving) const
{
  const Instant now = Now().steady;
  std::vector<std::string> live;
  for (const auto& [address, peer] : peers_) {
    const bool isExcluded =
      aLeaving == LeavingPeers::Exclude && IsLeaving(peer);
    if (IsLive(peer, now) && !isExcluded) {
      live.push_back(address);
    }
  }
  return live;
}

Duration PeerExchange::Uptime() const
{
  return Now().steady - startedAt_;
}

bool PeerExchange::KnowsOwners() const
{
  return discovery_.HasOwners(Now().steady);
}

std::size_t PeerExchange::LiveGateways() const
{
  const Instant now = Now().steady;
  return 1 + static_cast<std::size_t>(
               std::ranges::count_if(peers_, [&](const auto& aItem) {
                 return IsLive(aItem.second, now);
               }));
}

std::size_t PeerExchange::RecentGateways() const
{
  const Instant now = Now().steady;
  const auto recent = std::ranges::count_if(heardAt_, [&](const auto& aItem) {
    return now - aItem.second < kRecentTime;
  });
  return std::max(LiveGateways(), 1 + static_cast<std::size_t>(recent));
}

void PeerExchange::SendTo(const std::string& aAddress, PeerBody aBody)
{
  transport_.SendTo(aAddress,
                    { HeaderFor(IncarnationOf(aAddress)), std::move(aBody) });
}

void PeerExchange::SendBack(const Route& aRoute,
                            Incarnation aTarget,
                            PeerBody aBody)
{
  transport_.SendBack(aRoute, { HeaderFor(aTarget), std::move(aBody) });
}

} // namespace gypsum
