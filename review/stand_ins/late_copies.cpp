#include "review/stand_ins/plain_replica.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <random>

namespace review {

namespace json = boost::json;

namespace {

// The trouble, as the site file has it: { kind = "garble", how = "extra late",
// share = 0.6, x = 0.03, for_s = 5.0 }; it comes several times.
constexpr double kFaultyShare = 0.6;
constexpr double kCopyChance = 0.03;
constexpr Milliseconds kTroubleTime{ 5'000 };
constexpr Milliseconds kPause{ 3'000 };
constexpr int kTroubles = 9;

constexpr Milliseconds kDeadline{ 8'000 };
constexpr Milliseconds kCallTime{ 150 };
constexpr Milliseconds kHandleTime{ 4'000 };
constexpr int kClients = 16;
constexpr std::size_t kQueuedCalls = 2;
constexpr int kEvents = 5;
constexpr Milliseconds kEventInterval{ 20 };
/** Pieces of the two stages of each request. */
constexpr const char* kPieces = "1,6";

/** A result of a piece, as its maker knows it. */
struct Result
{
  std::string attempt;
  std::int64_t stage = 0;
  std::int64_t piece = 0;
  Clock::time_point until;
};

/** What was found at the replicas, and the results of all stage servers. */
class Findings
{
public:
  explicit Findings(Record& aRecord)
    : record_(aRecord)
  {
  }

  std::string Make(const std::string& aAddress, Result aResult)
  {
    const std::lock_guard lock(mutex_);
    std::string handle = aAddress + "/" + std::to_string(100'000 + ++last_);
    results_[handle] = std::move(aResult);
    return handle;
  }
  /** Checks the inputs of a piece or a request; false if one is gone. */
  bool Check(const std::string& aWhat,
             const std::string& aAttempt,
             std::int64_t aStage,
             const std::vector<std::string>& aHandles)
  {
    const std::lock_guard lock(mutex_);
    bool areThere = true;
    std::vector<std::int64_t> pieces;
    std::string wrong;
    for (const std::string& handle : aHandles) {
      const auto found = results_.find(handle);
      if (found == results_.end()) {
        areThere = false;
        continue;
      }
      const Result& result = found->second;
      areThere = areThere && Clock::now() < result.until;
      if (result.attempt != aAttempt || result.stage != aStage) {
        wrong.append(" " + handle + " (stage " + std::to_string(result.stage) +
                     " of " + result.attempt + ")");
      }
      if (std::ranges::find(pieces, result.piece) != pieces.end()) {
        wrong.append(" " + handle + " (piece given twice)");
      }
      pieces.push_back(result.piece);
    }
    if (!wrong.empty()) {
      ++mixed_;
      record_.Write("MIXED " + aWhat + " of " + aAttempt +
                    " is given inputs of another request or stage:" + wrong);
    }
    return areThere;
  }
  void Free(const std::string& aHandle)
  {
    const std::lock_guard lock(mutex_);
    const auto found = results_.find(aHandle);
    if (found != results_.end()) {
      found->second.until = Clock::now();
    }
  }
  void OnCopy(const std::string& aReplica)
  {
    ++copies_;
    record_.Write(aReplica + " sends its last answer once more");
  }
  int Mixed() const { return mixed_; }
  int Copies() const { return copies_; }
  std::atomic<bool> isTroubled = false;

private:
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, Result> results_;
  std::uint64_t last_ = 0;
  std::atomic<int> mixed_ = 0;
  std::atomic<int> copies_ = 0;
};

std::string AddressOf(const World& aWorld, int aMachine, const Ports& aPorts)
{
  return aWorld.Host(aMachine) + ":" + std::to_string(aPorts.replicas);
}

/** A replica of a stage's service. */
class StageReplica
{
public:
  StageReplica(World& aWorld,
               Findings& aFindings,
               int aMachine,
               const std::string& aId,
               const std::string& aService,
               Milliseconds aPieceTime,
               bool aIsFaulty)
    : world_(aWorld)
    , findings_(aFindings)
    , id_(aId)
    , address_(AddressOf(aWorld, aMachine, aWorld.ThePorts()))
    , pieceTime_(aPieceTime)
    , isFaulty_(aIsFaulty)
    , random_(static_cast<std::uint_fast32_t>(aMachine))
    , server_(aWorld.Host(aMachine),
              aWorld.ThePorts().replicas,
              [this](Connection& aConnection) { Serve(aConnection); })
    , registration_(aWorld.TheStore(), aId, aService, address_, 1)
  {
  }

private:
  void Serve(Connection& aConnection)
  {
    Message request;
    std::string copy;
    while (aConnection.Read(request, Clock::now() + Milliseconds(5'000)) ==
           ReadEnd::Complete) {
      // The extra answer arrives where the next one is expected.
      if (!copy.empty()) {
        findings_.OnCopy(id_);
        if (!aConnection.Write(std::exchange(copy, ""))) {
          return;
        }
      }
      const std::string target = request.Target();
      std::string answer;
      if (target == "/gypsumstream/stage-run") {
        answer = Answer(request);
        copy = IsGarbled() ? answer : "";
      } else if (target == "/gypsumstream/stage-free") {
        Free(request);
        answer = Format("HTTP/1.1 200 OK", OwnHeaders(), "{}");
      } else {
        answer = Format("HTTP/1.1 200 OK", OwnHeaders(), "{}");
      }
      if (!aConnection.Write(answer)) {
        return;
      }
    }
  }

  bool IsGarbled()
  {
    const std::lock_guard lock(mutex_);
    return isFaulty_ && findings_.isTroubled &&
           std::bernoulli_distribution(kCopyChance)(random_);
  }

  static Headers OwnHeaders()
  {
    return { { "Content-Type", "application/json" },
             { "Keep-Alive", "timeout=5" },
             { "Replica-Load", "1,0,1" } };
  }

  std::string NotExecuted(const std::string& aStatus)
  {
    Headers headers = OwnHeaders();
    headers["Not-Executed"] = "1";
    return Format("HTTP/1.1 " + aStatus, headers, "");
  }

  std::string Answer(const Message& aRequest)
  {
    const std::string expected = aRequest.Get("Expect-Replica");
    if (!expected.empty() && expected != id_) {
      return NotExecuted("421 Misdirected");
    }
    std::unique_lock lock(mutex_);
    if (isBusy_ && waiting_ >= kQueuedCalls) {
      return NotExecuted("503 Full");
    }
    ++waiting_;
    turn_.wait(lock, [this] { return !isBusy_; });
    --waiting_;
    isBusy_ = true;
    lock.unlock();
    const json::value body = json::parse(aRequest.body);
    const json::array& items = body.at("items").as_array();
    json::array results;
    std::this_thread::sleep_for(
      kCallTime + pieceTime_ * static_cast<std::int64_t>(items.size()));
    for (const json::value& item : items) {
      results.push_back(Compute(item.as_object()));
    }
    lock.lock();
    isBusy_ = false;
    turn_.notify_one();
    return Format("HTTP/1.1 200 OK",
                  OwnHeaders(),
                  json::serialize(json::object{ { "items", results } }));
  }

  json::object Compute(const json::object& aItem)
  {
    const std::string attempt(aItem.at("id").as_string());
    const auto stage = aItem.at("stage").to_number<std::int64_t>();
    const auto piece = aItem.at("piece").to_number<std::int64_t>();
    if (const json::value* const inputs = aItem.if_contains("inputs")) {
      std::vector<std::string> handles;
      for (const json::value& handle : inputs->as_array()) {
        handles.emplace_back(handle.as_string());
      }
      if (!findings_.Check("piece " + std::to_string(piece) + " of stage " +
                             std::to_string(stage),
                           attempt,
                           stage - 1,
                           handles)) {
        return { { "reason", "gone" } };
      }
    }
    return { { "handle",
               findings_.Make(
                 address_,
                 { attempt, stage, piece, Clock::now() + kHandleTime }) } };
  }

  void Free(const Message& aRequest)
  {
    const json::value body = json::parse(aRequest.body);
    for (const json::value& handle : body.at("handles").as_array()) {
      findings_.Free(std::string(handle.as_string()));
    }
  }

  World& world_;
  Findings& findings_;
  std::string id_;
  std::string address_;
  Milliseconds pieceTime_;
  bool isFaulty_;
  std::mutex mutex_;
  std::condition_variable turn_;
  bool isBusy_ = false;
  std::size_t waiting_ = 0;
  std::mt19937 random_;
  Server server_;
  Registration registration_;
};

/** A model replica; it needs the results of the last stage. */
class ModelReplica
{
public:
  ModelReplica(World& aWorld,
               Findings& aFindings,
               int aMachine,
               const std::string& aId)
    : world_(aWorld)
    , findings_(aFindings)
    , id_(aId)
    , server_(aWorld.Host(aMachine),
              aWorld.ThePorts().replicas,
              [this](Connection& aConnection) { Serve(aConnection); })
    , registration_(aWorld.TheStore(),
                    aId,
                    "redaction",
                    AddressOf(aWorld, aMachine, aWorld.ThePorts()),
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
                       { "Replica-Load", "1,0,64" },
                       { "Keep-Alive", "timeout=5" } };
      if (attempt.empty()) {
        if (!aConnection.Write(Format("HTTP/1.1 200 OK", headers, "{}"))) {
          return;
        }
        continue;
      }
      std::string refusal;
      if (request.Get("Expect-Replica") != id_) {
        refusal = "421 Misdirected";
      } else if (request.Get("Inputs").empty()) {
        refusal = "400 Inputs missing";
      } else if (!findings_.Check("request at a model replica",
                                  attempt,
                                  1,
                                  Split(request.Get("Inputs")))) {
        refusal = "409 Inputs gone";
      }
      if (!refusal.empty()) {
        headers["Not-Executed"] = "1";
        if (!aConnection.Write(Format("HTTP/1.1 " + refusal, headers, ""))) {
          return;
        }
        continue;
      }
      headers["Replica-Seal"] = id_ + "." + attempt;
      world_.TheRuns().OnBegin(attempt, { id_, world_.Log().Now() });
      const bool isWritten = Stream(aConnection, headers);
      world_.TheRuns().OnEnd(attempt, world_.Log().Now(), isWritten);
      if (!isWritten) {
        return;
      }
    }
  }

  static std::vector<std::string> Split(const std::string& aText)
  {
    std::vector<std::string> words;
    for (std::size_t at = 0; at <= aText.size();) {
      const std::size_t end = std::min(aText.find(',', at), aText.size());
      words.push_back(aText.substr(at, end - at));
      at = end + 1;
    }
    return words;
  }

  static bool Stream(Connection& aConnection, const Headers& aHeaders)
  {
    bool isOpen = aConnection.Write(FormatStreamHead(aHeaders));
    for (int event = 1; isOpen && event <= kEvents; ++event) {
      std::this_thread::sleep_for(kEventInterval);
      isOpen = aConnection.Write(
        Chunk("id: " + std::to_string(event) + "\ndata: x\n\n"));
    }
    return isOpen && aConnection.Write(kLastChunk);
  }

  World& world_;
  Findings& findings_;
  std::string id_;
  Server server_;
  Registration registration_;
};

json::object StageService(const std::string& aName,
                          int aBatch,
                          double aPieceMs,
                          double aHeadroomMb)
{
  return { { "name", aName },
           { "max-conns", 370 },
           { "pieces",
             json::object{ { "slots", 1 },
                           { "queue", kQueuedCalls },
                           { "batch", aBatch },
                           { "call-ms", kCallTime.count() },
                           { "item-ms", aPieceMs },
                           { "headroom-mb", aHeadroomMb },
                           { "handle-s", 4 },
                           { "link-mbps", 10'000 } } } };
}

void PutConfiguration(World& aWorld)
{
  const json::array stages{ json::object{ { "service", "portfolios" },
                                          { "after", json::array{} },
                                          { "bytes", 8'000 } },
                            json::object{ { "service", "facturation" },
                                          { "after", json::array{ 0 } },
                                          { "bytes", 60'000 } } };
  const json::object route{ { "name", "digest" },
                            { "host", "desk.example" },
                            { "prefix", "/digest/" },
                            { "kind", "streaming" },
                            { "timeout-ms", kDeadline.count() },
                            { "target-latency-ms", 1'000 },
                            { "gap-target-ms", 300 },
                            { "priority", 1 },
                            { "service", "redaction" },
                            { "max-attempts", 1 },
                            { "public", false },
                            { "sticky", true },
                            { "stages", stages } };
  const json::object engine{
    { "name", "redaction" },
    { "max-conns", 370 },
    { "engine",
      json::object{ { "slots", 64 }, { "kv-capacity-tokens", 631'045 } } }
  };
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", 1 },
      { "routes", json::array{ route } },
      { "services",
        json::array{ engine,
                     StageService("portfolios", 8, 16.0, 36.0),
                     StageService("facturation", 16, 8.0, 2.7) } },
      { "limits", MakeLimits() },
      { "tenants", json::array{ MakeTenant("tenant-one", "key-one") } } }));
}

void Call(World& aWorld, unsigned aNumber, const std::atomic<bool>& aIsStopping)
{
  Client client(aWorld.Log());
  const std::string host =
    aWorld.Gateways()[aNumber % aWorld.Gateways().size()]->Host();
  std::mt19937 random(aNumber);
  while (!aIsStopping) {
    const std::string attempt = NextAttempt();
    const Outcome outcome = client.Send(
      host,
      aWorld.ThePorts().clients,
      Format("POST /digest/x HTTP/1.1",
             { { "Host", "desk.example" },
               { "Attempt-Id", attempt },
               { "Credential", "key-one" },
               { "Deadline-Ms", std::to_string(kDeadline.count()) },
               { "Model", "m" },
               { "Token-Counts", "460,25" },
               { "Prompt-Prefix", "5c1e07a2:400," + attempt + ":60" },
               { "Pieces", kPieces },
               { "Piece-Key", attempt } },
             "{}"),
      kDeadline);
    aWorld.Log().Write(
      "attempt " + attempt + " sent " + std::to_string(outcome.sentAt.count()) +
      " ms, runs " + std::to_string(aWorld.TheRuns().Of(attempt).size()) +
      (outcome.end == ReadEnd::Complete
         ? ", answered " + std::to_string(outcome.answer.Status())
         : ", not answered"));
    std::this_thread::sleep_for(
      Milliseconds(std::uniform_int_distribution<int>(20, 400)(random)));
  }
}

} // namespace

int RunLateCopies(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  Findings findings(record);
  PutConfiguration(aWorld);
  std::vector<std::unique_ptr<StageReplica>> stageReplicas;
  const auto add = [&](const std::string& aService,
                       int aMachine,
                       int aCount,
                       Milliseconds aPieceTime) {
    for (int index = 0; index < aCount; ++index) {
      stageReplicas.push_back(std::make_unique<StageReplica>(
        aWorld,
        findings,
        aMachine + index,
        "i-" + aService + std::to_string(index),
        aService,
        aPieceTime,
        index < std::lround(kFaultyShare * aCount)));
    }
  };
  add("portfolios", 10, 3, Milliseconds(16));
  add("facturation", 20, 5, Milliseconds(8));
  constexpr int kModelReplicas = 3;
  std::vector<std::unique_ptr<ModelReplica>> modelReplicas;
  modelReplicas.reserve(kModelReplicas);
  for (int index = 0; index < kModelReplicas; ++index) {
    modelReplicas.push_back(std::make_unique<ModelReplica>(
      aWorld, findings, 40 + index, "i-red" + std::to_string(index)));
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
  std::this_thread::sleep_for(kPause);
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (unsigned index = 0; index < kClients; ++index) {
    clients.emplace_back([&, index] { Call(aWorld, index, isStopping); });
  }
  for (int trouble = 0; trouble < kTroubles; ++trouble) {
    std::this_thread::sleep_for(kPause);
    findings.isTroubled = aHasTrouble;
    std::this_thread::sleep_for(kTroubleTime);
    findings.isTroubled = false;
  }
  std::this_thread::sleep_for(kPause);
  isStopping = true;
  std::ranges::for_each(clients, &std::thread::join);
  record.Write("requests run " + std::to_string(aWorld.TheRuns().Count()) +
               ", extra answers " + std::to_string(findings.Copies()) +
               ", wrong inputs seen " + std::to_string(findings.Mixed()));
  return findings.Mixed() > 0 ? 1 : 0;
}

} // namespace review
