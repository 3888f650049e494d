#include "servers/gateway/store_follower.h"

#include "core/printable_text.h"
#include "core/scope_exit.h"
#include "drivers/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <bit>
#include <random>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Maximum wait of a watch, and so the age of a reader's knowledge; bounds the
 * delay caused by a dead connection. */
constexpr Duration kMaxWatchWait = std::chrono::milliseconds(700);
/** The store usually responds in a few ms, a slow one in a few hundred ms. */
constexpr Duration kResponseTimeout = std::chrono::milliseconds(900);
/** Pause after a watch that returned changes of servers, which come in series.
 */
constexpr Duration kChangePause = std::chrono::milliseconds(350);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1'000);
/** How often a gateway checks whether it has become a reader. */
constexpr Duration kReaderCheckInterval = std::chrono::milliseconds(50);
/** Several items of the largest size; a gateway may use 260 MB. */
constexpr std::size_t kMaxResponseBytes = 16'777'216;

/** Pages from which on a list is logged, at each doubling. */
constexpr std::size_t kLongListPages = 32;

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kTooManyRequests = 429;

Duration Jittered(Duration aTime)
{
  static std::minstd_rand source{ std::random_device{}() };
  std::uniform_real_distribution<double> factor(0.7, 1.3);
  return Duration(static_cast<std::int64_t>(static_cast<double>(aTime.count()) *
                                            factor(source)));
}

/** Memory that a list takes for the entries of a page. */
std::size_t BytesOf(const StoreResponse& aResponse)
{
  std::size_t bytes = 0;
  for (const RegistryChange& change : aResponse.backends) {
    bytes += sizeof(change) + change.id.size();
    if (change.record) {
      const BackendRecord& record = *change.record;
      bytes += record.id.size() + record.service.size() +
               record.address.size() + record.zone.size() +
               record.version.size();
    }
  }
  for (const ZoneChange& change : aResponse.zones) {
    bytes += sizeof(change) + change.zone.size();
  }
  return bytes;
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
  for (const StorePart part :
       { StorePart::Configuration, StorePart::Backends }) {
    state_.tasks.SpawnEndless("store-follower",
                              [this, part] { return Follow(part); });
  }
}

void StoreFollower::SetReading(StorePart aPart, bool aIsReading)
{
  const bool wasReading = reading_.contains(aPart);
  if (wasReading == aIsReading) {
    return;
  }
  if (aIsReading) {
    reading_.insert(aPart);
  } else {
    reading_.erase(aPart);
  }
  state_.log.Write(
    LogClass::StateChange,
    "store-reading",
    { { "part", NameOf(aPart) },
      { "reads", aIsReading ? 1U : 0U },
      { "read-age", state_.Knowledge(aPart).ReadAge(Now().steady) } });
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
  reply.sentAt = begin;
  const Instant deadline = begin + aWait + kResponseTimeout;
  BackendExchange exchange(state_.pool, state_.settings.storeAddress);
  const ExchangeState connectState =
    co_await exchange.Connect(Reuse::Any, begin + kResponseTimeout);
  if (connectState != ExchangeState::Ok) {
    platformState_.OnStoreCallFailed("no-connection");
    co_return reply;
  }
  const bool isFresh = exchange.IsFresh();
  BackendExchange::Request request{ http::verb::get, aTarget, 11 };
  request.set(http::field::host, state_.settings.storeAddress);
  exchange.Send(std::move(request));
  state_.metrics.Count("store_calls", "", "");
  const ExchangeState headState = co_await exchange.ReadHead(deadline);
  if (headState != ExchangeState::Ok) {
    // The store may close a reused connection or a waiting watch in normal
    // operation.
    const bool isExpectedEnd =
      headState == ExchangeState::Broken &&
      (!isFresh || Now().steady - begin > kChangePause / 4);
    if (isExpectedEnd) {
      reply.kind = Reply::Kind::Interrupted;
    } else {
      platformState_.OnStoreCallFailed(
        headState == ExchangeState::TimedOut ? "no-answer" : "broken");
    }
    co_return reply;
  }
  const unsigned status = exchange.GetHead().result_int();
  reply.era = EraOf(exchange);
  const BodyPart body =
    co_await exchange.ReadRest(deadline + kResponseTimeout, kMaxResponseBytes);
  if (body.state != ExchangeState::Ok) {
    const bool isTooLarge = exchange.IsEndless();
    reply.kind = isTooLarge ? Reply::Kind::TooLarge : Reply::Kind::Failed;
    platformState_.OnStoreCallFailed(isTooLarge ? "too-large"
                                                : "broken-answer");
    co_return reply;
  }
  exchange.Finish(std::nullopt, true);
  if (status == kGone) {
    reply.kind = Reply::Kind::HistoryUnavailable;
    platformState_.OnStoreCallSucceeded();
    co_return reply;
  }
  if (status != kOk) {
    reply.isRateLimited = status == kTooManyRequests;
    platformState_.OnStoreCallFailed("status-" + std::to_string(status));
    co_return reply;
  }
  auto decoded =
    DecodeStoreResponse(body.bytes, reply.era.value_or(eras_.Current()));
  if (const auto* const fault = std::get_if<DecodeFault>(&decoded)) {
    platformState_.OnStoreCallFailed("unreadable: " + fault->text);
    co_return reply;
  }
  reply.kind = Reply::Kind::Success;
  reply.response = std::move(std::get<StoreResponse>(decoded));
  platformState_.OnStoreCallSucceeded();
  co_return reply;
}

