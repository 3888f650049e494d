#include "servers/gateway/store_follower.h"

#include "drivers/clock.h"
#include "drivers/edge/backend_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Longest wait of a watch: a connection gone silent costs this much time. */
constexpr Duration kWatchWait = std::chrono::milliseconds(1'500);
/** An answer of the store takes a few ms; slow days a hundred times that. */
constexpr Duration kAnswerTime = std::chrono::milliseconds(900);
/** Between two watches that found changes; a sixth of the drain bound. */
constexpr Duration kChangePause = std::chrono::milliseconds(350);
constexpr Duration kFirstRetry = std::chrono::milliseconds(150);
constexpr Duration kLongestRetry = std::chrono::milliseconds(1'000);
/** How often a gateway that does not read looks whether it should. */
constexpr Duration kReaderCheck = std::chrono::milliseconds(250);
constexpr std::size_t kMostAnswerBytes = 67'108'864;

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kTooMany = 429;

Duration Jittered(Duration aTime)
{
  static std::minstd_rand source{ std::random_device{}() };
  std::uniform_real_distribution<double> factor(0.7, 1.3);
  return Duration(static_cast<std::int64_t>(static_cast<double>(aTime.count()) *
                                            factor(source)));
}

} // namespace

StoreFollower::StoreFollower(GatewayState& aState,
                             PlatformState& aPlatformState,
                             IsReader aIsReader)
  : state_(aState)
  , platformState_(aPlatformState)
  , isReader_(std::move(aIsReader))
{
}

void StoreFollower::Start()
{
  asio::co_spawn(state_.loop, Follow(StorePart::Configuration), asio::detached);
  asio::co_spawn(state_.loop, Follow(StorePart::Backends), asio::detached);
}

asio::awaitable<void> StoreFollower::Pause(Duration aTime)
{
  asio::steady_timer timer(state_.loop, aTime);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<StoreFollower::Reply> StoreFollower::Call(std::string aTarget,
                                                          Duration aWait)
{
  Reply reply;
  const Instant begin = Now().steady;
  const Instant latest = begin + aWait + kAnswerTime;
  BackendExchange exchange(state_.pool, state_.settings.storeAddress);
  const ExchangeState connected =
    co_await exchange.Connect(Reuse::Any, begin + kAnswerTime);
  if (connected != ExchangeState::Ok) {
    platformState_.OnStoreFailed("no-connection");
    co_return reply;
  }
  const bool isFresh = exchange.IsFresh();
  BackendExchange::Request request{ http::verb::get, aTarget, 11 };
  request.set(http::field::host, state_.settings.storeAddress);
  exchange.Send(std::move(request));
  state_.metrics.Count("store_calls", "", "");
  const ExchangeState headed = co_await exchange.ReadHead(latest);
  if (headed != ExchangeState::Ok) {
    // A kept connection or a waiting watch may end without a fault.
    const bool isHarmless =
      headed == ExchangeState::Broken &&
      (!isFresh || Now().steady - begin > kChangePause / 4);
    if (isHarmless) {
      reply.kind = Reply::Kind::Cut;
    } else {
      platformState_.OnStoreFailed(
        headed == ExchangeState::TimedOut ? "no-answer" : "broken");
    }
    co_return reply;
  }
  const unsigned status = exchange.GetHead().result_int();
  const BodyPart body =
    co_await exchange.ReadRest(latest + kAnswerTime, kMostAnswerBytes);
  if (body.state != ExchangeState::Ok) {
    platformState_.OnStoreFailed("broken-answer");
    co_return reply;
  }
  exchange.Finish(std::nullopt, true);
  if (status == kGone) {
    reply.kind = Reply::Kind::HistoryGone;
    platformState_.OnStoreAnswered();
    co_return reply;
  }
  if (status != kOk) {
    reply.isRefused = status == kTooMany;
    platformState_.OnStoreFailed("status-" + std::to_string(status));
    co_return reply;
  }
  auto decoded = DecodeStoreAnswer(body.bytes);
  if (const auto* const fault = std::get_if<DecodeFault>(&decoded)) {
    platformState_.OnStoreFailed("unreadable: " + fault->text);
    co_return reply;
  }
  reply.kind = Reply::Kind::Good;
  reply.answer = std::move(std::get<StoreAnswer>(decoded));
  platformState_.OnStoreAnswered();
  co_return reply;
}

void StoreFollower::Adopt(StorePart aPart, const StoreAnswer& aAnswer)
{
  for (const DecodeFault& fault : aAnswer.faults) {
    state_.log.Write(LogClass::StateChange,
                     "store-entry-unreadable",
                     { { "reason", fault.text } });
  }
  if (aPart == StorePart::Configuration) {
    if (aAnswer.configuration) {
      platformState_.AdoptConfiguration(aAnswer.configuration->text, "store");
    }
    return;
  }
  platformState_.ApplyBackends(aAnswer.backends, "store");
}

asio::awaitable<bool> StoreFollower::List(StorePart aPart,
                                          std::uint64_t& aRevision)
{
  RegistrySnapshot list;
  std::string after;
  for (bool isFirst = true; isFirst || !after.empty(); isFirst = false) {
    Reply reply = co_await Call(StoreListTarget(aPart, after), Duration{});
    if (reply.kind != Reply::Kind::Good) {
      co_return false;
    }
    // Pages are no snapshot: changes after the first are watched for.
    if (isFirst) {
      list.revision = reply.answer.revision;
    }
    if (aPart == StorePart::Configuration) {
      Adopt(aPart, reply.answer);
    }
    std::ranges::move(reply.answer.backends, std::back_inserter(list.entries));
    after = reply.answer.nextPage.value_or("");
  }
  if (aPart == StorePart::Backends) {
    platformState_.ReplaceBackends(list, "store");
  }
  aRevision = list.revision;
  co_return true;
}

asio::awaitable<void> StoreFollower::Follow(StorePart aPart)
{
  std::uint64_t revision = 0;
  bool isListed = false;
  Duration retry = kFirstRetry;
  for (;;) {
    if (!isReader_()) {
      isListed = false;
      co_await Pause(kReaderCheck);
      continue;
    }
    if (!isListed) {
      isListed = co_await List(aPart, revision);
      if (!isListed) {
        co_await Pause(Jittered(retry));
        retry = std::min(retry * 2, kLongestRetry);
      }
      continue;
    }
    const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(kWatchWait);
    Reply reply = co_await Call(
      StoreWatchTarget(
        aPart, revision, static_cast<std::uint64_t>(wait.count())),
      kWatchWait);
    switch (reply.kind) {
      case Reply::Kind::Good:
        retry = kFirstRetry;
        revision = std::max(revision, reply.answer.revision);
        Adopt(aPart, reply.answer);
        if (aPart == StorePart::Backends && !reply.answer.backends.empty()) {
          co_await Pause(kChangePause);
        }
        break;
      case Reply::Kind::HistoryGone:
        isListed = false;
        break;
      case Reply::Kind::Cut:
        co_await Pause(Jittered(kFirstRetry / 4));
        break;
      case Reply::Kind::Failed:
        co_await Pause(Jittered(reply.isRefused ? kLongestRetry : retry));
        retry = std::min(retry * 2, kLongestRetry);
        break;
    }
  }
}

} // namespace gypsum
