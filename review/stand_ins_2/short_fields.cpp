// A client sends requests that are legal in size, whose prompts are made of
// very many short parts.

#include "review/stand_ins_2/platform.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <string>

namespace review {

namespace {

namespace json = boost::json;

constexpr unsigned kGateways = 2;
constexpr int kModelReplicas = 3;
/** Of `max-header-bytes`, 16,384. */
constexpr std::size_t kPartsBytes = 15'500;
constexpr int kRequests = 700;
constexpr Milliseconds kPromptTime{ 20 };
constexpr Milliseconds kReadTimeout{ 30'000 };
/** The client of the long requests gives up after its deadline. */
constexpr Milliseconds kDeadline{ 8'000 };
/** Of the ordinary requests. */
constexpr Milliseconds kRouteTimeout{ 1'500 };
constexpr Milliseconds kLateAnswer{ 500 };
constexpr Milliseconds kOrdinaryInterval{ 200 };
/** For how long the gateways are watched after the last long request. */
constexpr Milliseconds kWatchTime{ 20'000 };
constexpr Milliseconds kMostSendTime{ 70'000 };
/** So many late requests make a rule of shares apply. */
constexpr int kFewestLate = 8;

/** Answers at once, a stream to a prompt and a short body otherwise. */
class Replica
{
public:
  Replica(Record& aRecord, std::string aId)
    : record_(aRecord)
    , id_(std::move(aId))
    , server_([this](Socket& aConnection) { Serve(aConnection); })
  {
  }

  const std::string& Id() const { return id_; }
  std::string Address() const { return server_.Address(); }

private:
  void Serve(Socket& aConnection)
  {
    while (const auto request = aConnection.ReadRequest(kReadTimeout)) {
      if (const auto report = ReportFor(*request)) {
        aConnection.Send(*report);
        continue;
      }
      const std::string attempt = request->Field("attempt-id");
      const std::string fields = FieldsOfRun(attempt);
      record_.Write("run " + attempt + " at " + id_);
      const bool isPrompt = !request->Field("prompt-prefix").empty();
      if (isPrompt) {
        std::this_thread::sleep_for(kPromptTime);
      }
      const std::string answer =
        isPrompt ? ResponseOf("200 OK",
                              "Content-Type: text/event-stream\r\n" + fields,
                              "id: 1\ndata: tokens\n\n")
                 : ResponseOf("200 OK", fields, "done");
      if (!aConnection.Send(answer)) {
        return;
      }
    }
  }

  Record& record_;
  std::string id_;
  Server server_;
};

json::object Route(const std::string& aName,
                   const std::string& aKind,
                   const std::string& aService,
                   Milliseconds aTimeout)
{
  return { { "name", aName },
           { "host", "app.example" },
           { "prefix", "/" + aName + "/" },
           { "kind", aKind },
           { "timeout-ms", aTimeout.count() },
           { "target-latency-ms", 300 },
           { "priority", 0 },
           { "service", aService },
           { "max-attempts", 2 },
           { "public", false },
           { "gap-target-ms", 300 } };
}

json::object Service(const std::string& aName)
{
  return { { "name", aName },
           { "health-path", "/healthz" },
           { "max-conns", 360 },
           { "protocol", "h1" },
           { "tls", false } };
}

json::object Configuration()
{
  json::object prompts = Route("brief", "streaming", "model", kDeadline);
  prompts["sticky"] = true;
  prompts["resumable"] = true;
  json::object model = Service("model");
  model["engine"] =
    json::object{ { "slots", 64 }, { "kv-capacity-tokens", 621'842 } };
  json::object configuration;
  configuration["routes"] =
    json::array{ prompts, Route("read", "idempotent", "app", kRouteTimeout) };
  configuration["services"] = json::array{ model, Service("app") };
  AddCommon(configuration);
  return configuration;
}

/** Parts of one token each, as many as fit; without trouble, three parts. */
std::string DrawParts(std::uint64_t& aLast, int& aCount)
{
  std::string parts;
  aCount = 0;
  if (!HasTrouble()) {
    aCount = 1'000;
    return "5c1e07a2:800,91bd3f06:150," + std::to_string(++aLast) + ":50";
  }
  while (parts.size() < kPartsBytes) {
    std::array<char, 32> part{};
    std::snprintf(part.data(),
                  part.size(),
                  "%s%llx:1",
                  parts.empty() ? "" : ",",
                  static_cast<unsigned long long>(++aLast));
    parts += part.data();
    ++aCount;
  }
  return parts;
}

/** Sends prompts to the first gateway, until one is not answered in time. */
void SendPrompts(Record& aRecord, int aPort)
{
  std::uint64_t lastPart = 0;
  for (int number = 0;
       number < kRequests && aRecord.Elapsed() < kMostSendTime.count();
       ++number) {
    const std::string attempt = "b41f" + std::to_string(100'000 + number);
    int count = 0;
    const std::string parts = DrawParts(lastPart, count);
    aRecord.Write("sent " + attempt + " with " +
                  std::to_string(std::ranges::count(parts, ',') + 1) +
                  " parts of " + std::to_string(count) + " tokens");
    auto connection = Socket::Connect(aPort);
    const std::string fields =
      "Model: m\r\nToken-Counts: " + std::to_string(count) +
      ",60\r\nPrompt-Prefix: " + parts + "\r\n";
    const bool isSent =
      connection &&
      connection->Send(RequestOf("/brief/x", attempt, kDeadline, fields, "{}"));
    const auto answer = isSent ? connection->Read(kDeadline) : std::nullopt;
    aRecord.Write("answered " + attempt + " " +
                  (answer ? std::to_string(answer->Status()) : "nothing"));
    if (!answer) {
      return;
    }
  }
}

/** Counts of the ordinary requests of one gateway. */
struct Ordinary
{
  std::atomic<int> served = 0;
  std::atomic<int> late = 0;       ///< Not answered by the route's timeout.
  std::atomic<int> unanswered = 0; ///< Not half a second later either.
};

/** One ordinary request on a connection of its own. */
void SendOrdinary(Record& aRecord,
                  int aPort,
                  unsigned aHost,
                  int aNumber,
                  Ordinary& aCounts)
{
  const std::string attempt =
    "0d1a" + std::to_string(aHost * 100'000U + static_cast<unsigned>(aNumber));
  const long sentAt = aRecord.Elapsed();
  aRecord.Write("sent " + attempt);
  auto connection = Socket::Connect(aPort, aHost);
  const bool isSent =
    connection && connection->Send(RequestOf(
                    "/read/x", attempt, Milliseconds(3'000), "", "{}"));
  const auto answer =
    isSent ? connection->Read(kRouteTimeout + kLateAnswer) : std::nullopt;
  if (IsOver()) {
    return;
  }
  aRecord.Write("answered " + attempt + " " +
                (answer ? std::to_string(answer->Status()) : "nothing"));
  aCounts.served += answer && answer->Status() == 200 ? 1 : 0;
  aCounts.late +=
    !answer || aRecord.Elapsed() - sentAt > kRouteTimeout.count() ? 1 : 0;
  aCounts.unanswered += answer ? 0 : 1;
}

int Run(const std::string& aFolder)
{
  Record record(aFolder);
  std::list<Replica> models;
  for (int number = 0; number < kModelReplicas; ++number) {
    models.emplace_back(record, "i-model-" + std::to_string(number));
  }
  Replica application(record, "i-app-0");
  Platform platform(record, kGateways);
  platform.Put("op/config", Configuration());
  for (const Replica& replica : models) {
    platform.Register(replica.Id(), "model", replica.Address(), 64);
  }
  platform.Register(application.Id(), "app", application.Address(), 6);
  if (!platform.Start()) {
    return kNotRun;
  }
  const int port = platform.ClientPort();
  std::array<Ordinary, kGateways> counts;
  std::list<std::thread> callers;
  for (unsigned host = 1; host <= kGateways; ++host) {
    callers.emplace_back([&record, &counts, port, host] {
      std::list<std::thread> requests;
      for (int number = 0; !IsOver(); ++number) {
        requests.emplace_back([&record, &counts, port, host, number] {
          SendOrdinary(record, port, host, number, counts[host - 1]);
        });
        std::this_thread::sleep_for(kOrdinaryInterval);
      }
      std::ranges::for_each(requests, &std::thread::join);
    });
  }
  SendPrompts(record, port);
  record.Write("no more prompts are sent");
  std::this_thread::sleep_for(kWatchTime);
  for (unsigned host = 1; host <= kGateways; ++host) {
    record.Write(
      "gateway " + std::to_string(host) +
      (platform.IsReady(host) ? " is ready" : " does not answer at /readyz") +
      ", " + std::to_string(platform.ResidentMegabytes(host)) + " MB");
  }
  IsOver() = true;
  std::ranges::for_each(callers, &std::thread::join);
  bool isBroken = false;
  std::string summary;
  for (const Ordinary& one : counts) {
    summary += std::to_string(one.served) + " ordinary requests served, " +
               std::to_string(one.late) + " late, " +
               std::to_string(one.unanswered) + " of them unanswered; ";
    isBroken =
      isBroken || (one.late >= kFewestLate && one.unanswered * 2 > one.late);
  }
  record.Write(summary);
  const bool hasServed = std::ranges::all_of(
    counts, [](const Ordinary& aOne) { return aOne.served > 0; });
  return isBroken ? kBroken : hasServed ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int main(int aCount, char** aArguments)
{
  return review::Run(review::FolderOf(aCount, aArguments));
}