std::optional<std::uint64_t> StoreFollower::EraOf(
  const BackendExchange& aExchange)
{
  const auto& head = aExchange.GetHead();
  const auto field = head.find(StoreEraHeader());
  if (field == head.end()) {
    return std::nullopt;
  }
  const auto era = DecodeStoreEra(field->value());
  if (!era) {
    state_.log.Write(LogClass::StateChange,
                     "store-era-unreadable",
                     { { "era", std::string_view(field->value()) } });
  }
  return era;
}

bool StoreFollower::IsCurrent(StorePart aPart,
                              StoreEras::Verdict aVerdict,
                              std::uint64_t aExpected,
                              const Reply& aReply)
{
  if (aVerdict == StoreEras::Verdict::Current) {
    return true;
  }
  state_.log.Write(LogClass::StateChange,
                   aVerdict == StoreEras::Verdict::Older ? "store-era-older"
                                                         : "store-era-changed",
                   { { "part", NameOf(aPart) },
                     { "expected", aExpected },
                     { "era", aReply.era.value_or(0) } });
  return false;
}

void StoreFollower::NoteFaults(StorePart aPart,
                               std::span<const DecodeFault> aFaults)
{
  if (aFaults.empty()) {
    return;
  }
  std::ranges::for_each(aFaults, [&](const DecodeFault&) {
    state_.metrics.Count("store_entries_unreadable", "part", NameOf(aPart));
  });
  state_.log.Write(LogClass::StateChange,
                   "store-entries-unreadable",
                   { { "part", NameOf(aPart) },
                     { "count", aFaults.size() },
                     { "first", ToPrintable(aFaults.front().text) } });
}

void StoreFollower::Adopt(StorePart aPart, const StoreResponse& aResponse)
{
  if (aPart == StorePart::Configuration) {
    if (aResponse.configuration) {
      platformState_.AdoptConfiguration(
        aResponse.configuration->text, "store", Duration{});
    }
    return;
  }
  platformState_.ApplyBackends(aResponse.backends, "store");
}

void StoreFollower::NoteListPage(StorePart aPart, const StoreList& aList)
{
  state_.metrics.Count("store_list_pages", "part", NameOf(aPart));
  const std::size_t page = aList.Pages() + 1;
  if (page >= kLongListPages && std::has_single_bit(page)) {
    state_.log.Write(LogClass::Failure,
                     "store-list-long",
                     { { "part", NameOf(aPart) },
                       { "page", page },
                       { "entries", aList.Items() },
                       { "after", aList.After() } });
  }
}

