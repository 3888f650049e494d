#include "tests/cell/cell_replica.h"

#include "drivers/clock.h"
#include "drivers/edge/socket_options.h"
#include "tests/cell/stream_check.h"
#include "tests/support/connection_owner.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace gypsum::tests {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kEventInterval{ 10 };
constexpr milliseconds kServiceTime{ 15 };
constexpr milliseconds kBatchCallTime{ 30 };

std::uint64_t UnixMs()
{
  return static_cast<std::uint64_t>(Now().wall.time_since_epoch().count());
}

std::string Header(const ClientConnection& aClient, const char* aName)
{
  const auto value = aClient.GetRequest()[aName];
  return { value.data(), value.size() };
}

} // namespace

bool HasSharedPart(const std::string& aPrompt, const std::string& aPart)
{
  const std::string shared = aPrompt.substr(0, aPrompt.rfind(',') + 1);
  return !aPart.empty() &&
         ("," + shared).find("," + aPart + ":") != std::string::npos;
}

CellReplica::CellReplica(CellLoop& aLoop,
                         CellStore& aStore,
                         std::vector<CellExecution>& aExecutions,
                         const CellProcesses& aProcesses,
                         Kind aKind,
                         std::string aId,
                         std::string aService,
                         std::string aAddress,
                         std::uint64_t aSeed)
  : loop_(aLoop.Context())
  , store_(aStore)
  , executions_(aExecutions)
  , processes_(aProcesses)
  , kind_(aKind)
  , id_(std::move(aId))
  , service_(std::move(aService))
  , address_(std::move(aAddress))
  , random_(aSeed)
  , incarnation_(UnixMs())
{
  Listen();
}

void CellReplica::Listen()
{
  listeners_.push_back(std::make_unique<EdgeListener>(
    loop_, address_, [this](ClientConnectionPtr aClient) {
      return Serve(std::move(aClient));
    }));
  listeners_.back()->Start();
}

bool CellReplica::DrawFault(double aChance)
{
  return std::bernoulli_distribution(aChance)(random_);
}

void CellReplica::PublishEntry(const std::string& aState)
{
  store_.Put(
    "servers/" + id_,
    json::serialize(json::object{ { "service", service_ },
                                  { "address", registeredAddress_ },
                                  { "zone", zone_ },
                                  { "version", version_ },
                                  { "slots", 8 },
                                  { "state", aState },
                                  { "cold-left-ms", coldTime_.count() },
                                  { "seq", ++seq_ },
                                  { "born", incarnation_ } }));
}

void CellReplica::Register(const std::string& aRegisteredAddress)
{
  registeredAddress_ =
    aRegisteredAddress.empty() ? address_ : aRegisteredAddress;
  PublishEntry("ready");
}

void CellReplica::Drain()
{
  PublishEntry("draining");
}

void CellReplica::Unregister()
{
  store_.Remove("servers/" + id_);
}

void CellReplica::Restart()
{
  incarnation_ = std::max(incarnation_ + 1, UnixMs());
  isLeaving_ = false;
  results_.clear();
  PublishEntry("ready");
}

template<typename Function>
void CellReplica::RunAfter(milliseconds aTime, Function aFunction)
{
  auto timer = std::make_shared<asio::steady_timer>(loop_, aTime);
  timer->async_wait([timer, aFunction](boost::system::error_code aError) {
    if (!aError) {
      aFunction();
    }
  });
}

void CellReplica::Crash(milliseconds aDownTime, CellEnd aEnd)
{
  if (isDown_) {
    return;
  }
  isDown_ = true;
  crashes_.push_back(Now().steady);
  if (aEnd == CellEnd::Closed) {
    listeners_.back()->StopAccepting();
    listeners_.back()->AbortAll();
    RunAfter(aDownTime, [this] { ReturnAfterCrash(); });
    return;
  }
  isSilent_ = true;
  RunAfter(kEntryLifetime, [this, incarnation = incarnation_] {
    if (incarnation == incarnation_) {
      Unregister();
    }
  });
  RunAfter(aDownTime, [this, aEnd] {
    listeners_.back()->StopAccepting();
    listeners_.back()->AbortAll();
    if (aEnd == CellEnd::Renamed) {
      Unregister();
      const std::string first = id_.substr(0, id_.find('/'));
      id_ = first + "/" + std::to_string(++renames_);
    }
    ReturnAfterCrash();
  });
}

