#include "tests/cell/cell_store.h"

#include "drivers/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>

namespace gypsum::tests {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** Of as many digits as all that follow it, so that they sort. */
constexpr std::uint64_t kFirstEndlessNumber = 1'000'000'000;

std::string EncodeBase64(const std::string& aValue)
{
  std::string text(boost::beast::detail::base64::encoded_size(aValue.size()),
                   '\0');
  text.resize(boost::beast::detail::base64::encode(
    text.data(), aValue.data(), aValue.size()));
  return text;
}

using Query = std::map<std::string, std::string>;

/** Decodes a text of a form; empty if an escape is malformed. */
std::optional<std::string> DecodeFormText(std::string_view aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '+') {
      text.push_back(' ');
      continue;
    }
    if (aText[at] != '%') {
      text.push_back(aText[at]);
      continue;
    }
    const std::string_view digits = aText.substr(at + 1, 2);
    unsigned value = 0;
    const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (error != std::errc{} || end != digits.data() + 2) {
      return std::nullopt;
    }
    text.push_back(static_cast<char>(value));
    at += 2;
  }
  return text;
}

/** The parameters of a target; empty if the query is malformed. */
std::optional<Query> DecodeQuery(std::string_view aTarget)
{
  Query query;
  const auto begin = aTarget.find('?');
  std::string_view rest =
    begin == std::string_view::npos ? "" : aTarget.substr(begin + 1);
  while (!rest.empty()) {
    const std::string_view field = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), field.size() + 1));
    const auto equals = std::min(field.find('='), field.size());
    const auto name = DecodeFormText(field.substr(0, equals));
    const auto value =
      DecodeFormText(field.substr(std::min(field.size(), equals + 1)));
    if (!name || !value) {
      return std::nullopt;
    }
    query[*name] = *value;
  }
  return query;
}

StoreContent ContentOf(std::string_view aPrefix)
{
  return aPrefix.starts_with("op/") ? StoreContent::Configuration
                                    : StoreContent::Servers;
}

StoreContent ContentOfTarget(std::string_view aTarget)
{
  const auto query = DecodeQuery(aTarget);
  return query ? ContentOf(query->contains("prefix") ? query->at("prefix") : "")
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
    const StoreContent content = ContentOfTarget(target);
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
  const StoreMode mode = ModeOf(aDoor, ContentOfTarget(aTarget));
  if (mode == StoreMode::Unavailable) {
    co_return JsonResponse(503, {});
  }
  if (mode == StoreMode::TooManyRequests) {
    co_return JsonResponse(429, {});
  }
  const std::optional<Query> decoded = DecodeQuery(aTarget);
  if (!decoded) {
    ++malformedCalls_;
    co_return JsonResponse(400, {});
  }
  Query query = *decoded;
  const std::string prefix = query["prefix"];
  const std::string after = query["after"];
  if (aTarget.starts_with("/gypsumstream/kv-watch")) {
    co_return co_await Watch(
      prefix, std::stoull(after), std::stoull(query["wait-ms"]), aDoor);
  }
  co_return List(prefix, after);
}

void CellStore::SetPageFault(StoreContent aContent, StorePageFault aFault)
{
  pageFaults_[aContent] = aFault;
}

EdgeResponse CellStore::List(const std::string& aPrefix,
                             const std::string& aAfter)
{
  ++listCalls_;
  const auto itemOf = [](const std::string& aKey, const Item& aItem) {
    return json::object{ { "key", aKey },
                         { "value", EncodeBase64(aItem.value) },
                         { "revision", aItem.revision },
                         { "created-rev", aItem.created },
                         { "lease", 0 } };
  };
  const StorePageFault fault = pageFaults_[ContentOf(aPrefix)];
  json::array items;
  bool hasMore = false;
  const bool isFirst = aAfter.empty() || fault == StorePageFault::Repeated;
  if (!isFirst && fault == StorePageFault::Endless) {
    for (std::size_t index = 0; index < pageSize_.items; ++index) {
      items.push_back(
        itemOf(aAfter.substr(0, aAfter.find('~')) + "~" +
                 std::to_string(kFirstEndlessNumber + ++endlessItems_),
               { "{}", revision_, revision_ }));
    }
    hasMore = true;
  }
  const bool isMadeUp = !isFirst && (fault == StorePageFault::Endless ||
                                     fault == StorePageFault::Empty);
  std::size_t bytes = 0;
  for (const auto& [key, item] : items_) {
    if (isMadeUp || !key.starts_with(aPrefix) || (!isFirst && key <= aAfter)) {
      continue;
    }
    json::object entry = itemOf(key, item);
    bytes += key.size() + entry["value"].as_string().size();
    const bool isFull = items.size() == pageSize_.items ||
                        (bytes > pageSize_.bytes && !items.empty());
    if (isFull) {
      hasMore = true;
      break;
    }
    items.push_back(std::move(entry));
  }
  return JsonResponse(
    200,
    { { "items", std::move(items) },
      { "more-pages", hasMore || fault != StorePageFault::None },
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
  const StoreContent content = ContentOf(aPrefix);
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