asio::awaitable<bool> StoreFollower::List(StorePart aPart,
                                          StoreRevision& aRevision)
{
  StoreList list;
  if (co_await ReadPages(aPart, list, aRevision)) {
    co_return true;
  }
  platformState_.OnListFailed(aPart, list);
  co_return false;
}

asio::awaitable<bool> StoreFollower::ReadPages(StorePart aPart,
                                               StoreList& aList,
                                               StoreRevision& aRevision)
{
  RegistrySnapshot registry;
  EvacuationList evacuations;
  ByteReservation kept(state_.pool.BodyBudget());
  std::size_t keptBytes = 0;
  Instant begin{};
  while (aList.GetState() == StoreList::State::Reading) {
    NoteListPage(aPart, aList);
    const bool isFirst = aList.Pages() == 0;
    Reply reply =
      co_await Call(StoreListTarget(aPart, aList.After()), Duration{});
    if (reply.kind != Reply::Kind::Success) {
      co_return false;
    }
    // The pages are not one snapshot: the watch starts at the revision of the
    // first page, so that it includes changes during the listing.
    if (isFirst) {
      eras_.OnPeer(state_.registry.Revision().era);
      const std::uint64_t known = eras_.Current();
      if (!IsCurrent(aPart, eras_.OnList(reply.era), known, reply)) {
        co_return false;
      }
      registry.revision = reply.response.revision;
      evacuations.version = registry.revision;
      begin = reply.sentAt;
    }
    const std::uint64_t era = registry.revision.era;
    if (!IsCurrent(aPart, StoreEras::OfWatch(era, reply.era), era, reply)) {
      co_return false;
    }
    NoteFaults(aPart, reply.response.faults);
    if (aPart == StorePart::Configuration) {
      Adopt(aPart, reply.response);
    }
    std::erase_if(reply.response.backends, [&](const RegistryChange& aChange) {
      return aChange.isUnreadable && !state_.registry.Lists(aChange.id);
    });
    keptBytes += BytesOf(reply.response);
    aList.OnPage(reply.response.page);
    if (!kept.Reserve(keptBytes)) {
      aList.OnOutOfMemory();
    }
    // Servers of a list that is never whole are better than none.
    const bool isWhole = aList.GetState() == StoreList::State::Complete;
    if (aPart == StorePart::Backends && !isWhole) {
      platformState_.ApplyBackendPage(reply.response.backends,
                                      registry.revision);
    }
    std::ranges::transform(reply.response.zones,
                           std::back_inserter(evacuations.zones),
                           &ZoneChange::zone);
    std::ranges::move(reply.response.backends,
                      std::back_inserter(registry.entries));
  }
  if (aList.GetState() != StoreList::State::Complete) {
    co_return false;
  }
  if (aPart == StorePart::Backends) {
    platformState_.ReplaceBackends(registry, "store");
  } else {
    platformState_.ReplaceEvacuations(evacuations, "store");
  }
  aRevision = registry.revision;
  OnRead(aPart, begin);
  co_return true;
}

void StoreFollower::OnRead(StorePart aPart, Instant aUpTo)
{
  state_.Knowledge(aPart).OnRead(aUpTo);
  platformState_.ForgetFailedList(aPart);
  if (aPart == StorePart::Configuration) {
    state_.evacuationKnowledge.OnRead(aUpTo);
  }
}

Duration StoreFollower::WatchWait(StorePart aPart)
{
  return std::max(Duration{},
                  kMaxWatchWait - state_.Knowledge(aPart).Age(Now().steady));
}

