#include "review/stand_ins/plain_replica.h"
#include "review/stand_ins/rotation.h"

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
constexpr int kStreamClients = 12;
constexpr int kHoldClients = 6;
constexpr int kRounds = 2;
/** Longer than `contact-ms`, so that all machines are in touch again. */
constexpr Milliseconds kCalmTime{ 4'000 };
constexpr int kExtraRepeats = 58;

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

void PutConfiguration(World& aWorld)
{
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", 1 },
      { "routes",
        json::array{
          MakeRoute("/digest/", "streaming", "redaction", kStreamDeadline),
          MakeRoute(
            "/hold/", "non_idempotent", "reservations", kHoldDeadline) } },
      { "services",
        json::array{
          json::object{ { "name", "redaction" }, { "max-conns", 370 } },
          json::object{ { "name", "reservations" }, { "max-conns", 370 } } } },
      { "limits", MakeLimits() },
      { "tenants", json::array{ MakeTenant("tenant-one", "key-one") } } }));
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
      const Outcome outcome =
        client.Send(host,
                    world_.ThePorts().clients,
                    MakeRequest(aPath, attempt, "key-one", aDeadline),
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
