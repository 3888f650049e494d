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
  , random_(static_cast<std::uint_fast32_t>(aState.self.incarnation))
{
}

double LimitService::Spread()
{
  return std::uniform_real_distribution<double>(1.0, 2.0)(random_);
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

LimitGrant LimitService::Allot(const LimitAllotment::Key& aServer,
                               std::uint32_t aPriority)
{
  const auto limit = state_.limits.Find(aServer.first, aServer.second);
  if (!limit) {
    return { true, Duration{} };
  }
  // Gateways that are cut off hand out their own share meanwhile.
  const double share = static_cast<double>(peers_.LiveGateways()) /
                       static_cast<double>(peers_.RecentGateways());
  return allotment_.Ask(
    aServer, *limit * std::min(1.0, share), aPriority, Now().steady);
}

asio::awaitable<LimitGrant> LimitService::AskAllotter(std::string aAllotter,
                                                      BackendPtr aBackend,
                                                      std::uint32_t aPriority)
{
  const std::uint64_t number = ++lastQuestion_;
  auto question = std::make_shared<Question>(state_.loop);
  questions_[number] = question;
  peers_.SendTo(aAllotter,
                LimitQuestion{ number, WordOn(KeyOf(*aBackend)), aPriority });
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

asio::awaitable<LimitPlace> LimitService::Acquire(BackendPtr aBackend,
                                                  std::uint32_t aPriority)
{
  if (!state_.limits.Find(*aBackend)) {
    co_return LimitPlace::NotNeeded;
  }
  if (state_.limitBlocks.IsBlocked(*aBackend, Now().steady)) {
    co_return LimitPlace::Refused;
  }
  const std::string allotter = AllotterOf(aBackend->id);
  LimitGrant grant;
  if (allotter.empty()) {
    grant = Allot(KeyOf(*aBackend), aPriority);
  } else {
    grant = co_await AskAllotter(allotter, aBackend, aPriority);
  }
  state_.metrics.Count(
    "limit_places", "result", grant.isGranted ? "granted" : "refused");
  if (!grant.isGranted) {
    // Half of the spread lies below the time that was named.
    const Duration wait(static_cast<std::int64_t>(
      static_cast<double>(grant.retryAfter.count()) * 0.7 * Spread()));
    state_.limitBlocks.Block(*aBackend, Now().steady + wait);
  }
  co_return grant.isGranted ? LimitPlace::Taken : LimitPlace::Refused;
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
        ? Allot({ limit.backend, limit.startedMs }, question->priority)
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
