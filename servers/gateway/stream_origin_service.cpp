#include "servers/gateway/stream_origin_service.h"

#include "core/hash.h"
#include "drivers/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** Peers that get a copy of each origin. */
constexpr std::size_t kCopies = 4;
/** Replies take one round trip, and some tens of ms at a busy gateway. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);
/** Time from the start of a gateway until it knows its peers: two rounds of
 * status messages, and a connection that is set up meanwhile. */
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(1'000);
constexpr Duration kDiscoveryPollInterval = std::chrono::milliseconds(50);
/** The store responds in a few ms, a slow one in a few hundred ms. */
constexpr Duration kStoreTimeout = std::chrono::milliseconds(600);
constexpr Duration kStorePollInterval = std::chrono::milliseconds(5);

} // namespace

StreamOriginService::StreamOriginService(GatewayState& aState,
                                         PeerExchange& aPeers)
  : state_(aState)
  , peers_(aPeers)
  , startedAt_(Now().steady)
{
}

void StreamOriginService::Store(ExpiringOrigin aOrigin)
{
  const std::string attempt = aOrigin.origin.attempt;
  if (!origins_.Add(std::move(aOrigin), Now().steady)) {
    state_.metrics.Count("stream_origins_dropped", "", "");
    state_.log.Write(LogClass::Failure,
                     "stream-origin-dropped",
                     { { "id", attempt }, { "stored", origins_.Size() } });
  }
}

void StreamOriginService::Copy(std::string_view aKey,
                               const StreamOriginNotice& aNotice)
{
  std::vector<std::string> peers = peers_.LivePeers(LeavingPeers::Exclude);
  const std::uint64_t key = Checksum(aKey);
  const std::size_t count = std::min(kCopies, peers.size());
  std::ranges::partial_sort(
    peers,
    peers.begin() + static_cast<std::ptrdiff_t>(count),
    std::ranges::greater{},
    [&](const std::string& aPeer) { return RendezvousWeight(key, aPeer); });
  peers.resize(count);
  for (const std::string& peer : peers) {
    peers_.SendTo(peer, aNotice);
  }
}

void StreamOriginService::OnStreamBegun(ExpiringOrigin aOrigin)
{
  Copy(aOrigin.origin.attempt, StreamOriginNotice{ { aOrigin } });
  Store(std::move(aOrigin));
}

void StreamOriginService::HandOver()
{
  const StreamOriginNotice notice{ origins_.All(Now().steady) };
  if (!notice.origins.empty()) {
    Copy(state_.settings.peerAddress, notice);
  }
}

void StreamOriginService::RemoveExpired()
{
  origins_.RemoveExpired(Now().steady);
}

OriginKnowledge StreamOriginService::LocalKnowledge(
  const ResumeQuestion& aQuestion) const
{
  const Instant now = Now().steady;
  const Instant earliest = now - aQuestion.maxAge;
  const StoreKnowledge& registry = state_.backendKnowledge;
  const bool hasRunSince = state_.versions.Covers(earliest, now);
  return { origins_.Find(aQuestion.attempt, now),
           state_.versions.ListedSince(aQuestion.service, earliest),
           hasRunSince,
           hasRunSince && registry.FollowedSince() &&
             *registry.FollowedSince() <= earliest &&
             registry.Age(now) <= StoreKnowledge::kMaxGap };
}

void StreamOriginService::AskPeers(std::uint64_t aNumber, Lookup& aLookup)
{
  for (const std::string& peer : peers_.LivePeers(LeavingPeers::Include)) {
    if (aLookup.asked.insert(peer).second) {
      ++aLookup.missingReplies;
      peers_.SendTo(peer, StreamOriginRequest{ aNumber, aLookup.question });
    }
  }
}

