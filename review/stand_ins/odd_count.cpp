#include "review/stand_ins/plain_replica.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <sys/wait.h>

#include <algorithm>

namespace review {

namespace json = boost::json;

namespace {

/** `contact-ms` of the site, and a second more. */
constexpr Milliseconds kCalmTime{ 4'000 };
constexpr Milliseconds kHoldDeadline{ 1'500 };
constexpr Milliseconds kStreamDeadline{ 8'000 };
/** Pause of the platform before it starts a process again. */
constexpr Milliseconds kRestartTime{ 500 };
constexpr int kClients = 32;
constexpr int kMessages = 2;
constexpr int kReplicas = 3;
/** LOST allows so many requests of kept connections. */
constexpr int kAllowed = 3;
/** A count of pieces that has wrapped below zero. */
constexpr const char* kOddPieces = "4294967295,1";
constexpr const char* kSoundPieces = "2,1";

/** A replica of a stage's service; makes each piece that it is asked for. */
class SoundStage
{
public:
  SoundStage(World& aWorld,
             int aMachine,
             std::string aId,
             const std::string& aService)
    : id_(std::move(aId))
    , address_(aWorld.Host(aMachine) + ":" +
               std::to_string(aWorld.ThePorts().replicas))
    , server_(aWorld.Host(aMachine),
              aWorld.ThePorts().replicas,
              [this](Connection& aConnection) { Serve(aConnection); })
    , registration_(aWorld.TheStore(), id_, aService, address_, 1)
  {
  }

private:
  void Serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.Read(request, Clock::now() + Milliseconds(5'000)) ==
           ReadEnd::Complete) {
      const bool isRun = request.Target() == "/gypsumstream/stage-run";
      if (!aConnection.Write(Format("HTTP/1.1 200 OK",
                                    { { "Content-Type", "application/json" },
                                      { "Keep-Alive", "timeout=5" },
                                      { "Replica-Load", "0,0,1" } },
                                    isRun ? Compute(request.body) : "{}"))) {
        return;
      }
    }
  }

  std::string Compute(const std::string& aBody)
  {
    std::this_thread::sleep_for(Milliseconds(150));
    json::array results;
    const json::value body = json::parse(aBody);
    for (std::size_t index = 0; index < body.at("items").as_array().size();
         ++index) {
      results.push_back(json::object{
        { "handle", address_ + "/" + id_ + std::to_string(++made_) } });
    }
    return json::serialize(json::object{ { "items", results } });
  }

  std::string id_;
  std::string address_;
  std::atomic<std::uint64_t> made_ = 0;
  Server server_;
  Registration registration_;
};

json::object StageService(const std::string& aName, int aBatch)
{
  return { { "name", aName },
           { "max-conns", 370 },
           { "pieces",
             json::object{ { "slots", 1 },
                           { "queue", 2 },
                           { "batch", aBatch },
                           { "call-ms", 150 },
                           { "item-ms", 16 },
                           { "headroom-mb", 36 },
                           { "handle-s", 4 },
                           { "link-mbps", 10'000 } } } };
}

void PutConfiguration(World& aWorld)
{
  json::object digest =
    MakeRoute("/digest/", "streaming", "redaction", kStreamDeadline);
  digest["stages"] = json::array{ json::object{ { "service", "portfolios" },
                                                { "after", json::array{} },
                                                { "bytes", 8'000 } },
                                  json::object{ { "service", "facturation" },
                                                { "after", json::array{ 0 } },
                                                { "bytes", 60'000 } } };
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", 1 },
      { "routes",
        json::array{
          digest,
          MakeRoute(
            "/hold/", "non_idempotent", "reservations", kHoldDeadline) } },
      { "services",
        json::array{
          json::object{ { "name", "redaction" }, { "max-conns", 370 } },
          json::object{ { "name", "reservations" }, { "max-conns", 110 } },
          StageService("portfolios", 8),
          StageService("facturation", 16) } },
      { "limits", MakeLimits() },
      { "tenants", json::array{ MakeTenant("tenant-one", "key-one") } } }));
}

/** Clients that keep their connections and send one request after another. */
class HoldCallers
{
public:
  explicit HoldCallers(World& aWorld)
    : world_(aWorld)
  {
    for (unsigned index = 0; index < kClients; ++index) {
      threads_.emplace_back([this, index] { Call(index); });
    }
  }
  ~HoldCallers() { Stop(); }
  HoldCallers(const HoldCallers&) = delete;
  HoldCallers& operator=(const HoldCallers&) = delete;

  void Stop()
  {
    isStopping_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  int Attempts() const { return attempts_; }
  int Lost() const { return lost_; }

private:
  void Call(unsigned aNumber)
  {
    const Gateway& gateway =
      *world_.Gateways()[aNumber % world_.Gateways().size()];
    Client client(world_.Log());
    int answered = 0; // On the connection.
    while (!isStopping_) {
      const std::string attempt = NextAttempt();
      const Outcome outcome =
        client.Send(gateway.Host(),
                    world_.ThePorts().clients,
                    MakeRequest("/hold/x", attempt, "key-one", kHoldDeadline),
                    kHoldDeadline);
      ++attempts_;
      const bool isCut =
        outcome.wasSent &&
        (outcome.end == ReadEnd::Closed || outcome.end == ReadEnd::Incomplete);
      const auto runs = world_.TheRuns().Of(attempt).size();
      const bool isLost = isCut && runs > 0 && answered > 0;
      lost_ += isLost ? 1 : 0;
      world_.Log().Write(
        (isLost ? "LOST " : "attempt ") + attempt + " at " + gateway.Name() +
        ", status " + std::to_string(outcome.answer.Status()) + ", runs " +
        std::to_string(runs) + (isCut ? ", closed without an answer" : ""));
      answered = outcome.end == ReadEnd::Complete ? answered + 1 : 0;
      const bool isAnswered = outcome.end == ReadEnd::Complete;
      std::this_thread::sleep_for(Milliseconds(isAnswered ? 10 : 200));
    }
  }

  World& world_;
  std::atomic<bool> isStopping_ = false;
  std::atomic<int> attempts_ = 0;
  std::atomic<int> lost_ = 0;
  std::vector<std::thread> threads_;
};

/** One staged request; what the client saw of it. */
void SendStaged(World& aWorld, const Gateway& aGateway, const char* aPieces)
{
  const std::string attempt = NextAttempt();
  Client client(aWorld.Log());
  aWorld.Log().Write("attempt " + attempt + " with Pieces " + aPieces +
                     " is sent to " + aGateway.Name());
  const Outcome outcome = client.Send(
    aGateway.Host(),
    aWorld.ThePorts().clients,
    Format("POST /digest/x HTTP/1.1",
           { { "Host", "desk.example" },
             { "Attempt-Id", attempt },
             { "Credential", "key-one" },
             { "Deadline-Ms", std::to_string(kStreamDeadline.count()) },
             { "Model", "m" },
             { "Token-Counts", "460,25" },
             { "Prompt-Prefix", "5c1e07a2:400," + attempt + ":60" },
             { "Pieces", aPieces },
             { "Piece-Key", attempt } },
           "{}"),
    kStreamDeadline);
  aWorld.Log().Write("attempt " + attempt + " ends, status " +
                     std::to_string(outcome.answer.Status()) + ", runs " +
                     std::to_string(aWorld.TheRuns().Of(attempt).size()));
}

/** Starts the gateways again that have ended by themselves; their number. */
int Restart(World& aWorld)
{
  int ended = 0;
  for (const auto& gateway : aWorld.Gateways()) {
    const auto status = gateway->WaitForEnd(Milliseconds(0));
    if (!status) {
      continue;
    }
    ++ended;
    aWorld.Log().Write(gateway->Name() + " has ended by itself, " +
                       (WIFEXITED(*status)
                          ? "code " + std::to_string(WEXITSTATUS(*status))
                          : "signal " + std::to_string(WTERMSIG(*status))));
    std::this_thread::sleep_for(kRestartTime);
    aWorld.StartGateway(*gateway);
  }
  return ended;
}

} // namespace

int RunOddCount(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  PutConfiguration(aWorld);
  std::vector<std::unique_ptr<PlainReplica>> replicas;
  std::vector<std::unique_ptr<SoundStage>> stages;
  for (int index = 0; index < kReplicas; ++index) {
    const std::string number = std::to_string(index);
    replicas.push_back(std::make_unique<PlainReplica>(
      aWorld, 10 + index, "i-red" + number, "redaction", true));
    replicas.push_back(std::make_unique<PlainReplica>(
      aWorld, 20 + index, "i-res" + number, "reservations", false));
    stages.push_back(std::make_unique<SoundStage>(
      aWorld, 30 + index, "i-por" + number, "portfolios"));
    stages.push_back(std::make_unique<SoundStage>(
      aWorld, 40 + index, "i-fac" + number, "facturation"));
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
  std::this_thread::sleep_for(kCalmTime);
  HoldCallers callers(aWorld);
  int ended = 0;
  for (int message = 0; message < kMessages; ++message) {
    std::this_thread::sleep_for(kCalmTime);
    const auto chosen = static_cast<std::size_t>(message);
    std::atomic<bool> hasEnded = false;
    std::thread sender([&] {
      SendStaged(aWorld,
                 *aWorld.Gateways()[chosen],
                 aHasTrouble ? kOddPieces : kSoundPieces);
      hasEnded = true;
    });
    while (!hasEnded) {
      std::this_thread::sleep_for(Milliseconds(50));
      ended += Restart(aWorld);
    }
    sender.join();
  }
  std::this_thread::sleep_for(kCalmTime);
  callers.Stop();
  record.Write("attempts " + std::to_string(callers.Attempts()) +
               ", processes that ended by themselves " + std::to_string(ended) +
               ", requests lost " + std::to_string(callers.Lost()));
  return callers.Lost() > kAllowed ? 1 : 0;
}

} // namespace review
