#include "review/stand_ins/world.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace review {

namespace json = boost::json;

namespace {

constexpr Milliseconds kGrace{ 8'000 };
constexpr Milliseconds kPlannedAfterGrace{ 1'000 };
constexpr Milliseconds kStreamDeadline{ 8'000 };
constexpr Milliseconds kHoldDeadline{ 1'500 };
constexpr int kStreamEvents = 24;
constexpr Milliseconds kEventInterval{ 60 };
constexpr Milliseconds kHoldTime{ 60 };
constexpr int kStreamClients = 12;
constexpr int kHoldClients = 6;
constexpr int kRounds = 2;
/** Longer than `contact-ms`, so that all machines are in touch again. */
constexpr Milliseconds kCalmTime{ 4'000 };
constexpr int kExtraRepeats = 58;

/** A replica that streams events, or runs what may not be repeated. */
class PlainReplica
{
public:
  PlainReplica(World& aWorld,
               int aMachine,
               const std::string& aId,
               const std::string& aService,
               bool aStreams)
    : world_(aWorld)
    , id_(aId)
    , streams_(aStreams)
    , server_(aWorld.Host(aMachine),
              aWorld.ThePorts().replicas,
              [this](Connection& aConnection) { Serve(aConnection); })
    , registration_(aWorld.TheStore(),
                    aId,
                    aService,
                    aWorld.Host(aMachine) + ":" +
                      std::to_string(aWorld.ThePorts().replicas),
                    64)
  {
  }

private:
  void Serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.Read(request, Clock::now() + Milliseconds(5'000)) ==
           ReadEnd::Complete) {
      const std::string attempt = request.Get("Attempt-Id");
      Headers headers{ { "Attempt-Id", attempt },
                       { "Replica-Load", "1,0,64" } };
      if (attempt.empty()) {
        if (!aConnection.Write(Format("HTTP/1.1 200 OK", headers, "{}"))) {
          return;
        }
        continue;
      }
      if (request.Get("Expect-Replica") != id_) {
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
      const bool isWritten =
        streams_ ? Stream(aConnection, headers) : RunHold(aConnection, headers);
      world_.TheRuns().OnEnd(attempt, world_.Log().Now(), isWritten);
      if (!isWritten) {
        return;
      }
    }
  }

  static bool Stream(Connection& aConnection, const Headers& aHeaders)
  {
    bool isOpen = aConnection.Write(FormatStreamHead(aHeaders));
    for (int event = 1; isOpen && event <= kStreamEvents; ++event) {
      std::this_thread::sleep_for(kEventInterval);
      isOpen = !aConnection.HasEnded() &&
               aConnection.Write(
                 Chunk("id: " + std::to_string(event) + "\ndata: piece\n\n"));
    }
    return isOpen && aConnection.Write(kLastChunk);
  }

  static bool RunHold(Connection& aConnection, const Headers& aHeaders)
  {
    std::this_thread::sleep_for(kHoldTime);
    return aConnection.Write(Format("HTTP/1.1 200 OK", aHeaders, "held"));
  }

  World& world_;
  std::string id_;
  bool streams_;
  Server server_;
  Registration registration_;
};

/** A planned stop of one gateway. */
struct Stop
{
  std::string host;
  Milliseconds at{};
};

/** An attempt that a replica ran and whose connection ended without a complete
 * answer. */
struct Cut
{
  std::string attempt;
  std::string kind;
  std::string host;
  Milliseconds sentAt{};
  Milliseconds endedAt{};
};

/** The gateways to which the platform's balancer forwards connections. */
class Rotation
{
public:
  explicit Rotation(World& aWorld)
    : world_(aWorld)
    , misses_(aWorld.Gateways().size(), 0)
    , thread_([this] { Poll(); })
  {
  }
  ~Rotation()
  {
    isStopping_ = true;
    thread_.join();
  }
  Rotation(const Rotation&) = delete;
  Rotation& operator=(const Rotation&) = delete;

  std::string Choose(unsigned aNumber)
  {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> hosts;
    for (std::size_t index = 0; index < misses_.size(); ++index) {
      if (misses_[index] < 2) {
        hosts.push_back(world_.Gateways()[index]->Host());
      }
    }
    return hosts.empty() ? world_.Gateways().front()->Host()
                         : hosts[aNumber % hosts.size()];
  }

private:
  void Poll()
  {
    while (!isStopping_) {
      for (std::size_t index = 0; index < misses_.size(); ++index) {
        const bool isReady = world_.IsReady(*world_.Gateways()[index]);
        const std::lock_guard lock(mutex_);
        misses_[index] = isReady ? 0 : misses_[index] + 1;
      }
      std::this_thread::sleep_for(Milliseconds(1'000));
    }
  }

  World& world_;
  std::mutex mutex_;
  std::vector<int> misses_;
  std::atomic<bool> isStopping_ = false;
  std::thread thread_;
};

json::object Route(const std::string& aPrefix,
                   const std::string& aKind,
                   const std::string& aService,
                   Milliseconds aTimeout)
{
  return { { "name", "r" + aPrefix },
           { "host", "desk.example" },
           { "prefix", aPrefix },
           { "kind", aKind },
           { "timeout-ms", aTimeout.count() },
           { "target-latency-ms", 1'000 },
           { "gap-target-ms", 300 },
           { "priority", 1 },
           { "service", aService },
           { "max-attempts", 1 },
           { "public", false } };
}

void PutConfiguration(World& aWorld)
{
  const json::object tenant{ { "name", "tenant-one" },
                             { "api-keys", json::array{ "key-one" } },
                             { "priority", 1 } };
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", 1 },
      { "routes",
        json::array{
          Route("/digest/", "streaming", "redaction", kStreamDeadline),
          Route("/hold/", "non_idempotent", "reservations", kHoldDeadline) } },
      { "services",
        json::array{
          json::object{ { "name", "redaction" }, { "max-conns", 370 } },
          json::object{ { "name", "reservations" }, { "max-conns", 370 } } } },
      { "limits",
        json::object{ { "max-header-bytes", 16'384 },
                      { "max-body-bytes", 1'000'000 },
                      { "header-timeout-ms", 2'000 },
                      { "idle-timeout-ms", 10'000 } } },
      { "tenants", json::array{ tenant } } }));
}

/** Clients that send one request after the other. */
class Callers
{
public:
  Callers(World& aWorld, Rotation& aRotation)
    : world_(aWorld)
    , rotation_(aRotation)
  {
    for (int index = 0; index < kStreamClients; ++index) {
      threads_.emplace_back([this, index] {
        Call(static_cast<unsigned>(index), "/digest/x", kStreamDeadline);
      });
    }
    for (int index = 0; index < kHoldClients; ++index) {
      threads_.emplace_back([this, index] {
        Call(static_cast<unsigned>(index), "/hold/x", kHoldDeadline);
      });
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  ~Callers() { Stop(); }

  void Stop()
  {
    isStopping_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  std::vector<Cut> Cuts()
  {
    const std::lock_guard lock(mutex_);
    return cuts_;
  }
  int Attempts() const { return attempts_; }

private:
  void Call(unsigned aNumber, const std::string& aPath, Milliseconds aDeadline)
  {
    Client client(world_.Log());
    std::string host = rotation_.Choose(aNumber);
    for (unsigned sent = aNumber; !isStopping_; ++sent) {
      const std::string attempt = NextAttempt();
      const Outcome outcome = client.Send(
        host,
        world_.ThePorts().clients,
        Format("POST " + aPath + " HTTP/1.1",
               { { "Host", "desk.example" },
                 { "Attempt-Id", attempt },
                 { "Credential", "key-one" },
                 { "Deadline-Ms", std::to_string(aDeadline.count()) } },
               "{}"),
        aDeadline);
      ++attempts_;
      Judge(attempt, aPath, host, outcome);
      if (outcome.end != ReadEnd::Complete ||
          outcome.answer.Get("Connection") == "close") {
        client.Close();
        host = rotation_.Choose(sent);
      }
      std::this_thread::sleep_for(Milliseconds(30));
    }
  }

  void Judge(const std::string& aAttempt,
             const std::string& aPath,
             const std::string& aHost,
             const Outcome& aOutcome)
  {
    std::string line = "attempt " + aAttempt + " " + aPath + " at " + aHost +
                       " sent " + std::to_string(aOutcome.sentAt.count()) +
                       " ms";
    const auto runs = world_.TheRuns().Of(aAttempt);
    line += ", runs " + std::to_string(runs.size());
    const bool isCut =
      aOutcome.end == ReadEnd::Closed || aOutcome.end == ReadEnd::Incomplete;
    if (aOutcome.end == ReadEnd::Complete) {
      line += ", answered " + std::to_string(aOutcome.answer.Status());
    } else {
      line += isCut ? ", connection ended without a complete answer"
                    : ", no answer in time";
    }
    world_.Log().Write(line);
    if (isCut && aOutcome.wasSent && !runs.empty()) {
      const std::lock_guard lock(mutex_);
      cuts_.push_back(
        { aAttempt, aPath, aHost, aOutcome.sentAt, aOutcome.endedAt });
    }
  }

  World& world_;
  Rotation& rotation_;
  std::atomic<bool> isStopping_ = false;
  std::atomic<int> attempts_ = 0;
  std::mutex mutex_;
  std::vector<Cut> cuts_;
  std::vector<std::thread> threads_;
};

/** Whether LOST counts a cut that came beside a planned stop. */
bool Counts(const Cut& aCut, const Stop& aStop, World& aWorld)
{
  const bool isPlanned = aCut.host == aStop.host && aCut.endedAt >= aStop.at &&
                         aCut.endedAt <= aStop.at + kGrace + kPlannedAfterGrace;
  const Milliseconds deadline =
    aCut.kind == "/hold/x" ? kHoldDeadline : kStreamDeadline;
  const bool isOverdue = aCut.endedAt - aCut.sentAt >= deadline;
  // Work in the last sixth of the grace is excused.
  const Milliseconds lastSixth = aStop.at + kGrace - kGrace / 6;
  const bool isAtEndOfGrace = std::ranges::any_of(
    aWorld.TheRuns().Of(aCut.attempt), [&](const Run& aRun) {
      return aRun.end.count() == 0 || aRun.end >= lastSixth;
    });
  return isPlanned && !isOverdue && !isAtEndOfGrace;
}

} // namespace

int RunPlannedStops(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  PutConfiguration(aWorld);
  std::vector<std::unique_ptr<PlainReplica>> replicas;
  for (int index = 0; index < 3; ++index) {
    const std::string number = std::to_string(index);
    replicas.push_back(std::make_unique<PlainReplica>(
      aWorld, 10 + index, "i-red" + number, "redaction", true));
    replicas.push_back(std::make_unique<PlainReplica>(
      aWorld, 30 + index, "i-res" + number, "reservations", false));
  }
  for (const auto& gateway : aWorld.Gateways()) {
    aWorld.WriteSettings(*gateway, kExtraRepeats);
    aWorld.StartGateway(*gateway);
  }
  for (const auto& gateway : aWorld.Gateways()) {
    if (!aWorld.AwaitReady(*gateway)) {
      record.Write(gateway->Name() + " did not become ready");
      return 2;
    }
  }
  std::this_thread::sleep_for(kCalmTime);
  std::vector<Stop> stops;
  int crashes = 0;
  Rotation rotation(aWorld);
  Callers callers(aWorld, rotation);
  std::this_thread::sleep_for(kCalmTime);
  for (int round = 1; round <= kRounds; ++round) {
    for (const auto& gateway : aWorld.Gateways()) {
      if (aHasTrouble) {
        // The settings of the machine change, and it is stopped and started.
        aWorld.WriteSettings(*gateway, kExtraRepeats + round);
        stops.push_back({ gateway->Host(), record.Now() });
        gateway->Signal(SIGHUP);
        gateway->Signal(SIGTERM);
        record.Write("SIGHUP and SIGTERM to " + gateway->Name());
        const auto status = gateway->WaitForEnd(kGrace);
        if (!status) {
          gateway->Signal(SIGKILL);
          static_cast<void>(gateway->WaitForEnd(kGrace));
          record.Write(gateway->Name() + " was killed after its grace");
        } else if (WIFSIGNALED(*status)) {
          ++crashes;
          record.Write(gateway->Name() + " ended by itself by signal " +
                       std::to_string(WTERMSIG(*status)));
        } else {
          record.Write(gateway->Name() + " ended with code " +
                       std::to_string(WEXITSTATUS(*status)));
        }
        aWorld.StartGateway(*gateway);
        if (!aWorld.AwaitReady(*gateway)) {
          record.Write(gateway->Name() + " did not become ready");
          return 2;
        }
      }
      std::this_thread::sleep_for(kCalmTime);
    }
  }
  callers.Stop();
  int lost = 0;
  for (const Cut& cut : callers.Cuts()) {
    const bool counts = std::ranges::any_of(
      stops, [&](const Stop& aStop) { return Counts(cut, aStop, aWorld); });
    lost += counts ? 1 : 0;
    record.Write((counts ? "LOST " : "cut, not counted ") + cut.attempt + " " +
                 cut.kind + " at " + cut.host + ", sent " +
                 std::to_string(cut.sentAt.count()) + " ms, ended " +
                 std::to_string(cut.endedAt.count()) + " ms");
  }
  record.Write("attempts " + std::to_string(callers.Attempts()) + ", stops " +
               std::to_string(stops.size()) + ", processes that crashed " +
               std::to_string(crashes) + ", requests lost " +
               std::to_string(lost));
  return lost > 0 ? 1 : 0;
}

} // namespace review
