#include "servers/gateway/knowledge_service.h"

#include "core/gateway/peer_liveness.h"
#include "drivers/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace gypsum {

namespace asio = boost::asio;

namespace {

constexpr Duration kRoundInterval = std::chrono::milliseconds(50);

const KnowledgeClaim& ClaimIn(const auto& aMessage, StorePart aPart)
{
  switch (aPart) {
    case StorePart::Backends:
      return aMessage.backends;
    case StorePart::Evacuations:
      return aMessage.evacuations;
    case StorePart::Configuration:
      break;
  }
  return aMessage.configuration;
}

EvacuationList EvacuationsIn(const auto& aMessage)
{
  return { aMessage.evacuations.version, aMessage.evacuatedZones };
}

} // namespace

KnowledgeService::KnowledgeService(GatewayState& aState,
                                   PlatformState& aPlatformState,
                                   PeerExchange& aPeers)
  : state_(aState)
  , platformState_(aPlatformState)
  , peers_(aPeers)
{
}

void KnowledgeService::Start()
{
  state_.tasks.SpawnEndless("knowledge-rounds", [this] { return RoundLoop(); });
}

void KnowledgeService::RunRound()
{
  const WorkMeter::Scope work(state_.work, "knowledge-round");
  live_ = peers_.LivePeers(LeavingPeers::Include);
  std::ranges::for_each(kStoreParts, [&](StorePart aPart) {
    FetchIfDue(aPart);
    NoteAge(aPart);
  });
  // A question asks for all parts; each part chooses the peer in turn.
  for (std::size_t index = 0; index < kStoreParts.size(); ++index) {
    AskIfDue(kStoreParts[(firstPart_ + index) % kStoreParts.size()]);
  }
  firstPart_ = (firstPart_ + 1) % kStoreParts.size();
  const Instant now = Now().steady;
  const bool isUrgent = std::ranges::any_of(kStoreParts, [&](StorePart aPart) {
    return state_.Knowledge(aPart).Age(now) >= StoreKnowledge::kUrgentAge;
  });
  if (std::exchange(wasUrgent_, isUrgent) && !isUrgent) {
    Announce();
  }
}

