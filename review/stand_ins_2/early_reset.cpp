// A replica answers a long upload at once with a 200 that has no length, sends
// part of its body and resets the connection while the upload is still being
// written.

#include "review/stand_ins_2/platform.h"

#include <boost/json/array.hpp>

#include <atomic>
#include <string>

namespace review {

namespace {

namespace json = boost::json;

constexpr Milliseconds kReadTimeout{ 20'000 };
/** Below `max-body-bytes`, 4,194,304. */
constexpr std::size_t kUploadBytes = 4'190'000;
constexpr int kUploads = 100;
/** Longer than the gateway keeps a connection that its replica closes after a
 * second, so that each upload has a connection with small buffers. */
constexpr Milliseconds kUploadInterval{ 300 };
/** Idle time of connections, as the replicas state it. */
constexpr Milliseconds kIdleTime{ 1'000 };
/** One of so many answers of a replica is spoiled: 0.05 of them. */
constexpr int kAnswersPerSpoiled = 20;
/** Time in which the part reaches the gateway before the reset. */
constexpr Milliseconds kBeforeReset{ 50 };
constexpr std::string_view kPart = "first part of an answer, ";
constexpr std::string_view kRest = "and the rest of it";

/** An application replica. */
class Replica
{
public:
  Replica(Record& aRecord, std::string aId, bool aIsFaulty)
    : record_(aRecord)
    , id_(std::move(aId))
    , isFaulty_(aIsFaulty)
    , server_([this](Socket& aConnection) { Serve(aConnection); })
  {
  }

  const std::string& Id() const { return id_; }
  std::string Address() const { return server_.Address(); }
  int Spoiled() const { return spoiled_; }

private:
  void Serve(Socket& aConnection)
  {
    while (auto request = aConnection.ReadHead(kIdleTime)) {
      if (const auto report = ReportFor(*request)) {
        aConnection.Send(*report);
        continue;
      }
      const std::string attempt = request->Field("attempt-id");
      const std::string fields =
        FieldsOfRun(attempt) + "Keep-Alive: timeout=1\r\n";
      const bool isSpoiled =
        isFaulty_ && HasTrouble() && ++answers_ % kAnswersPerSpoiled == 0;
      record_.Write("run " + attempt + " at " + id_ +
                    (isSpoiled ? ", answered without a length, part of it, "
                                 "then reset"
                               : ", answered whole"));
      if (isSpoiled) {
        ++spoiled_;
        aConnection.Send("HTTP/1.1 200 OK\r\n" + fields + "\r\n" +
                         std::string(kPart));
        std::this_thread::sleep_for(kBeforeReset);
        aConnection.Reset();
        return;
      }
      aConnection.ReadBody(*request, kReadTimeout);
      if (!request->isComplete ||
          !aConnection.Send(ResponseOf(
            "200 OK", fields, std::string(kPart) + std::string(kRest)))) {
        return;
      }
    }
  }

  Record& record_;
  std::string id_;
  bool isFaulty_;
  std::atomic<int> answers_ = 0;
  std::atomic<int> spoiled_ = 0;
  Server server_;
};

json::object Configuration()
{
  json::object configuration;
  configuration["routes"] =
    json::array{ json::object{ { "name", "upload" },
                               { "host", "app.example" },
                               { "prefix", "/upload/" },
                               { "kind", "non_idempotent" },
                               { "timeout-ms", 10'000 },
                               { "target-latency-ms", 1'000 },
                               { "priority", 0 },
                               { "service", "app" },
                               { "max-attempts", 1 },
                               { "public", false } } };
  configuration["services"] =
    json::array{ json::object{ { "name", "app" },
                               { "health-path", "/healthz" },
                               { "max-conns", 100 },
                               { "protocol", "h1" },
                               { "tls", false } } };
  AddCommon(configuration);
  return configuration;
}

/** Uploads; returns the number of incomplete answers that looked complete. */
int Upload(Record& aRecord, int aPort, int& aServed)
{
  const std::string body(kUploadBytes, 'u');
  int broken = 0;
  for (int upload = 0; upload < kUploads; ++upload) {
    std::this_thread::sleep_for(kUploadInterval);
    auto connection = Socket::Connect(aPort);
    const std::string attempt = "5eed00000000" + std::to_string(1'000 + upload);
    aRecord.Write("sent " + attempt);
    const std::string head =
      RequestHeadOf("/upload/x", attempt, Milliseconds(9'000), "", body.size());
    if (!connection || !connection->Send(head) || !connection->Send(body)) {
      aRecord.Write("not sent " + attempt);
      continue;
    }
    const auto answer = connection->Read(kReadTimeout);
    if (!answer) {
      aRecord.Write("no answer " + attempt);
      continue;
    }
    const bool looksComplete = answer->Status() == 200 && answer->isComplete;
    const bool isWhole =
      answer->body == std::string(kPart) + std::string(kRest);
    aRecord.Write(
      "answered " + attempt + " " + std::to_string(answer->Status()) +
      (answer->isComplete ? " complete, " : " incomplete, ") +
      std::to_string(answer->body.size()) + " bytes" +
      (looksComplete && !isWhole ? ": MIXED, this is only a part" : ""));
    aServed += looksComplete && isWhole ? 1 : 0;
    broken += looksComplete && !isWhole ? 1 : 0;
  }
  return broken;
}

int Run(const std::string& aFolder)
{
  Record record(aFolder);
  Replica faulty(record, "i-00000001", true);
  Replica sound(record, "i-00000002", false);
  Platform platform(record);
  platform.Put("op/config", Configuration());
  for (const Replica* const replica : { &faulty, &sound }) {
    platform.Register(replica->Id(), "app", replica->Address(), 6);
  }
  if (!platform.Start()) {
    return kNotRun;
  }
  int served = 0;
  const int broken = Upload(record, platform.ClientPort(), served);
  record.Write(std::to_string(served) + " of " + std::to_string(kUploads) +
               " uploads served whole, " + std::to_string(faulty.Spoiled()) +
               " answers reset, " + std::to_string(broken) +
               " of them passed on as complete");
  const bool hasRun =
    served > kUploads / 2 && (!HasTrouble() || faulty.Spoiled() > 0);
  return broken > 0 ? kBroken : hasRun ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int main(int aCount, char** aArguments)
{
  return review::Run(review::FolderOf(aCount, aArguments));
}
