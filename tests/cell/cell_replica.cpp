#include "tests/cell/cell_replica.h"

#include "drivers/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <sstream>
#include <utility>

namespace gypsum::tests {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

constexpr int kEvents = 8;
constexpr milliseconds kEventTime{ 10 };
constexpr milliseconds kPlainTime{ 15 };
constexpr milliseconds kCallTime{ 30 };

std::string Header(const ClientConnection& aClient, const char* aName)
{
  const auto value = aClient.GetRequest()[aName];
  return { value.data(), value.size() };
}

} // namespace

CellReplica::CellReplica(CellLoop& aLoop,
                         CellStore& aStore,
                         std::vector<CellRun>& aRuns,
                         Kind aKind,
                         std::string aId,
                         std::string aService,
                         std::string aAddress,
                         std::uint64_t aSeed)
  : loop_(aLoop.Context())
  , store_(aStore)
  , runs_(aRuns)
  , kind_(aKind)
  , id_(std::move(aId))
  , service_(std::move(aService))
  , address_(std::move(aAddress))
  , listener_(
      loop_,
      address_,
      [this](ClientConnectionPtr aClient) { return Serve(std::move(aClient)); })
  , random_(aSeed)
{
  listener_.Start();
}

bool CellReplica::Happens(double aChance)
{
  return std::bernoulli_distribution(aChance)(random_);
}

void CellReplica::Write(const std::string& aState)
{
  store_.Put("servers/" + id_,
             json::serialize(json::object{ { "service", service_ },
                                           { "address", reachedAt_ },
                                           { "zone", "z" },
                                           { "version", "v1" },
                                           { "slots", 8 },
                                           { "state", aState },
                                           { "cold-left-ms", 0 },
                                           { "seq", ++seq_ },
                                           { "born", born_ } }));
}

void CellReplica::Register(const std::string& aReachedAt)
{
  reachedAt_ = aReachedAt.empty() ? address_ : aReachedAt;
  Write("ready");
}

void CellReplica::Drain()
{
  Write("draining");
}

void CellReplica::Unregister()
{
  store_.Remove("servers/" + id_);
}

void CellReplica::Restart()
{
  ++born_;
  results_.clear();
  Write("ready");
}

