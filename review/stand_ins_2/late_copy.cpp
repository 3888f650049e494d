// A stage server sends a second copy of an answer, late: where the answer to
// the next call on that connection is due.

#include "review/stand_ins_2/platform.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <atomic>
#include <semaphore>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace review {

namespace {

namespace json = boost::json;

constexpr Milliseconds kReadTimeout{ 30'000 };
constexpr Milliseconds kCallTime{ 150 };
constexpr Milliseconds kPieceTime{ 16 };
/** Calls that a stage server runs, and those that may wait. */
constexpr int kCalls = 3;
constexpr int kBatch = 8;
/** One of so many answers of a faulty server is sent again: 0.05 of them. */
constexpr int kAnswersPerCopy = 20;
constexpr int kStageServers = 3;
constexpr int kModelReplicas = 2;
constexpr int kClients = 16;
constexpr Milliseconds kLoadTime{ 60'000 };
constexpr int kEvents = 12;
constexpr Milliseconds kEventTime{ 80 };
/** Pieces of the only stage of the route. */
constexpr int kPieces = 2;

/** The results that the stage servers hold, and whose they are. */
class Results
{
public:
  struct Owner
  {
    std::string attempt;
    std::int64_t piece = 0;
  };

  std::string Add(const std::string& aAddress, Owner aOwner)
  {
    const std::lock_guard lock(mutex_);
    std::string handle = aAddress + "/" + std::to_string(++last_);
    held_[handle] = std::move(aOwner);
    return handle;
  }
  void Free(const std::string& aHandle)
  {
    const std::lock_guard lock(mutex_);
    held_.erase(aHandle);
  }
  std::optional<Owner> Find(const std::string& aHandle)
  {
    const std::lock_guard lock(mutex_);
    const auto found = held_.find(aHandle);
    return found == held_.end() ? std::nullopt : std::optional(found->second);
  }

private:
  std::mutex mutex_;
  int last_ = 1'000;
  std::map<std::string, Owner> held_;
};

class StageServer
{
public:
  StageServer(Record& aRecord,
              Results& aResults,
              std::string aId,
              bool aIsFaulty)
    : record_(aRecord)
    , results_(aResults)
    , id_(std::move(aId))
    , isFaulty_(aIsFaulty)
    , server_([this](Socket& aConnection) { Serve(aConnection); })
  {
  }

  const std::string& Id() const { return id_; }
  std::string Address() const { return server_.Address(); }
  int Copies() const { return copies_; }

private:
  void Serve(Socket& aConnection)
  {
    std::string copy;
    while (const auto call = aConnection.ReadRequest(kReadTimeout)) {
      if (const auto report = ReportFor(*call)) {
        aConnection.Send(*report);
        continue;
      }
      if (!copy.empty()) {
        ++copies_;
        record_.Write("copy of an earlier answer sent by " + id_);
        aConnection.Send(std::exchange(copy, {}));
      }
      const std::string answer = Respond(*call, copy);
      if (!aConnection.Send(answer)) {
        return;
      }
    }
  }

  /** Also fills in the copy, if one is to be sent later. */
  std::string Respond(const Message& aCall, std::string& aCopy)
  {
    const std::string expected = aCall.Field("expect-replica");
    if (!expected.empty() && expected != id_) {
      return ResponseOf("421 Misdirected Request",
                        "Not-Executed: 1\r\nReplica-Id: " + id_ + "\r\n",
                        "");
    }
    const json::object body = json::parse(aCall.body).as_object();
    if (aCall.Target() == "/gypsumstream/stage-free") {
      for (const json::value& handle : body.at("handles").as_array()) {
        results_.Free(std::string(handle.as_string()));
      }
      return ResponseOf("200 OK", FieldsOf(aCall), "{}");
    }
    if (++calls_ > kCalls) {
      --calls_;
      return ResponseOf(
        "503 Service Unavailable", "Not-Executed: 1\r\n" + FieldsOf(aCall), "");
    }
    turn_.acquire();
    const json::array& items = body.at("items").as_array();
    std::this_thread::sleep_for(kCallTime +
                                kPieceTime * static_cast<int>(items.size()));
    json::array answers;
    for (const json::value& item : items) {
      Results::Owner owner{ std::string(item.at("id").as_string()),
                            item.at("piece").to_number<std::int64_t>() };
      record_.Write("run piece " + std::to_string(owner.piece) + " of " +
                    owner.attempt + " at " + id_);
      answers.push_back(
        json::object{ { "handle", results_.Add(Address(), owner) } });
    }
    turn_.release();
    --calls_;
    std::string answer =
      ResponseOf("200 OK",
                 FieldsOf(aCall),
                 json::serialize(json::object{ { "items", answers } }));
    const bool isCopied =
      isFaulty_ && HasTrouble() && ++answers_ % kAnswersPerCopy == 0;
    if (isCopied) {
      aCopy = answer;
    }
    return answer;
  }

  /** The echo of the id is what tells a late answer from the one that is due.
   */
  std::string FieldsOf(const Message& aCall) const
  {
    std::string fields = "Content-Type: application/json\r\nKeep-Alive: "
                         "timeout=5\r\nReplica-Load: " +
                         std::to_string(calls_) + ",0,1\r\n";
    const std::string attempt = aCall.Field("attempt-id");
    if (!attempt.empty()) {
      fields += "Attempt-Id: " + attempt + "\r\n";
    }
    return fields;
  }

  Record& record_;
  Results& results_;
  std::string id_;
  bool isFaulty_;
  std::binary_semaphore turn_{ 1 };
  std::atomic<int> calls_ = 0;
  std::atomic<int> answers_ = 0;
  std::atomic<int> copies_ = 0;
  Server server_;
};

class ModelReplica
{
public:
  ModelReplica(Record& aRecord, Results& aResults, std::string aId)
    : record_(aRecord)
    , results_(aResults)
    , id_(std::move(aId))
    , server_([this](Socket& aConnection) { Serve(aConnection); })
  {
  }

  const std::string& Id() const { return id_; }
  std::string Address() const { return server_.Address(); }
  int ForeignRuns() const { return foreignRuns_; }

private:
  void Serve(Socket& aConnection)
  {
    while (const auto request = aConnection.ReadRequest(kReadTimeout)) {
      if (const auto report = ReportFor(*request)) {
        aConnection.Send(*report);
        continue;
      }
      const std::string attempt = request->Field("attempt-id");
      const std::string fields = "Attempt-Id: " + attempt + "\r\n";
      const std::string expected = request->Field("expect-replica");
      const bool isMisdirected = !expected.empty() && expected != id_;
      if (isMisdirected || !HasInputs(*request)) {
        aConnection.Send(
          ResponseOf(isMisdirected ? "421 Misdirected Request" : "409 Conflict",
                     "Not-Executed: 1\r\n" + fields,
                     ""));
        continue;
      }
      if (!Stream(aConnection, *request, fields)) {
        return;
      }
    }
  }

  static std::vector<std::string> InputsOf(const Message& aRequest)
  {
    std::vector<std::string> inputs;
    std::string text = aRequest.Field("inputs");
    while (!text.empty()) {
      const auto comma = text.find(',');
      inputs.push_back(text.substr(0, comma));
      text = comma == std::string::npos ? "" : text.substr(comma + 1);
    }
    return inputs;
  }

  /** Whether all results are there still. */
  bool HasInputs(const Message& aRequest)
  {
    const std::vector<std::string> inputs = InputsOf(aRequest);
    return !inputs.empty() &&
           std::ranges::all_of(inputs, [this](const std::string& aHandle) {
             return results_.Find(aHandle).has_value();
           });
  }

  /** Notes whether the inputs are all of this request, each once. */
  void Check(const Message& aRequest)
  {
    const std::string attempt = aRequest.Field("attempt-id");
    std::set<std::int64_t> pieces;
    std::string others;
    for (const std::string& handle : InputsOf(aRequest)) {
      const auto owner = results_.Find(handle);
      if (owner && owner->attempt == attempt) {
        pieces.insert(owner->piece);
      } else {
        others += " piece " + (owner ? std::to_string(owner->piece) : "?") +
                  " of " + (owner ? owner->attempt : "?");
      }
    }
    const bool isWhole =
      others.empty() && pieces.size() == static_cast<std::size_t>(kPieces);
    foreignRuns_ += isWhole ? 0 : 1;
    record_.Write(
      "run " + attempt + " at " + id_ +
      (isWhole ? " with its own inputs" : ": MIXED, its inputs hold" + others));
  }

  bool Stream(Socket& aConnection,
              const Message& aRequest,
              const std::string& aFields)
  {
    Check(aRequest);
    bool isOpen = aConnection.Send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\nReplica-Seal: "
      "seal." +
      aRequest.Field("attempt-id") + "\r\n" + aFields + "\r\n");
    for (int event = 1; isOpen && event <= kEvents; ++event) {
      std::this_thread::sleep_for(kEventTime);
      const std::string text =
        "id: " + std::to_string(event) + "\ndata: tokens\n\n";
      std::array<char, 16> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
      isOpen = !aConnection.HasEnded() &&
               aConnection.Send(size.data() + text + "\r\n");
    }
    return isOpen && aConnection.Send("0\r\n\r\n");
  }

  Record& record_;
  Results& results_;
  std::string id_;
  std::atomic<int> foreignRuns_ = 0;
  Server server_;
};

json::object Configuration()
{
  json::object configuration;
  json::object route{ { "name", "digest" },     { "host", "app.example" },
                      { "prefix", "/digest/" }, { "kind", "streaming" },
                      { "timeout-ms", 8'000 },  { "target-latency-ms", 1'600 },
                      { "priority", 0 },        { "service", "model" },
                      { "max-attempts", 2 },    { "public", false },
                      { "sticky", true },       { "resumable", true },
                      { "gap-target-ms", 300 } };
  route["stages"] = json::array{ json::object{
    { "service", "cards" }, { "after", json::array{} }, { "bytes", 8'000 } } };
  configuration["routes"] = json::array{ route };
  json::object model{ { "name", "model" },
                      { "health-path", "/healthz" },
                      { "max-conns", 360 },
                      { "protocol", "h1" },
                      { "tls", false } };
  model["engine"] = json::object{ { "slots", 64 },
                                  { "kv-capacity-tokens", 621'842 },
                                  { "moves", true },
                                  { "backups", true },
                                  { "handle-s", 5.0 } };
  json::object cards{ { "name", "cards" },
                      { "health-path", "/healthz" },
                      { "max-conns", 360 },
                      { "protocol", "h1" },
                      { "tls", false } };
  cards["pieces"] = json::object{ { "slots", 1 },
                                  { "queue", kCalls - 1 },
                                  { "batch", kBatch },
                                  { "call-ms", kCallTime.count() },
                                  { "item-ms", kPieceTime.count() },
                                  { "headroom-mb", 49.0 },
                                  { "handle-s", 4.0 },
                                  { "link-mbps", 10'000 } };
  configuration["services"] = json::array{ model, cards };
  AddCommon(configuration);
  return configuration;
}

/** Sends staged requests until the end; counts those that are served. */
void Load(Record& aRecord, int aPort, int aClient, std::atomic<int>& aServed)
{
  for (int number = 0; aRecord.Elapsed() < kLoadTime.count(); ++number) {
    std::array<char, 32> attempt{};
    std::snprintf(
      attempt.data(), attempt.size(), "c0ffee%02d%08d", aClient, number);
    const std::string id = attempt.data();
    auto connection = Socket::Connect(aPort);
    aRecord.Write("sent " + id);
    std::ostringstream fields;
    fields << "Model: m\r\nToken-Counts: 400,60\r\nPrompt-Prefix: "
           << "5c1e07a2:300," << id << ":100\r\nPieces: " << kPieces
           << "\r\nPiece-Key: k" << id << "\r\n";
    const bool isSent =
      connection &&
      connection->Send(
        RequestOf("/digest/x", id, Milliseconds(8'000), fields.str(), "{}"));
    const auto answer = isSent ? connection->Read(kReadTimeout) : std::nullopt;
    aRecord.Write("answered " + id + " " +
                  (answer ? std::to_string(answer->Status()) +
                              (answer->isComplete ? " complete" : " incomplete")
                          : "nothing"));
    aServed += answer && answer->Status() == 200 && answer->isComplete ? 1 : 0;
  }
}

int Run(const std::string& aFolder)
{
  Record record(aFolder);
  Results results;
  std::list<StageServer> stageServers;
  for (int number = 0; number < kStageServers; ++number) {
    stageServers.emplace_back(
      record, results, "i-cards-" + std::to_string(number), number == 0);
  }
  std::list<ModelReplica> models;
  for (int number = 0; number < kModelReplicas; ++number) {
    models.emplace_back(record, results, "i-model-" + std::to_string(number));
  }
  Platform platform(record);
  platform.Put("op/config", Configuration());
  for (const StageServer& server : stageServers) {
    platform.Register(server.Id(), "cards", server.Address(), 1);
  }
  for (const ModelReplica& replica : models) {
    platform.Register(replica.Id(), "model", replica.Address(), 64);
  }
  if (!platform.Start()) {
    return kNotRun;
  }
  std::atomic<int> served = 0;
  std::list<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back(
      [&, client] { Load(record, platform.ClientPort(), client, served); });
  }
  std::ranges::for_each(clients, &std::thread::join);
  int broken = 0;
  for (const ModelReplica& replica : models) {
    broken += replica.ForeignRuns();
  }
  const int copies = stageServers.front().Copies();
  record.Write(std::to_string(served) + " requests served, " +
               std::to_string(copies) + " copies sent, " +
               std::to_string(broken) +
               " requests run with inputs that are not theirs");
  const bool hasRun = served > 50 && (!HasTrouble() || copies > 0);
  return broken > 0 ? kBroken : hasRun ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int main(int aCount, char** aArguments)
{
  return review::Run(review::FolderOf(aCount, aArguments));
}
