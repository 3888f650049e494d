#include "servers/gateway/limit_service.h"

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

/** An answer takes one round trip, and some tens of ms at a busy gateway. */
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(80);
/** Time until the next question after one without an answer. */
constexpr Duration kSilentRetryAfter = std::chrono::milliseconds(250);
/** Time until gateways that disagree on who hands out places agree again. */
constexpr Duration kMisdirectedRetryAfter = std::chrono::milliseconds(100);
/** A server that changes its limit with each response does not fill the
 * network; status messages carry what is not told at once. */
constexpr Duration kMinTellInterval = std::chrono::milliseconds(200);

LimitAllotment::Key KeyOf(const BackendRecord& aBackend)
{
  return { aBackend.id, aBackend.startedMs };
}

} // namespace

LimitService::LimitService(GatewayState& aState, PeerExchange& aPeers)
  : state_(aState)
  , peers_(aPeers)
{
}

std::string LimitService::AllotterOf(std::string_view aBackend) const
{
  return peers_.OwnerOf(Checksum("limit:" + std::string(aBackend)));
}

void LimitService::OnResponse(const BackendRecord& aBackend,
                              const LimitStatement& aStatement)
{
  const Instant now = Now().steady;
  if (!state_.limits.OnStatement(aBackend, aStatement, now)) {
    return;
  }
  const LimitAllotment::Key key = KeyOf(aBackend);
  LogLimit(key, "own");
  Instant& toldAt = toldAt_[key];
  if (now - toldAt < kMinTellInterval) {
    return;
  }
  toldAt = now;
  const LimitNotice notice{ { WordOn(key) } };
  for (const std::string& peer : peers_.LivePeers(LeavingPeers::Include)) {
    peers_.SendTo(peer, notice);
  }
}

BackendLimit LimitService::WordOn(const LimitAllotment::Key& aServer) const
{
  return state_.limits.WordOf(aServer.first, aServer.second, Now().steady);
}

FleetView LimitService::ViewOfFleet(std::size_t aKnown) const
{
  return {
    peers_.LiveGateways(), aKnown, peers_.KnowsOwners(), peers_.HasOtherSeeds()
  };
}

LimitGrant LimitService::Allot(const LimitAllotment::Key& aServer,
                               std::optional<double> aColdRate,
                               std::uint32_t aPriority)
{
  const Instant now = Now().steady;
  const auto limit = state_.limits.Find(aServer.first, aServer.second);
  const BackendPtr backend =
    state_.registry.Find(aServer.first, aServer.second);
  const auto ownRate =
    backend ? state_.coldBackends.RateOf(*backend, now) : std::nullopt;
  const auto coldRate = aColdRate ? aColdRate : ownRate;
  if (!limit && !coldRate) {
    return { true, Duration{} };
  }
  // Gateways that are cut off hand out their own share meanwhile. Those that
  // start anew while they are cut off know less of the fleet, so that gateways
  // count for longer here: a cold server may crash at twice its rate.
  LimitTerms terms;
  if (coldRate) {
    terms = LimitTerms::OfColdServer(
      *coldRate, ShareOfColdServer(ViewOfFleet(peers_.KnownGateways())));
  }
  if (limit) {
    const LimitTerms ofLimit = LimitTerms::OfLimit(
      *limit, ShareOfLimit(ViewOfFleet(peers_.RecentGateways())));
    const bool isLower = !coldRate || ofLimit.perSecond < terms.perSecond;
    terms = isLower ? ofLimit : terms;
  }
  return allotment_.Ask(aServer, terms, aPriority, now);
}

asio::awaitable<LimitGrant> LimitService::AskAllotter(std::string aAllotter,
                                                      BackendPtr aBackend,
                                                      std::uint32_t aPriority)
{
  const std::uint64_t number = ++lastQuestion_;
  auto question = std::make_shared<Question>(state_.loop);
  questions_[number] = question;
  peers_.SendTo(
    aAllotter,
    LimitQuestion{
      number,
      WordOn(KeyOf(*aBackend)),
      aPriority,
      state_.coldBackends.RateOf(*aBackend, Now().steady).value_or(0.0) });
  question->answered.expires_after(kAnswerTimeout +
                                   state_.loopLag.At(Now().steady));
  boost::system::error_code ignored;
  co_await question->answered.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  questions_.erase(number);
  if (!question->grant) {
    state_.metrics.Count("limit_questions_unanswered", "", "");
  }
  co_return question->grant.value_or(LimitGrant{ false, kSilentRetryAfter });
}

