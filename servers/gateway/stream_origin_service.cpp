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

} // namespace

StreamOriginService::StreamOriginService(GatewayState& aState,
                                         PeerExchange& aPeers)
  : state_(aState)
  , peers_(aPeers)
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

asio::awaitable<ResumeTarget> StreamOriginService::Find(
  ResumeQuestion aQuestion)
{
  const Instant begin = Now().steady;
  auto lookup = std::make_shared<Lookup>(state_.loop);
  lookup->knowledge.push_back(LocalKnowledge(aQuestion));
  lookup->hasRecord = lookup->knowledge.front().origin.has_value();
  std::size_t asked = 0;
  if (!lookup->hasRecord) {
    const std::uint64_t number = ++lastLookup_;
    lookups_[number] = lookup;
    const auto peers = peers_.LivePeers(LeavingPeers::Include);
    asked = peers.size();
    lookup->missingReplies = asked;
    for (const std::string& peer : peers) {
      peers_.SendTo(peer, StreamOriginRequest{ number, aQuestion });
    }
    lookup->changed.expires_at(begin + kReplyTimeout);
    if (lookup->missingReplies > 0) {
      boost::system::error_code ignored;
      co_await lookup->changed.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    lookups_.erase(number);
  }
  const ResumeTarget target =
    ResolveOrigin(lookup->knowledge, aQuestion.service);
  state_.metrics.Count("stream_resumes", "origin", NameOf(target.source));
  state_.log.Write(target.source == OriginSource::Unknown ? LogClass::Failure
                                                          : LogClass::Normal,
                   "stream-origin",
                   { { "resumes", aQuestion.attempt },
                     { "max-age", aQuestion.maxAge },
                     { "origin", NameOf(target.source) },
                     { "service", target.service },
                     { "software", target.version },
                     { "asked", asked },
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
