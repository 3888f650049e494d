#include "review/stand_ins/plain_replica.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>

namespace review {

namespace json = boost::json;

namespace {

constexpr Milliseconds kContactTime{ 3'000 };
constexpr Milliseconds kDeadline{ 8'000 };
constexpr int kEvents = 30;
constexpr Milliseconds kEventInterval{ 60 };
constexpr int kClients = 12;
constexpr int kRounds = 8;
/** For how long a crashed replica is down. */
constexpr Milliseconds kDownTime{ 2'300 };
/** The second replica crashes at most so long after the first one is back. */
constexpr int kMostGapMs = 300;
constexpr Milliseconds kRoundTime{ 5'000 };
/** Replicas of other services, which only write their entries. */
constexpr int kOtherReplicas = 23;

/** A replica whose streams may be resumed; it may start again under its id. */
class StreamReplica
{
public:
  StreamReplica(World& aWorld, int aMachine)
    : world_(aWorld)
    , machine_(aMachine)
    , id_("i-" + std::to_string(aMachine))
  {
    Start("v1");
  }

  void Start(const std::string& aVersion)
  {
    version_ = aVersion;
    server_ = std::make_unique<Server>(
      world_.Host(machine_),
      world_.ThePorts().replicas,
      [this](Connection& aConnection) { Serve(aConnection); });
    registration_ = std::make_unique<Registration>(
      world_.TheStore(),
      id_,
      "redaction",
      world_.Host(machine_) + ":" + std::to_string(world_.ThePorts().replicas),
      64,
      aVersion);
    world_.Log().Write(id_ + " starts with software " + aVersion);
  }
  void Crash()
  {
    world_.Log().Write(id_ + " crashes");
    registration_.reset();
    server_.reset();
  }

private:
  void Serve(Connection& aConnection)
  {
    const std::string version = version_;
    Message request;
    while (aConnection.Read(request, Clock::now() + Milliseconds(5'000)) ==
           ReadEnd::Complete) {
      const std::string attempt = request.Get("Attempt-Id");
      Headers headers{ { "Attempt-Id", attempt },
                       { "Replica-Load", "1,0,64" } };
      const bool isOther = request.Get("Expect-Replica") != id_;
      if (attempt.empty() || isOther) {
        headers["Not-Executed"] = "1";
        if (!aConnection.Write(
              Format("HTTP/1.1 421 Misdirected", headers, ""))) {
          return;
        }
        continue;
      }
      headers["Replica-Seal"] = id_ + "." + attempt;
      headers["Keep-Alive"] = "timeout=5";
      world_.TheRuns().OnBegin(attempt, { id_, world_.Log().Now() });
      bool isOpen = aConnection.Write(FormatStreamHead(headers));
      int event = std::atoi(request.Get("Last-Event-Id").c_str()) + 1;
      for (; isOpen && event <= kEvents; ++event) {
        std::this_thread::sleep_for(kEventInterval);
        isOpen = !aConnection.HasEnded() &&
                 aConnection.Write(Chunk("id: " + std::to_string(event) +
                                         "\ndata: by " + version + "\n\n"));
      }
      isOpen = isOpen && aConnection.Write(kLastChunk);
      world_.TheRuns().OnEnd(attempt, world_.Log().Now(), isOpen);
      if (!isOpen) {
        return;
      }
    }
  }

  World& world_;
  int machine_;
  std::string id_;
  std::string version_;
  std::unique_ptr<Server> server_;
  std::unique_ptr<Registration> registration_;
};

void PutConfiguration(World& aWorld)
{
  json::object route =
    MakeRoute("/draft/", "streaming", "redaction", kDeadline);
  route["resumable"] = true;
  route["max-attempts"] = 2;
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", 1 },
      { "routes", json::array{ route } },
      { "services",
        json::array{
          json::object{ { "name", "redaction" }, { "max-conns", 370 } } } },
      { "limits", MakeLimits() },
      { "tenants", json::array{ MakeTenant("tenant-one", "key-one") } } }));
}

/** The versions that made the events of a stream. */
std::vector<std::string> VersionsIn(const std::string& aBody)
{
  constexpr std::string_view kMark = "data: by ";
  std::vector<std::string> versions;
  for (std::size_t at = aBody.find(kMark); at != std::string::npos;
       at = aBody.find(kMark, at + 1)) {
    const std::size_t begin = at + kMark.size();
    std::string version = aBody.substr(begin, aBody.find('\n', begin) - begin);
    if (versions.empty() || versions.back() != version) {
      versions.push_back(std::move(version));
    }
  }
  return versions;
}

void Call(World& aWorld,
          unsigned aNumber,
          std::atomic<int>& aJoined,
          const std::atomic<bool>& aIsStopping)
{
  Record& record = aWorld.Log();
  Client client(record);
  const std::string host =
    aWorld.Gateways()[aNumber % aWorld.Gateways().size()]->Host();
  std::mt19937 random(aNumber);
  std::uniform_int_distribution<int> pause(20, 800);
  while (!aIsStopping) {
    const std::string attempt = NextAttempt();
    const Outcome outcome =
      client.Send(host,
                  aWorld.ThePorts().clients,
                  MakeRequest("/draft/x", attempt, "key-one", kDeadline),
                  kDeadline);
    const auto versions = VersionsIn(outcome.answer.body);
    const bool isJoined =
      outcome.end == ReadEnd::Complete && versions.size() > 1;
    aJoined += isJoined ? 1 : 0;
    std::string line =
      (isJoined ? "ORDER " : "attempt ") + attempt + ", status " +
      std::to_string(outcome.answer.Status()) +
      (outcome.end == ReadEnd::Complete ? ", complete" : ", broken off") +
      ", runs " + std::to_string(aWorld.TheRuns().Of(attempt).size()) +
      ", events by";
    for (const std::string& version : versions) {
      line += " " + version;
    }
    record.Write(line);
    std::this_thread::sleep_for(Milliseconds(pause(random)));
  }
}

} // namespace

int RunTwoVersions(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  PutConfiguration(aWorld);
  StreamReplica first(aWorld, 10);
  StreamReplica second(aWorld, 11);
  std::vector<std::unique_ptr<Registration>> others;
  others.reserve(kOtherReplicas);
  for (int index = 0; index < kOtherReplicas; ++index) {
    std::this_thread::sleep_for(Milliseconds(50));
    others.push_back(std::make_unique<Registration>(
      aWorld.TheStore(),
      "i-other-" + std::to_string(index),
      "reservations",
      aWorld.Host(40 + index) + ":" +
        std::to_string(aWorld.ThePorts().replicas),
      6));
  }
  for (const auto& gateway : aWorld.Gateways()) {
    aWorld.WriteSettings(*gateway, 58);
    aWorld.StartGateway(*gateway);
  }
  for (const auto& gateway : aWorld.Gateways()) {
    if (!aWorld.AwaitReady(*gateway)) {
      record.Write(gateway->Name() + " did not become ready");
      return 2;
    }
  }
  std::this_thread::sleep_for(kContactTime);
  std::atomic<int> joined = 0;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (unsigned index = 0; index < kClients; ++index) {
    clients.emplace_back(
      [&, index] { Call(aWorld, index, joined, isStopping); });
  }
  std::mt19937 random(46);
  std::uniform_int_distribution<int> gap(0, kMostGapMs);
  for (int round = 2; round < kRounds + 2; ++round) {
    std::this_thread::sleep_for(kRoundTime);
    if (!aHasTrouble) {
      continue;
    }
    const std::string version = "v" + std::to_string(round);
    first.Crash();
    std::this_thread::sleep_for(kDownTime);
    first.Start(version);
    std::this_thread::sleep_for(Milliseconds(gap(random)));
    second.Crash();
    std::this_thread::sleep_for(kDownTime);
    second.Start(version);
  }
  isStopping = true;
  std::ranges::for_each(clients, &std::thread::join);
  record.Write("streams joined from two versions " + std::to_string(joined));
  return joined > 0 ? 1 : 0;
}

} // namespace review