asio::awaitable<void> CellReplica::Sleep(milliseconds aTime)
{
  asio::steady_timer timer(
    loop_,
    milliseconds(static_cast<std::int64_t>(static_cast<double>(aTime.count()) *
                                           faults_.slowness)));
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

EdgeResponse CellReplica::Sealed(const ClientConnection& aClient,
                                 std::string aBody) const
{
  EdgeResponse answer;
  answer.fields.set("Attempt-Id", Header(aClient, "Attempt-Id"));
  answer.fields.set("Replica-Seal", id_ + "." + Header(aClient, "Attempt-Id"));
  answer.fields.set("Replica-Load", "1,0,8");
  answer.fields.set("Keep-Alive", "timeout=5");
  answer.body = std::move(aBody);
  return answer;
}

EdgeResponse CellReplica::NotRun(unsigned aStatus) const
{
  EdgeResponse answer;
  answer.status = aStatus;
  answer.fields.set("Not-Executed", "1");
  return answer;
}

void CellReplica::RecordRun(const ClientConnection& aClient)
{
  const auto target = aClient.GetRequest().target();
  CellRun run;
  run.attempt = Header(aClient, "Attempt-Id");
  run.replica = id_;
  run.customer = Header(aClient, "Tenant");
  run.path = std::string(target.data(), target.size());
  run.deadlineMs = std::atoll(Header(aClient, "Deadline-Ms").c_str());
  run.isResumed = !Header(aClient, "Last-Event-Id").empty();
  run.at = Now().steady;
  runs_.push_back(std::move(run));
}

asio::awaitable<void> CellReplica::Serve(ClientConnectionPtr aClient)
{
  const ClientLimits limits;
  while (co_await aClient->ReadRequest(limits) == RequestReadResult::Complete) {
    while (faults_.isDark) {
      co_await Sleep(milliseconds(50));
    }
    const auto target = aClient->GetRequest().target();
    if (target == "/gypsumstream/stage-free") {
      const json::value body = json::parse(aClient->GetRequest().body());
      for (const json::value& handle : body.at("handles").as_array()) {
        results_.erase(std::string(handle.as_string()));
      }
      EdgeResponse empty;
      co_await aClient->WriteResponse(std::move(empty));
      continue;
    }
    const std::string expected = Header(*aClient, "Expect-Replica");
    if (!expected.empty() && expected != id_) {
      co_await aClient->WriteResponse(NotRun(421));
      continue;
    }
    if (Happens(faults_.reject)) {
      co_await aClient->WriteResponse(NotRun(503));
      continue;
    }
    // GCC 12 evaluates a co_await in a conditional expression wrongly.
    bool mayGoOn = false;
    switch (kind_) {
      case Kind::Plain:
        mayGoOn = co_await RunPlain(*aClient);
        break;
      case Kind::Model:
        mayGoOn = co_await RunModel(*aClient);
        break;
      case Kind::Stage:
        mayGoOn = co_await RunPieces(*aClient);
        break;
    }
    if (!mayGoOn || faults_.dropsIdle) {
      co_return;
    }
  }
}

asio::awaitable<bool> CellReplica::RunPlain(ClientConnection& aClient)
{
  RecordRun(aClient);
  co_await Sleep(kPlainTime);
  if (Happens(faults_.hang)) {
    co_await Sleep(std::chrono::seconds(20));
  }
  if (Happens(faults_.loseAnswer)) {
    aClient.Abort();
    co_return false;
  }
  EdgeResponse answer =
    Sealed(aClient, "result of " + Header(aClient, "Attempt-Id"));
  if (Happens(faults_.fail)) {
    answer.status = 500;
  }
  if (Happens(faults_.tear)) {
    co_await aClient.BeginStream(std::move(answer));
    co_await aClient.WritePart("result");
    aClient.Abort();
    co_return false;
  }
  const EdgeResponse again = answer;
  if (!co_await aClient.WriteResponse(std::move(answer))) {
    co_return false;
  }
  if (Happens(faults_.stealNext)) {
    co_await aClient.WriteResponse(again);
  }
  co_return true;
}

asio::awaitable<bool> CellReplica::RunModel(ClientConnection& aClient)
{
  const std::string attempt = Header(aClient, "Attempt-Id");
  RecordRun(aClient);
  const std::string after = Header(aClient, "Last-Event-Id");
  int event = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
  EdgeResponse head = Sealed(aClient, "");
  head.fields.set("Content-Type", "text/event-stream");
  co_await Sleep(kPlainTime);
  if (Happens(faults_.loseAnswer)) {
    aClient.Abort();
    co_return false;
  }
  const bool isTorn = Happens(faults_.tear);
  const int lastBeforeTear =
    event + static_cast<int>(random_() % static_cast<unsigned>(kEvents));
  co_await aClient.BeginStream(std::move(head));
  for (; event <= kEvents; ++event) {
    co_await Sleep(kEventTime);
    while (faults_.isDark) {
      co_await Sleep(milliseconds(50));
    }
    std::string text = "id: " + std::to_string(event) + "\ndata: " + attempt +
                       " " + std::to_string(event) + "\n\n";
    if (isTorn && event >= lastBeforeTear) {
      co_await aClient.WritePart(text.substr(0, text.size() / 2));
      aClient.Abort();
      co_return false;
    }
    if (!co_await aClient.WritePart(text)) {
      co_return false;
    }
  }
  co_return co_await aClient.EndStream();
}

asio::awaitable<bool> CellReplica::RunPieces(ClientConnection& aClient)
{
  const json::value body = json::parse(aClient.GetRequest().body());
  if (calls_ >= 3) {
    co_return co_await aClient.WriteResponse(NotRun(503));
  }
  ++calls_;
  mostCalls_ = std::max(mostCalls_, calls_);
  co_await Sleep(kCallTime);
  --calls_;
  json::array items;
  for (const json::value& item : body.at("items").as_array()) {
    ++pieces_;
    const std::string handle =
      address_ + "/" + id_ + "-" + std::to_string(++lastResult_);
    results_[handle] = std::string(item.at("id").as_string());
    json::object made;
    made["handle"] = handle;
    items.push_back(std::move(made));
  }
  if (Happens(faults_.loseAnswer)) {
    aClient.Abort();
    co_return false;
  }
  EdgeResponse answer;
  answer.fields.set("Content-Type", "application/json");
  json::object results;
  results["items"] = std::move(items);
  answer.body = json::serialize(results);
  co_return co_await aClient.WriteResponse(std::move(answer));
}

} // namespace gypsum::tests
