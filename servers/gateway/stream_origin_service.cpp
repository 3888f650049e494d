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
  return { origins_.Find(aQuestion.attempt, now),
           state_.versions.ListedSince(aQuestion.service, earliest),
           state_.versions.Covers(earliest, now) };
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

asio::awaitable<ResumeTarget> StreamOriginService::Find(
  ResumeQuestion aQuestion)
{
  const Instant begin = Now().steady;
  // A gateway that has just started doesn't know all of its peers yet.
  const Instant discoveredAt = startedAt_ + kDiscoveryTime;
  const Instant deadline = std::max(begin + kReplyTimeout, discoveredAt);
  const std::uint64_t number = ++lastLookup_;
  auto lookup = std::make_shared<Lookup>(state_.loop);
  lookup->question = std::move(aQuestion);
  const ResumeQuestion& question = lookup->question;
  lookup->knowledge.push_back(LocalKnowledge(question));
  lookup->hasRecord = lookup->knowledge.front().origin.has_value();
  lookups_[number] = lookup;
  while (!lookup->hasRecord && Now().steady < deadline) {
    AskPeers(number, *lookup);
    if (lookup->missingReplies == 0 && Now().steady >= discoveredAt) {
      break;
    }
    lookup->changed.expires_at(
      std::min(deadline, Now().steady + kDiscoveryPollInterval));
    boost::system::error_code ignored;
    co_await lookup->changed.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  lookups_.erase(number);
  const ResumeTarget target =
    ResolveOrigin(lookup->knowledge, question.service);
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
                     { "took", Now().steady - begin } });
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
