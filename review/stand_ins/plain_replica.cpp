#include "review/stand_ins/plain_replica.h"

#include <boost/json/array.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr int kStreamEvents = 24;
constexpr Milliseconds kEventInterval{ 60 };
constexpr Milliseconds kHoldTime{ 60 };
constexpr unsigned kSlots = 64;

} // namespace

PlainReplica::PlainReplica(World& aWorld,
                           int aMachine,
                           const std::string& aId,
                           const std::string& aService,
                           bool aStreams)
  : world_(aWorld)
  , id_(aId)
  , streams_(aStreams)
  , random_(static_cast<std::uint_fast32_t>(aMachine))
  , server_(aWorld.Host(aMachine),
            aWorld.ThePorts().replicas,
            [this](Connection& aConnection) { Serve(aConnection); })
  , registration_(aWorld.TheStore(),
                  aId,
                  aService,
                  aWorld.Host(aMachine) + ":" +
                    std::to_string(aWorld.ThePorts().replicas),
                  kSlots)
{
}

void PlainReplica::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.Read(request, Clock::now() + Milliseconds(5'000)) ==
         ReadEnd::Complete) {
    const std::string attempt = request.Get("Attempt-Id");
    Headers headers{ { "Attempt-Id", attempt }, { "Replica-Load", "1,0,64" } };
    if (attempt.empty()) {
      if (!aConnection.Write(Format("HTTP/1.1 200 OK", headers, "{}"))) {
        return;
      }
      continue;
    }
    if (request.Get("Expect-Replica") != id_) {
      headers["Not-Executed"] = "1";
      if (!aConnection.Write(Format("HTTP/1.1 421 Misdirected", headers, ""))) {
        return;
      }
      continue;
    }
    headers["Replica-Seal"] = id_ + "." + attempt;
    headers["Keep-Alive"] = "timeout=5";
    const bool isHead = request.startLine.starts_with("HEAD ");
    world_.TheRuns().OnBegin(attempt, { id_, world_.Log().Now() });
    const bool isWritten = streams_ ? Stream(aConnection, headers)
                                    : RunHold(aConnection, headers, isHead);
    world_.TheRuns().OnEnd(attempt, world_.Log().Now(), isWritten);
    if (!isWritten) {
      return;
    }
  }
}

bool PlainReplica::Stream(Connection& aConnection, const Headers& aHeaders)
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

bool PlainReplica::RunHold(Connection& aConnection,
                           const Headers& aHeaders,
                           bool aIsHead)
{
  std::this_thread::sleep_for(kHoldTime);
  bool isFailing = false;
  {
    const std::lock_guard lock(mutex_);
    isFailing = std::bernoulli_distribution(failingShare_)(random_);
  }
  // It has run the request, and does not say otherwise.
  const std::string_view body = isFailing ? "failed" : "held";
  std::string answer =
    Format(isFailing ? "HTTP/1.1 503 Service Unavailable" : "HTTP/1.1 200 OK",
           aHeaders,
           body);
  if (aIsHead) {
    answer.resize(answer.size() - body.size());
  }
  return aConnection.Write(answer);
}

json::object MakeRoute(const std::string& aPrefix,
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

json::object MakeLimits()
{
  return { { "max-header-bytes", 16'384 },
           { "max-body-bytes", 1'000'000 },
           { "header-timeout-ms", 2'000 },
           { "idle-timeout-ms", 10'000 } };
}

json::object MakeTenant(const std::string& aName, const std::string& aKey)
{
  return { { "name", aName },
           { "api-keys", json::array{ json::value(aKey) } },
           { "priority", 1 } };
}

std::string MakeRequest(const std::string& aPath,
                        const std::string& aAttempt,
                        const std::string& aKey,
                        Milliseconds aDeadline)
{
  return Format("POST " + aPath + " HTTP/1.1",
                { { "Host", "desk.example" },
                  { "Attempt-Id", aAttempt },
                  { "Credential", aKey },
                  { "Deadline-Ms", std::to_string(aDeadline.count()) } },
                "{}");
}

} // namespace review