asio::awaitable<void> StreamOriginService::AskAllPeers(
  std::uint64_t aNumber,
  std::shared_ptr<Lookup> aLookup)
{
  // A gateway that has just started doesn't know all of its peers yet.
  const Instant discoveredAt = startedAt_ + kDiscoveryTime;
  const Instant deadline =
    std::max(aLookup->begin + kReplyTimeout, discoveredAt);
  while (!aLookup->hasRecord && Now().steady < deadline) {
    AskPeers(aNumber, *aLookup);
    if (aLookup->missingReplies == 0 && Now().steady >= discoveredAt) {
      break;
    }
    aLookup->changed.expires_at(
      std::min(deadline, Now().steady + kDiscoveryPollInterval));
    boost::system::error_code ignored;
    co_await aLookup->changed.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> StreamOriginService::UpdateVersions(
  std::shared_ptr<Lookup> aLookup)
{
  const Instant begin = Now().steady;
  readRegistry_();
  while (!CoverageOf(*aLookup).isCurrent &&
         Now().steady - begin < kStoreTimeout) {
    aLookup->changed.expires_after(kStorePollInterval);
    boost::system::error_code ignored;
    co_await aLookup->changed.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  aLookup->knowledge.push_back(LocalKnowledge(aLookup->question));
}

OriginCoverage StreamOriginService::CoverageOf(const Lookup& aLookup) const
{
  const auto confirmedAt = state_.backendKnowledge.ConfirmedAt();
  // The replies of peers come behind the own knowledge.
  const std::size_t known = peers_.KnownGateways();
  return { confirmedAt && *confirmedAt >= aLookup.begin,
           known > 1 && aLookup.missingReplies == 0 &&
             aLookup.knowledge.size() >= known };
}

asio::awaitable<ResumeTarget> StreamOriginService::Find(
  ResumeQuestion aQuestion)
{
  const std::uint64_t number = ++lastLookup_;
  auto lookup = std::make_shared<Lookup>(state_.loop);
  lookup->begin = Now().steady;
  lookup->question = std::move(aQuestion);
  const ResumeQuestion& question = lookup->question;
  lookup->knowledge.push_back(LocalKnowledge(question));
  lookup->hasRecord = lookup->knowledge.front().origin.has_value();
  lookups_[number] = lookup;
  co_await AskAllPeers(number, lookup);
  lookups_.erase(number);
  OriginCoverage coverage = CoverageOf(*lookup);
  ResumeTarget target =
    ResolveOrigin(lookup->knowledge, coverage, question.service);
  if (target.source == OriginSource::Unknown && !coverage.isCurrent &&
      NeedsCurrentRegistry(lookup->knowledge)) {
    co_await UpdateVersions(lookup);
    coverage = CoverageOf(*lookup);
    target = ResolveOrigin(lookup->knowledge, coverage, question.service);
  }
  state_.metrics.Count("stream_resumes", "origin", NameOf(target.source));
  state_.log.Write(target.source == OriginSource::Unknown ? LogClass::Failure
                                                          : LogClass::Normal,
                   "stream-origin",
                   { { "resumes", question.attempt },
                     { "max-age", question.maxAge },
                     { "origin", NameOf(target.source) },
                     { "service", target.service },
                     { "software", target.version },
                     { "asked", lookup->asked.size() },
                     { "silent", lookup->missingReplies },
                     { "all-answered", coverage.haveAllAnswered ? 1U : 0U },
                     { "current", coverage.isCurrent ? 1U : 0U },
                     { "took", Now().steady - lookup->begin } });
  co_return target;
}

bool StreamOriginService::OnPeerMessage(const Route& aRoute,
                                        const PeerHeader& aHeader,
                                        PeerBody& aBody)
{
  if (auto* const notice = std::get_if<StreamOriginNotice>(&aBody)) {
    for (ExpiringOrigin& origin : notice->origins) {
      Store(std::move(origin));
    }
    return true;
  }
  if (const auto* const request = std::get_if<StreamOriginRequest>(&aBody)) {
    peers_.SendBack(
      aRoute,
      aHeader.sender.incarnation,
      StreamOriginReply{ request->number, LocalKnowledge(request->question) });
    return true;
  }
  auto* const reply = std::get_if<StreamOriginReply>(&aBody);
  if (!reply) {
    return false;
  }
  const auto found = lookups_.find(reply->number);
  if (found == lookups_.end()) {
    return true;
  }
  Lookup& lookup = *found->second;
  --lookup.missingReplies;
  if (reply->knowledge.origin) {
    lookup.hasRecord = true;
    Store(*reply->knowledge.origin);
  }
  lookup.knowledge.push_back(std::move(reply->knowledge));
  if (lookup.hasRecord || lookup.missingReplies == 0) {
    lookup.changed.cancel();
  }
  return true;
}

} // namespace gypsum
