#include "tests/cell/cell_store.h"

#include "drivers/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace gypsum::tests {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** Low enough that lists span several pages. */
constexpr std::size_t kMaxItemsPerPage = 5;

std::string EncodeBase64(const std::string& aValue)
{
  std::string text(boost::beast::detail::base64::encoded_size(aValue.size()),
                   '\0');
  text.resize(boost::beast::detail::base64::encode(
    text.data(), aValue.data(), aValue.size()));
  return text;
}

std::string QueryParameter(const std::string& aTarget, const std::string& aName)
{
  const auto at = aTarget.find(aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 1;
  return aTarget.substr(begin, aTarget.find('&', begin) - begin);
}

StoreContent ContentOf(const std::string& aTarget)
{
  return QueryParameter(aTarget, "prefix").starts_with("op/")
           ? StoreContent::Configuration
           : StoreContent::Servers;
}

EdgeResponse JsonResponse(unsigned aStatus, const json::object& aBody)
{
  EdgeResponse response;
  response.status = aStatus;
  response.fields.set("Content-Type", "application/json");
  response.body = json::serialize(aBody);
  return response;
}

} // namespace

CellStore::CellStore(CellLoop& aLoop, std::string aAddress)
  : loop_(aLoop.Context())
{
  AddDoor(std::move(aAddress));
}

void CellStore::AddDoor(std::string aAddress)
{
  Door& door = doors_.emplace_back();
  door.address = std::move(aAddress);
  door.listener = std::make_unique<EdgeListener>(
    loop_, door.address, [this, &door](ClientConnectionPtr aClient) {
      return Serve(std::move(aClient), door);
    });
  door.listener->Start();
}

void CellStore::SetDoorMode(std::size_t aDoor,
                            StoreContent aContent,
                            StoreMode aMode)
{
  doors_[aDoor].modes[aContent] = aMode;
  WakePendingWatches();
}

Instant CellStore::LastCallAt(std::size_t aDoor, StoreContent aContent) const
{
  const auto& lastCallAt = doors_[aDoor].lastCallAt;
  const auto found = lastCallAt.find(aContent);
  return found == lastCallAt.end() ? Instant{} : found->second;
}

StoreMode CellStore::ModeOf(const Door& aDoor, StoreContent aContent) const
{
  const auto found = aDoor.modes.find(aContent);
  return mode_ != StoreMode::Up || found == aDoor.modes.end() ? mode_
                                                              : found->second;
}

void CellStore::AppendChange(Change aChange)
{
  history_.push_back(std::move(aChange));
  WakePendingWatches();
}

void CellStore::WakePendingWatches()
{
  std::ranges::for_each(pendingWatches_,
                        [](asio::steady_timer* aTimer) { aTimer->cancel(); });
}

void CellStore::Put(const std::string& aKey, const std::string& aValue)
{
  ++revision_;
  Item& item = items_[aKey];
  item.value = aValue;
  item.revision = revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  AppendChange({ aKey, revision_, item });
}

void CellStore::Remove(const std::string& aKey)
{
  if (items_.erase(aKey) > 0) {
    AppendChange({ aKey, ++revision_, std::nullopt });
  }
}

void CellStore::SetMode(StoreMode aMode)
{
  mode_ = aMode;
  WakePendingWatches();
}

void CellStore::CompactHistory()
{
  history_.clear();
  compactedRevision_ = revision_;
  WakePendingWatches();
}

void CellStore::KeepCopy()
{
  copy_ = { items_, history_, revision_ };
}

void CellStore::RestoreCopy()
{
  ++era_;
  items_ = copy_.items;
  history_ = copy_.history;
  revision_ = copy_.revision;
  WakePendingWatches();
}