asio::awaitable<void> KnowledgeService::RoundLoop()
{
  asio::steady_timer timer(state_.loop);
  for (;;) {
    RunRound();
    const Instant now = Now().steady;
    const Instant next = now + kRoundInterval;
    state_.metrics.RecordLoopLag(state_.loopLag.OnTick(now, next));
    timer.expires_at(next);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

bool KnowledgeService::IsReader(StorePart aPart)
{
  return state_.Knowledge(aPart).IsReader(live_, Now().steady);
}

KnowledgeReply KnowledgeService::OwnKnowledge(std::int64_t aNumber) const
{
  const Instant now = Now().steady;
  return { aNumber,
           state_.configurationKnowledge.Claim(now),
           state_.backendKnowledge.Claim(now),
           state_.evacuationKnowledge.Claim(now),
           state_.zones.List().zones };
}

void KnowledgeService::Announce()
{
  std::vector<std::string> targets = peers_.LivePeers(LeavingPeers::Include);
  if (targets.size() > kPeersPerRound) {
    std::ranges::shuffle(targets, state_.random);
    targets.resize(kPeersPerRound);
  }
  const KnowledgeReply notice = OwnKnowledge(0);
  for (const std::string& target : targets) {
    peers_.SendTo(target, notice);
  }
}

void KnowledgeService::Ask(const std::string& aPeer)
{
  // The number is the time of the question, which counts for the answer.
  peers_.SendTo(aPeer,
                KnowledgeRequest{ Now().steady.time_since_epoch().count() });
}

void KnowledgeService::AskIfDue(StorePart aPart)
{
  const Instant now = Now().steady;
  const auto witness = state_.Knowledge(aPart).ChooseWitness(live_, now);
  if (!witness) {
    return;
  }
  Ask(*witness);
  for (const StorePart part : kStoreParts) {
    state_.Knowledge(part).OnAsked(*witness, now);
  }
}

void KnowledgeService::FetchIfDue(StorePart aPart)
{
  if (aPart == StorePart::Evacuations) {
    // Each message that tells of a version brings the zones as well.
    return;
  }
  const auto source = state_.Knowledge(aPart).ChooseSource(live_, Now().steady);
  if (!source) {
    return;
  }
  if (aPart == StorePart::Configuration) {
    state_.log.Write(
      LogClass::StateChange,
      "configuration-requested",
      { { "peer", *source }, { "version", platformState_.Version() } });
    peers_.SendTo(*source, ManifestRequest{});
    return;
  }
  peers_.SendTo(*source, RegistryRequest{ state_.registry.Revision() });
}

void KnowledgeService::NoteAge(StorePart aPart)
{
  const StoreKnowledge& knowledge = state_.Knowledge(aPart);
  const Instant now = Now().steady;
  const bool isOutdated = knowledge.IsOutdated(now);
  if (isOutdated == outdated_.contains(aPart)) {
    return;
  }
  if (isOutdated) {
    outdated_.insert(aPart);
  } else {
    outdated_.erase(aPart);
  }
  state_.log.Write(LogClass::StateChange,
                   isOutdated ? "knowledge-outdated" : "knowledge-current",
                   { { "part", NameOf(aPart) },
                     { "version", TextOf(knowledge.Version()) },
                     { "age", knowledge.Age(now) },
                     { "read-age", knowledge.ReadAge(now) },
                     { "source", knowledge.Source() },
                     { "peers", live_.size() } });
}

void KnowledgeService::OnPeerStatus(const std::string& aPeer,
                                    const GatewayStatus& aStatus)
{
  const Instant now = Now().steady;
  platformState_.ReplaceEvacuations(EvacuationsIn(aStatus), aPeer);
  for (const StorePart part : kStoreParts) {
    StoreKnowledge& knowledge = state_.Knowledge(part);
    knowledge.OnShare(aPeer, aStatus.processorShare);
    knowledge.OnClaim(aPeer, ClaimIn(aStatus, part), now);
    if (ClaimIn(aStatus, part).version > knowledge.Version()) {
      FetchIfDue(part);
    }
  }
}

void KnowledgeService::OnKnowledgeReply(const PeerHeader& aHeader,
                                        const KnowledgeReply& aReply)
{
  const std::string peer = peers_.AddressOf(aHeader.sender.incarnation);
  if (peer.empty()) {
    return;
  }
  platformState_.ReplaceEvacuations(EvacuationsIn(aReply), peer);
  const Instant now = Now().steady;
  const Instant askedAt{ Duration(aReply.number) };
  const bool isAnswer = aReply.number > 0 && askedAt <= now;
  bool isWorthAsking = false;
  for (const StorePart part : kStoreParts) {
    StoreKnowledge& knowledge = state_.Knowledge(part);
    if (isAnswer) {
      knowledge.OnAnswer(peer, ClaimIn(aReply, part), askedAt, now);
    } else {
      knowledge.OnClaim(peer, ClaimIn(aReply, part), now);
      isWorthAsking = isWorthAsking || knowledge.IsWorthAsking(peer, now);
    }
    if (ClaimIn(aReply, part).version > knowledge.Version()) {
      FetchIfDue(part);
    }
  }
  if (isWorthAsking) {
    Ask(peer);
  }
}

bool KnowledgeService::OnPeerMessage(const Route& aRoute,
                                     const PeerHeader& aHeader,
                                     PeerBody& aBody)
{
  if (const auto* const request = std::get_if<KnowledgeRequest>(&aBody)) {
    peers_.SendBack(
      aRoute, aHeader.sender.incarnation, OwnKnowledge(request->number));
    return true;
  }
  if (const auto* const reply = std::get_if<KnowledgeReply>(&aBody)) {
    OnKnowledgeReply(aHeader, *reply);
    return true;
  }
  if (std::holds_alternative<ManifestRequest>(aBody)) {
    peers_.SendBack(aRoute,
                    aHeader.sender.incarnation,
                    ManifestReply{ state_.configurationText });
    return true;
  }
  if (const auto* const reply = std::get_if<ManifestReply>(&aBody)) {
    if (!reply->text.empty() && aHeader.revision > platformState_.Version()) {
      platformState_.AdoptConfiguration(
        reply->text,
        aHeader.sender.name,
        state_.configurationKnowledge.AgeAt(
          peers_.AddressOf(aHeader.sender.incarnation), Now().steady));
    }
    return true;
  }
  if (const auto* const request = std::get_if<RegistryRequest>(&aBody)) {
    peers_.SendBack(aRoute,
                    aHeader.sender.incarnation,
                    RegistryReply{ state_.registry.SnapshotSince(
                      request->since, Now().steady) });
    return true;
  }
  if (const auto* const reply = std::get_if<RegistryReply>(&aBody)) {
    platformState_.ReplaceBackends(reply->list, aHeader.sender.name);
    return true;
  }
  return false;
}

} // namespace gypsum