void CellReplica::ReturnAfterCrash()
{
  isDown_ = false;
  isSilent_ = false;
  Listen();
  Restart();
}

asio::awaitable<void> CellReplica::EndUnderRequest(std::uint64_t aIncarnation)
{
  co_await Sleep(crash_.delay);
  if (aIncarnation == incarnation_) {
    Crash(crash_.downTime, crash_.end);
  }
  co_await AwaitLife();
}

asio::awaitable<void> CellReplica::AwaitLife()
{
  const std::uint64_t incarnation = incarnation_;
  while (isSilent_ && incarnation == incarnation_) {
    asio::steady_timer timer(loop_, milliseconds(20));
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

bool CellReplica::IsCrashedBy(const ClientConnection& aClient) const
{
  const auto& request = aClient.GetRequest();
  return HasSharedPart(Header(aClient, "Prompt-Prefix"), crash_.part) ||
         (!crash_.request.empty() && (request.body() == crash_.request ||
                                      request.target() == crash_.request));
}

asio::awaitable<void> CellReplica::Sleep(milliseconds aTime)
{
  asio::steady_timer timer(
    loop_,
    milliseconds(static_cast<std::int64_t>(static_cast<double>(aTime.count()) *
                                           faults_.delayFactor)));
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_await AwaitLife();
}

EdgeResponse CellReplica::SealedResponse(const ClientConnection& aClient,
                                         std::string aBody) const
{
  EdgeResponse response;
  response.fields.set("Attempt-Id", Header(aClient, "Attempt-Id"));
  response.fields.set("Replica-Seal",
                      id_ + "." + Header(aClient, "Attempt-Id"));
  AddOwnHeaders(response);
  response.fields.set("Keep-Alive", "timeout=5");
  response.body = std::move(aBody);
  return response;
}

void CellReplica::AddOwnHeaders(EdgeResponse& aResponse) const
{
  aResponse.fields.set("Replica-Load", "1,0,8");
  if (limit_) {
    aResponse.fields.set("Server-Limit", *limit_);
  }
  if (isLeaving_) {
    aResponse.fields.set("Server-Leaving", "1");
  }
}

EdgeResponse CellReplica::NotExecutedResponse(unsigned aStatus,
                                              const std::string& aAttempt) const
{
  EdgeResponse response;
  response.status = aStatus;
  if (faults_.namesRefused && !aAttempt.empty()) {
    response.fields.set("Attempt-Id", aAttempt);
  }
  response.fields.set("Not-Executed", "1");
  AddOwnHeaders(response);
  return response;
}

bool CellReplica::IsTurnedAway(const CellArrival& aArrival)
{
  if (!rest_ || aArrival.gateway == 0) {
    return false;
  }
  const bool isAsked =
    std::ranges::any_of(rests_, [&](const CellAskedRest& aRest) {
      return aRest.gateway == aArrival.gateway &&
             aRest.incarnation == incarnation_ &&
             aArrival.at < aRest.at + aRest.length;
    });
  if (isAsked) {
    return rest_->turnsAway;
  }
  if (!DrawFault(rest_->chance)) {
    return false;
  }
  rests_.push_back(
    { aArrival.gateway, incarnation_, Now().steady, rest_->length });
  return true;
}

EdgeResponse CellReplica::RestResponse() const
{
  EdgeResponse response = NotExecutedResponse(503);
  if (!rest_->isNotExecuted) {
    response.fields.erase("Not-Executed");
  }
  response.fields.set("Retry-After", rest_->text);
  return response;
}

void CellReplica::RecordExecution(const ClientConnection& aClient)
{
  const auto target = aClient.GetRequest().target();
  CellExecution execution;
  execution.attemptId = Header(aClient, "Attempt-Id");
  execution.replica = id_;
  execution.version = version_;
  execution.incarnation = incarnation_;
  execution.customer = Header(aClient, "Tenant");
  execution.prompt = Header(aClient, "Prompt-Prefix");
  execution.body = aClient.GetRequest().body();
  execution.path = std::string(target.data(), target.size());
  execution.deadlineMs = std::atoll(Header(aClient, "Deadline-Ms").c_str());
  execution.isResumed = !Header(aClient, "Last-Event-Id").empty();
  const auto arrival = std::ranges::find(arrivals_.rbegin(),
                                         arrivals_.rend(),
                                         execution.attemptId,
                                         &CellArrival::attemptId);
  execution.at = Now().steady;
  execution.arrivedAt =
    arrival == arrivals_.rend() ? execution.at : arrival->at;
  executions_.push_back(std::move(execution));
}

asio::awaitable<void> CellReplica::Serve(ClientConnectionPtr aClient)
{
  const ClientLimits limits;
  const pid_t gateway = OwnerOfConnection(aClient->RemoteEndpoint(),
                                          *ParseEndpoint(address_),
                                          processes_.All())
                          .value_or(0);
  std::optional<EdgeResponse> lastRefusal;
  std::optional<EdgeResponse> lastPieces;
  while (co_await aClient->ReadRequest(limits) == RequestReadResult::Complete) {
    const CellArrival arrival{ Header(*aClient, "Attempt-Id"),
                               Now().steady,
                               gateway,
                               incarnation_,
                               std::string(aClient->GetRequest().target()) };
    arrivals_.push_back(arrival);
    co_await AwaitLife();
    if (arrival.incarnation != incarnation_) {
      co_return;
    }
    while (faults_.isUnresponsive) {
      co_await Sleep(milliseconds(50));
    }
    const std::string expected = Header(*aClient, "Expect-Replica");
    const bool isMisdirected = !expected.empty() && expected != id_;
    // The gateway may have given up what waited meanwhile.
    const bool hasWaited = Now().steady - arrival.at > milliseconds(50);
    if (!isMisdirected && !hasWaited && IsTurnedAway(arrival)) {
      EdgeResponse response = RestResponse();
      if (rest_->delay.count() > 0) {
        co_await Sleep(rest_->delay);
      }
      co_await aClient->WriteResponse(std::move(response));
      continue;
    }
    const std::string resumed = Header(*aClient, "Last-Event-Id");
    if (faults_.raw && (!faults_.raw->onlyResumes || !resumed.empty())) {
      if (!co_await WriteRaw(*aClient, *faults_.raw)) {
        co_return;
      }
      continue;
    }
    const auto target = aClient->GetRequest().target();
    if (target == "/gypsumstream/report") {
      EdgeResponse report;
      report.status = isMisdirected ? 421 : 200;
      co_await aClient->WriteResponse(std::move(report));
      continue;
    }
    if (target == "/gypsumstream/stage-free") {
      const json::value body = json::parse(aClient->GetRequest().body());
      for (const json::value& handle : body.at("handles").as_array()) {
        results_.erase(std::string(handle.as_string()));
      }
      EdgeResponse empty;
      AddOwnHeaders(empty);
      co_await aClient->WriteResponse(std::move(empty));
      continue;
    }
    if (isMisdirected) {
      co_await aClient->WriteResponse(NotExecutedResponse(421));
      continue;
    }
    if (DrawFault(faults_.refuse)) {
      lastRefusal = NotExecutedResponse(503, arrival.attemptId);
      co_await aClient->WriteResponse(*lastRefusal);
      continue;
    }
    if (faults_.repeatsRefusals && lastRefusal) {
      co_await aClient->WriteResponse(*lastRefusal);
    }
    // A switch, because GCC 12 miscompiles co_await in a conditional
    // expression.
    bool canReuseConnection = false;
    switch (kind_) {
      case Kind::Plain:
        canReuseConnection = co_await ServePlain(*aClient);
        break;
      case Kind::Model:
        canReuseConnection = co_await ServeModel(*aClient);
        break;
      case Kind::Stage:
        canReuseConnection = co_await ServePieces(*aClient, lastPieces);
        break;
    }
    if (!canReuseConnection || faults_.closesAfterResponse) {
      co_return;
    }
  }
}

asio::awaitable<bool> CellReplica::ServePlain(ClientConnection& aClient)
{
  const std::uint64_t incarnation = incarnation_;
  RecordExecution(aClient);
  co_await Sleep(kServiceTime);
  if (IsCrashedBy(aClient)) {
    co_await EndUnderRequest(incarnation);
    co_return false;
  }
  if (DrawFault(faults_.hang)) {
    co_await Sleep(std::chrono::seconds(20));
  }
  if (DrawFault(faults_.loseResponse)) {
    aClient.Abort();
    co_return false;
  }
  EdgeResponse response =
    SealedResponse(aClient, "result of " + Header(aClient, "Attempt-Id"));
  if (DrawFault(faults_.fail)) {
    response.status = 500;
  }
  const BodyFraming framing = faults_.framing.value_or(BodyFraming::Length);
  if (DrawFault(faults_.truncate)) {
    CellResponseWriter writer(aClient, framing, std::nullopt);
    co_await writer.WriteHead(response, response.body.size());
    co_await writer.WriteBody("result");
    BreakOff(aClient, framing != BodyFraming::ConnectionEnd);
    co_return false;
  }
  if (faults_.framing || faults_.cut) {
    co_return co_await WriteFramed(aClient, response);
  }
  const EdgeResponse extraResponse = response;
  if (!co_await aClient.WriteResponse(std::move(response))) {
    co_return false;
  }
  if (DrawFault(faults_.sendExtraResponse)) {
    co_await aClient.WriteResponse(extraResponse);
  }
  co_return true;
}

asio::awaitable<bool> CellReplica::ServeModel(ClientConnection& aClient)
{
  const std::uint64_t incarnation = incarnation_;
  const std::string attemptId = Header(aClient, "Attempt-Id");
  RecordExecution(aClient);
  const std::string after = Header(aClient, "Last-Event-Id");
  int event = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
  EdgeResponse head = SealedResponse(aClient, "");
  head.fields.set("Content-Type", "text/event-stream");
  co_await Sleep(kServiceTime);
  if (DrawFault(faults_.loseResponse)) {
    aClient.Abort();
    co_return false;
  }
  const bool isTruncated = DrawFault(faults_.truncate);
  const int truncatedEvent =
    event +
    static_cast<int>(random_() % static_cast<unsigned>(kEventsPerStream));
  const auto textOf = [&, version = version_](int aEvent) {
    return StreamEvent(version, aEvent, attemptId);
  };
  std::size_t bodyBytes = 0;
  for (int later = event; later <= kEventsPerStream; ++later) {
    bodyBytes += textOf(later).size();
  }
  CellResponseWriter writer(
    aClient, faults_.framing.value_or(BodyFraming::Chunks), faults_.cut);
  bool isOpen = co_await writer.WriteHead(head, bodyBytes);
  const int lastEventBeforeCrash = event - 1 + crash_.events;
  for (; isOpen && event <= kEventsPerStream; ++event) {
    co_await Sleep(kEventInterval);
    while (faults_.isUnresponsive) {
      co_await Sleep(milliseconds(50));
    }
    if (event > lastEventBeforeCrash && IsCrashedBy(aClient)) {
      co_await EndUnderRequest(incarnation);
      co_return false;
    }
    while (faults_.isEndless && isOpen) {
      isOpen = co_await writer.WriteBody(std::string(16'384, 'x'));
    }
    const std::string text = textOf(event);
    if (isTruncated && event >= truncatedEvent) {
      co_await writer.WriteBody(
        text.substr(0, 1 + random_() % (text.size() - 1)));
      BreakOff(aClient, true);
      co_return false;
    }
    isOpen = co_await writer.WriteBody(text);
  }
  if (isOpen) {
    isOpen = co_await writer.End();
  }
  cuts_ += writer.WasCut() ? 1 : 0;
  co_return isOpen;
}

void CellReplica::CheckInput(std::string_view aHandle,
                             std::string_view aAttempt)
{
  foreignInputs_ += aHandle.ends_with(aAttempt) ? 0 : 1;
}

bool CellReplica::HasCrashingPiece(const json::value& aCall) const
{
  return !crash_.pieceKey.empty() &&
         std::ranges::any_of(
           aCall.at("items").as_array(), [&](const json::value& aItem) {
             const json::value* const key =
               aItem.as_object().if_contains("key");
             return key && key->as_string() == crash_.pieceKey;
           });
}

asio::awaitable<bool> CellReplica::ServePieces(
  ClientConnection& aClient,
  std::optional<EdgeResponse>& aLast)
{
  const std::uint64_t incarnation = incarnation_;
  const json::value body = json::parse(aClient.GetRequest().body());
  if (calls_ >= 3) {
    co_return co_await aClient.WriteResponse(NotExecutedResponse(503));
  }
  ++calls_;
  maxConcurrentCalls_ = std::max(maxConcurrentCalls_, calls_);
  co_await Sleep(kBatchCallTime);
  --calls_;
  if (HasCrashingPiece(body)) {
    co_await EndUnderRequest(incarnation);
    co_return false;
  }
  json::array items;
  for (const json::value& item : body.at("items").as_array()) {
    ++pieces_;
    const std::string handle = address_ + "/" + id_ + "-" +
                               std::to_string(++lastResult_) + "-" +
                               std::string(item.at("id").as_string());
    results_[handle] = std::string(item.at("id").as_string());
    if (const json::value* const inputs =
          item.as_object().if_contains("inputs")) {
      for (const json::value& input : inputs->as_array()) {
        CheckInput(input.as_string(), item.at("id").as_string());
      }
    }
    json::object resultItem;
    resultItem["handle"] = handle;
    items.push_back(std::move(resultItem));
  }
  if (DrawFault(faults_.loseResponse)) {
    aClient.Abort();
    co_return false;
  }
  EdgeResponse response;
  response.fields.set("Content-Type", "application/json");
  AddOwnHeaders(response);
  json::object results;
  results["items"] = std::move(items);
  response.body = json::serialize(results);
  if (faults_.repeatsPieces && aLast) {
    co_await aClient.WriteResponse(*aLast);
  }
  aLast = response;
  if (faults_.framing || faults_.cut) {
    co_return co_await WriteFramed(aClient, response);
  }
  co_return co_await aClient.WriteResponse(std::move(response));
}

asio::awaitable<bool> CellReplica::WriteFramed(ClientConnection& aClient,
                                               const EdgeResponse& aResponse)
{
  CellResponseWriter writer(
    aClient, faults_.framing.value_or(BodyFraming::Length), faults_.cut);
  bool isOpen = co_await writer.WriteHead(aResponse, aResponse.body.size());
  if (isOpen) {
    isOpen = co_await writer.WriteBody(aResponse.body);
  }
  if (isOpen) {
    isOpen = co_await writer.End();
  }
  cuts_ += writer.WasCut() ? 1 : 0;
  co_return isOpen;
}

asio::awaitable<bool> CellReplica::WriteRaw(ClientConnection& aClient,
                                            CellRawResponse aResponse)
{
  const std::string after = Header(aClient, "Last-Event-Id");
  const int event = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
  const auto replace = [&](std::string_view aName, const std::string& aValue) {
    for (auto at = aResponse.bytes.find(aName); at != std::string::npos;
         at = aResponse.bytes.find(aName, at + aValue.size())) {
      aResponse.bytes.replace(at, aName.size(), aValue);
    }
  };
  replace("%A", Header(aClient, "Attempt-Id"));
  replace("%E", std::to_string(event));
  ++rawResponses_;
  const bool isOpen = co_await aClient.WritePart(aResponse.bytes);
  if (aResponse.isReset) {
    aClient.Abort();
  } else if (!aResponse.keepsOpen) {
    aClient.Close();
  }
  co_return isOpen && !aResponse.isReset && aResponse.keepsOpen;
}

void CellReplica::BreakOff(ClientConnection& aClient, bool aMayClose)
{
  if (aMayClose && random_() % 2 == 0) {
    aClient.Close();
  } else {
    aClient.Abort();
  }
}

} // namespace gypsum::tests