asio::awaitable<LimitTicket> LimitService::Acquire(BackendPtr aBackend,
                                                   std::uint32_t aPriority)
{
  const Instant askedAt = Now().steady;
  if (!state_.allowances.Find(*aBackend, askedAt)) {
    co_return LimitTicket{ LimitPlace::NotNeeded, askedAt };
  }
  if (state_.limitBlocks.IsBlocked(*aBackend, askedAt)) {
    co_return LimitTicket{ LimitPlace::Refused, askedAt };
  }
  const bool isCold = state_.coldBackends.IsCold(*aBackend, askedAt);
  const std::string allotter = AllotterOf(aBackend->id);
  LimitGrant grant;
  if (allotter.empty()) {
    grant = Allot(KeyOf(*aBackend), std::nullopt, aPriority);
  } else {
    grant = co_await AskAllotter(allotter, aBackend, aPriority);
  }
  state_.metrics.Count(isCold ? "cold_places" : "limit_places",
                       "result",
                       grant.isGranted ? "granted" : "refused");
  const Instant now = Now().steady;
  if (!grant.isGranted) {
    state_.limitBlocks.Block(*aBackend,
                             now + AskAgainAfter(grant, state_.DrawFraction()));
    co_return LimitTicket{ LimitPlace::Refused, now };
  }
  co_return LimitTicket{ LimitPlace::Taken, now };
}

bool LimitService::OnPeerMessage(const Route& aRoute,
                                 const PeerHeader& aHeader,
                                 PeerBody& aBody)
{
  if (const auto* const notice = std::get_if<LimitNotice>(&aBody)) {
    OnPeerLimits(aHeader.sender.name, notice->limits);
    return true;
  }
  if (const auto* const question = std::get_if<LimitQuestion>(&aBody)) {
    const BackendLimit& limit = question->limit;
    OnPeerLimits(aHeader.sender.name, std::span(&limit, 1));
    const LimitGrant grant =
      AllotterOf(limit.backend).empty()
        ? Allot({ limit.backend, limit.startedMs },
                question->coldPerSecond > 0.0
                  ? std::optional(question->coldPerSecond)
                  : std::nullopt,
                question->priority)
        : LimitGrant{ false, kMisdirectedRetryAfter };
    peers_.SendBack(aRoute,
                    aHeader.sender.incarnation,
                    LimitAnswer{ question->number, grant });
    return true;
  }
  if (const auto* const answer = std::get_if<LimitAnswer>(&aBody)) {
    const auto found = questions_.find(answer->number);
    if (found != questions_.end()) {
      found->second->grant = answer->grant;
      found->second->answered.cancel();
    }
    return true;
  }
  return false;
}

void LimitService::OnPeerLimits(const std::string& aPeer,
                                std::span<const BackendLimit> aLimits)
{
  for (const BackendLimit& limit : aLimits) {
    if (state_.limits.Merge(limit, Now().steady)) {
      LogLimit({ limit.backend, limit.startedMs }, aPeer);
    }
  }
}

void LimitService::LogLimit(const LimitAllotment::Key& aServer,
                            std::string_view aSource) const
{
  const auto limit = state_.limits.Find(aServer.first, aServer.second);
  state_.log.Write(LogClass::StateChange,
                   "backend-limit",
                   { { "backend", aServer.first },
                     { "per-second", limit ? std::to_string(*limit) : "none" },
                     { "source", aSource } });
}

void LimitService::Expire()
{
  const Instant now = Now().steady;
  allotment_.Expire(now);
  state_.limitBlocks.Expire(now);
  std::erase_if(toldAt_, [&](const auto& aItem) {
    return now - aItem.second >= kMinTellInterval;
  });
}

std::string LimitService::StateText() const
{
  std::string text;
  for (const BackendLimit& limit : state_.limits.All(Now().steady)) {
    if (limit.isLimited) {
      text += "limit of " + limit.backend + ": " +
              std::to_string(limit.perSecond) + " requests a second\n";
    }
  }
  return text;
}

} // namespace gypsum