asio::awaitable<void> CellStore::Serve(ClientConnectionPtr aClient, Door& aDoor)
{
  const ClientLimits limits;
  while (co_await aClient->ReadRequest(limits) == RequestReadResult::Complete) {
    ++calls_;
    const auto text = aClient->GetRequest().target();
    const std::string target(text.data(), text.size());
    const StoreContent content = ContentOf(target);
    aDoor.lastCallAt[content] = Now().steady;
    EdgeResponse response = co_await Respond(target, aDoor);
    const StoreMode mode = ModeOf(aDoor, content);
    if (mode == StoreMode::Reset) {
      aClient->Abort();
      co_return;
    }
    if (mode == StoreMode::CutHead) {
      co_await aClient->WritePart("HTTP/1.1 200 OK\r\nContent-Type: app");
      aClient->Close();
      co_return;
    }
    if (mode == StoreMode::Unresponsive || mode == StoreMode::Slow) {
      asio::steady_timer timer(loop_,
                               mode == StoreMode::Slow
                                 ? std::chrono::milliseconds(250)
                                 : std::chrono::seconds(30));
      boost::system::error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    response.fields.set("Store-Era", std::to_string(era_));
    if (!co_await aClient->WriteResponse(std::move(response))) {
      co_return;
    }
  }
}

asio::awaitable<EdgeResponse> CellStore::Respond(std::string aTarget,
                                                 const Door& aDoor)
{
  const StoreMode mode = ModeOf(aDoor, ContentOf(aTarget));
  if (mode == StoreMode::Unavailable) {
    co_return JsonResponse(503, {});
  }
  if (mode == StoreMode::TooManyRequests) {
    co_return JsonResponse(429, {});
  }
  const std::string prefix = QueryParameter(aTarget, "prefix");
  const std::string after = QueryParameter(aTarget, "after");
  if (aTarget.starts_with("/gypsumstream/kv-watch")) {
    co_return co_await Watch(prefix,
                             std::stoull(after),
                             std::stoull(QueryParameter(aTarget, "wait-ms")),
                             aDoor);
  }
  co_return List(prefix, after);
}

EdgeResponse CellStore::List(const std::string& aPrefix,
                             const std::string& aAfter) const
{
  json::array items;
  bool hasMore = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(aPrefix) || (!aAfter.empty() && key <= aAfter)) {
      continue;
    }
    if (items.size() == kMaxItemsPerPage) {
      hasMore = true;
      break;
    }
    items.push_back(json::object{ { "key", key },
                                  { "value", EncodeBase64(item.value) },
                                  { "revision", item.revision },
                                  { "created-rev", item.created },
                                  { "lease", 0 } });
  }
  return JsonResponse(200,
                      { { "items", std::move(items) },
                        { "more-pages", hasMore },
                        { "store-revision", revision_ } });
}

EdgeResponse CellStore::NoChanges() const
{
  return JsonResponse(
    200, { { "events", json::array{} }, { "store-revision", revision_ } });
}

std::optional<EdgeResponse> CellStore::Changes(
  const std::string& aPrefix,
  std::uint64_t aAfterRevision) const
{
  json::array events;
  for (const Change& change : history_) {
    if (change.revision <= aAfterRevision || !change.key.starts_with(aPrefix)) {
      continue;
    }
    json::object event{ { "key", change.key },
                        { "revision", change.revision } };
    if (change.item) {
      event["value"] = EncodeBase64(change.item->value);
      event["created-rev"] = change.item->created;
      event["lease"] = 0;
    } else {
      event["removed"] = true;
    }
    events.push_back(std::move(event));
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return JsonResponse(
    200, { { "events", std::move(events) }, { "store-revision", revision_ } });
}

asio::awaitable<EdgeResponse> CellStore::Watch(std::string aPrefix,
                                               std::uint64_t aAfterRevision,
                                               std::uint64_t aWaitMs,
                                               const Door& aDoor)
{
  const StoreContent content = aPrefix.starts_with("op/")
                                 ? StoreContent::Configuration
                                 : StoreContent::Servers;
  const Instant deadline = Now().steady + std::chrono::milliseconds(aWaitMs);
  for (;;) {
    if (aAfterRevision < compactedRevision_ || aAfterRevision > revision_) {
      co_return JsonResponse(410, {});
    }
    std::optional<EdgeResponse> response = Changes(aPrefix, aAfterRevision);
    if (response || Now().steady >= deadline ||
        ModeOf(aDoor, content) != StoreMode::Up) {
      co_return response ? std::move(*response) : NoChanges();
    }
    asio::steady_timer timer(loop_, deadline);
    pendingWatches_.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    pendingWatches_.erase(&timer);
  }
}

} // namespace gypsum::tests