asio::awaitable<bool> StoreFollower::Watch(StorePart aPart,
                                           StoreRevision& aRevision,
                                           Duration& aRetryDelay)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(WatchWait(aPart));
  Reply reply = co_await Call(
    StoreWatchTarget(
      aPart, aRevision.revision, static_cast<std::uint64_t>(wait.count())),
    wait);
  switch (reply.kind) {
    case Reply::Kind::Success: {
      const StoreEras::Verdict verdict =
        StoreEras::OfWatch(aRevision.era, reply.era);
      if (!IsCurrent(aPart, verdict, aRevision.era, reply)) {
        co_await Pause(Jittered(aRetryDelay));
        aRetryDelay = std::min(aRetryDelay * 2, kMaxRetryDelay);
        co_return verdict == StoreEras::Verdict::Older;
      }
      aRetryDelay = kMinRetryDelay;
      aRevision = std::max(aRevision, reply.response.revision);
      const bool hasChanges = reply.response.configuration.has_value() ||
                              !reply.response.backends.empty() ||
                              !reply.response.zones.empty();
      NoteFaults(aPart, reply.response.faults);
      Adopt(aPart, reply.response);
      platformState_.ApplyEvacuations(reply.response.zones, "store");
      // Without a change the store has waited; with one, it may have responded
      // at any time since the call.
      const bool hasWaited = !hasChanges && Now().steady - reply.sentAt >= wait;
      OnRead(aPart, hasWaited ? reply.sentAt + wait : reply.sentAt);
      if (!reply.response.backends.empty()) {
        co_await Pause(kChangePause);
      } else if (!hasChanges && !hasWaited) {
        co_await Pause(Jittered(kMinRetryDelay / 4));
      }
      break;
    }
    case Reply::Kind::HistoryUnavailable:
      co_return false;
    case Reply::Kind::TooLarge:
      // The same changes would come again; the pages of a list are shorter.
      co_await Pause(Jittered(aRetryDelay));
      co_return false;
    case Reply::Kind::Interrupted:
      co_await Pause(Jittered(kMinRetryDelay / 4));
      break;
    case Reply::Kind::Failed:
      co_await Pause(
        Jittered(reply.isRateLimited ? kMaxRetryDelay : aRetryDelay));
      aRetryDelay = std::min(aRetryDelay * 2, kMaxRetryDelay);
      break;
  }
  co_return true;
}

asio::awaitable<void> StoreFollower::Follow(StorePart aPart)
{
  StoreRevision revision;
  bool isListed = false;
  bool hasHistory = true;
  Duration retryDelay = kMinRetryDelay;
  for (;;) {
    const bool isReader =
      isReader_(aPart) ||
      (aPart == StorePart::Configuration && isReader_(StorePart::Evacuations));
    SetReading(aPart, isReader);
    if (!isReader) {
      isListed = false;
      co_await Pause(kReaderCheckInterval);
      continue;
    }
    // A registry that peers have kept up to date needs no list.
    if (!isListed && aPart == StorePart::Backends && hasHistory) {
      revision = state_.registry.Revision();
      isListed = revision.revision > 0;
    }
    if (!isListed) {
      isListed = co_await List(aPart, revision);
      hasHistory = hasHistory || isListed;
      if (!isListed) {
        co_await Pause(Jittered(retryDelay));
        retryDelay = std::min(retryDelay * 2, kMaxRetryDelay);
      }
      continue;
    }
    isListed = co_await Watch(aPart, revision, retryDelay);
    hasHistory = isListed;
  }
}

void StoreFollower::RequestBackendList()
{
  isListRequested_ = true;
  if (!isListing_) {
    isListing_ = true;
    state_.tasks.Spawn("store-list", ListOnRequest());
  }
}

asio::awaitable<void> StoreFollower::ListOnRequest()
{
  const ScopeExit end([this] { isListing_ = false; });
  while (isListRequested_) {
    isListRequested_ = false;
    StoreRevision ignored;
    co_await List(StorePart::Backends, ignored);
  }
}

} // namespace gypsum
