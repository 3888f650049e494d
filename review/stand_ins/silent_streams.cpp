#include "review/stand_ins/plain_replica.h"
#include "review/stand_ins/rotation.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>

namespace review {

namespace json = boost::json;

namespace {

constexpr Milliseconds kGrace{ 8'000 };
constexpr Milliseconds kPlannedAfterGrace{ 1'000 };
constexpr Milliseconds kDeadline{ 8'000 };
/** Longer than `contact-ms`, so that all machines are in touch again. */
constexpr Milliseconds kCalmTime{ 4'000 };
constexpr int kClients = 96;
constexpr int kReplicas = 3;
constexpr int kRounds = 2;
constexpr int kExtraRepeats = 58;
constexpr int kEvents = 24;
constexpr Milliseconds kEventInterval{ 120 };
/** Share of the runs that are preempted once, in the middle of their stream,
 * and how long they wait for memory and read their prompt again. */
constexpr double kPreemptedShare = 0.1;
constexpr Milliseconds kPreemptedTime{ 1'200 };
constexpr Milliseconds kLook{ 25 };

/** A sound model replica, whose streams may be resumed. */
class PreemptingReplica
{
public:
  PreemptingReplica(World& aWorld, int aMachine, const std::string& aId)
    : world_(aWorld)
    , id_(aId)
    , random_(static_cast<std::uint_fast32_t>(aMachine))
    , server_(aWorld.Host(aMachine),
              aWorld.ThePorts().replicas,
              [this](Connection& aConnection) { Serve(aConnection); })
    , registration_(aWorld.TheStore(),
                    aId,
                    "redaction",
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
      if (attempt.empty() || request.Get("Expect-Replica") != id_) {
        headers["Not-Executed"] = "1";
        if (!aConnection.Write(Format(attempt.empty()
                                        ? "HTTP/1.1 400 No id"
                                        : "HTTP/1.1 421 Misdirected",
                                      headers,
                                      ""))) {
          return;
        }
        continue;
      }
      headers["Replica-Seal"] = id_ + "." + attempt;
      headers["Keep-Alive"] = "timeout=5";
      world_.TheRuns().OnBegin(attempt, { id_, world_.Log().Now() });
      const bool isWritten =
        Stream(aConnection, headers, request.Get("Last-Event-Id"), attempt);
      world_.TheRuns().OnEnd(attempt, world_.Log().Now(), isWritten);
      if (!isWritten) {
        return;
      }
    }
  }

  /** Waits; false if the connection has ended meanwhile. */
  static bool Wait(const Connection& aConnection, Milliseconds aTime)
  {
    const auto until = Clock::now() + aTime;
    while (Clock::now() < until) {
      std::this_thread::sleep_for(std::min(kLook, aTime));
      if (aConnection.HasEnded()) {
        return false;
      }
    }
    return true;
  }

  bool Stream(Connection& aConnection,
              const Headers& aHeaders,
              const std::string& aLastEvent,
              const std::string& aAttempt)
  {
    int preemptedAfter = 0;
    if (aLastEvent.empty()) {
      const std::lock_guard lock(mutex_);
      if (std::bernoulli_distribution(kPreemptedShare)(random_)) {
        preemptedAfter =
          std::uniform_int_distribution<int>(1, kEvents - 1)(random_);
      }
    }
    bool isOpen = aConnection.Write(FormatStreamHead(aHeaders));
    for (int event = std::atoi(aLastEvent.c_str()) + 1;
         isOpen && event <= kEvents;
         ++event) {
      isOpen = Wait(aConnection, kEventInterval) &&
               aConnection.Write(
                 Chunk("id: " + std::to_string(event) + "\ndata: piece\n\n"));
      if (isOpen && event == preemptedAfter) {
        world_.Log().Write(id_ + " preempts " + aAttempt + " after event " +
                           std::to_string(event));
        isOpen = Wait(aConnection, kPreemptedTime);
      }
    }
    return isOpen && aConnection.Write(kLastChunk);
  }

  World& world_;
  std::string id_;
  std::mutex mutex_;
  std::mt19937 random_;
  Server server_;
  Registration registration_;
};

/** An attempt whose connection ended without a complete answer. */
struct CutStream
{
  std::string attempt;
  std::string host;
  Milliseconds sentAt{};
  Milliseconds endedAt{};
};

/** Clients, one request after the other each. */
class StreamCallers
{
public:
  StreamCallers(World& aWorld, Rotation& aRotation)
    : world_(aWorld)
    , rotation_(aRotation)
  {
    for (unsigned index = 0; index < kClients; ++index) {
      threads_.emplace_back([this, index] { Call(index); });
    }
  }
  ~StreamCallers() { Stop(); }
  StreamCallers(const StreamCallers&) = delete;
  StreamCallers& operator=(const StreamCallers&) = delete;

  void Stop()
  {
    isStopping_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  std::vector<CutStream> Cuts()
  {
    const std::lock_guard lock(mutex_);
    return cuts_;
  }
  int Attempts() const { return attempts_; }

private:
  void Call(unsigned aNumber)
  {
    std::mt19937 random(aNumber);
    Client client(world_.Log());
    std::string host = rotation_.Choose(aNumber);
    while (!isStopping_) {
      std::this_thread::sleep_for(Milliseconds(random() % 1'000));
      const std::string attempt = NextAttempt();
      const Outcome outcome =
        client.Send(host,
                    world_.ThePorts().clients,
                    MakeRequest("/draft/x", attempt, "key-one", kDeadline),
                    kDeadline);
      ++attempts_;
      const bool isCut =
        outcome.end == ReadEnd::Closed || outcome.end == ReadEnd::Incomplete;
      const auto runs = world_.TheRuns().Of(attempt).size();
      std::string line = "attempt " + attempt + " at ";
      line.append(host)
        .append(" sent ")
        .append(std::to_string(outcome.sentAt.count()))
        .append(" ms, runs ")
        .append(std::to_string(runs));
      if (outcome.end == ReadEnd::Complete) {
        line.append(", answered ")
          .append(std::to_string(outcome.answer.Status()));
      } else {
        line.append(isCut ? ", connection ended without a complete answer"
                          : ", no answer in time");
      }
      world_.Log().Write(line);
      if (isCut && outcome.wasSent && runs > 0) {
        const std::lock_guard lock(mutex_);
        cuts_.push_back({ attempt, host, outcome.sentAt, outcome.endedAt });
      }
      if (outcome.end != ReadEnd::Complete ||
          outcome.answer.Get("Connection") == "close") {
        client.Close();
        host = rotation_.Choose(random());
      }
    }
  }

  World& world_;
  Rotation& rotation_;
  std::atomic<bool> isStopping_ = false;
  std::atomic<int> attempts_ = 0;
  std::mutex mutex_;
  std::vector<CutStream> cuts_;
  std::vector<std::thread> threads_;
};

/** A planned stop of one gateway. */
struct PlannedStop
{
  std::string host;
  Milliseconds at{};
};

/** Whether LOST counts a cut that came beside a planned stop. */
bool Counts(const CutStream& aCut, const PlannedStop& aStop, World& aWorld)
{
  const bool isPlanned = aCut.host == aStop.host && aCut.endedAt >= aStop.at &&
                         aCut.endedAt <= aStop.at + kGrace + kPlannedAfterGrace;
  const bool isOverdue = aCut.endedAt - aCut.sentAt >= kDeadline;
  // Work in the last sixth of the grace is excused.
  const Milliseconds lastSixth = aStop.at + kGrace - kGrace / 6;
  const bool isAtEndOfGrace = std::ranges::any_of(
    aWorld.TheRuns().Of(aCut.attempt), [&](const Run& aRun) {
      return aRun.end.count() == 0 || aRun.end >= lastSixth;
    });
  return isPlanned && !isOverdue && !isAtEndOfGrace;
}

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

} // namespace

int RunSilentStreams(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  PutConfiguration(aWorld);
  std::vector<std::unique_ptr<PreemptingReplica>> replicas;
  replicas.reserve(kReplicas);
  for (int index = 0; index < kReplicas; ++index) {
    replicas.push_back(std::make_unique<PreemptingReplica>(
      aWorld, 10 + index, "i-" + std::to_string(index)));
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
  std::vector<PlannedStop> stops;
  Rotation rotation(aWorld);
  StreamCallers callers(aWorld, rotation);
  std::this_thread::sleep_for(kCalmTime);
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& gateway : aWorld.Gateways()) {
      if (!aHasTrouble) {
        std::this_thread::sleep_for(kGrace);
        continue;
      }
      stops.push_back({ gateway->Host(), record.Now() });
      gateway->Signal(SIGTERM);
      record.Write("SIGTERM to " + gateway->Name());
      const auto status = gateway->WaitForEnd(kGrace);
      if (!status) {
        gateway->Signal(SIGKILL);
        static_cast<void>(gateway->WaitForEnd(kGrace));
      }
      record.Write(gateway->Name() + (status && WIFEXITED(*status)
                                        ? " has ended"
                                        : " did not end in order"));
      aWorld.StartGateway(*gateway);
      if (!aWorld.AwaitReady(*gateway)) {
        record.Write(gateway->Name() + " did not become ready");
        return 2;
      }
      std::this_thread::sleep_for(kCalmTime);
    }
  }
  callers.Stop();
  int lost = 0;
  const std::vector<CutStream> cuts = callers.Cuts();
  for (const CutStream& cut : cuts) {
    std::string since;
    const bool counts =
      std::ranges::any_of(stops, [&](const PlannedStop& aStop) {
        const bool isCounted = Counts(cut, aStop, aWorld);
        since =
          isCounted ? std::to_string((cut.endedAt - aStop.at).count()) : since;
        return isCounted;
      });
    lost += counts ? 1 : 0;
    record.Write((counts ? "LOST " : "cut, not counted ") + cut.attempt +
                 " at " + cut.host + ", sent " +
                 std::to_string(cut.sentAt.count()) + " ms, ended " +
                 std::to_string(cut.endedAt.count()) + " ms" +
                 (counts ? ", " + since + " ms after SIGTERM" : ""));
  }
  record.Write("attempts " + std::to_string(callers.Attempts()) + ", stops " +
               std::to_string(stops.size()) + ", cut " +
               std::to_string(cuts.size()) + ", of these lost " +
               std::to_string(lost));
  return lost > 0 ? 1 : 0;
}

} // namespace review
