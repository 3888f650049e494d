// A client that keeps its connection asks with HEAD after its key was taken
// away, and then for a public route.

#include "review/stand_ins_2/platform.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <sstream>
#include <string>

namespace review {

namespace {

namespace json = boost::json;

constexpr unsigned kGateways = 2;
constexpr int kPairs = 20; ///< Of requests, to each gateway.
constexpr Milliseconds kReadTimeout{ 5'000 };
/** `config-apply-ms`, and a second. */
constexpr Milliseconds kApplyTime{ 3'000 };

class Replica
{
public:
  explicit Replica(Record& aRecord)
    : record_(aRecord)
    , server_([this](Socket& aConnection) { Serve(aConnection); })
  {
  }

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
      record_.Write("run " + request->Method() + " " + attempt);
      std::string answer = ResponseOf("200 OK", FieldsOfRun(attempt), "done");
      if (request->Method() == "HEAD") {
        answer.resize(answer.find("\r\n\r\n") + 4);
      }
      if (!aConnection.Send(answer)) {
        return;
      }
    }
  }

  Record& record_;
  Server server_;
};

json::object Route(const std::string& aName, bool aIsPublic)
{
  return { { "name", aName },
           { "host", "app.example" },
           { "prefix", "/" + aName + "/" },
           { "kind", "idempotent" },
           { "timeout-ms", 3'000 },
           { "target-latency-ms", 300 },
           { "priority", 0 },
           { "service", "app" },
           { "max-attempts", 2 },
           { "public", aIsPublic } };
}

json::object Configuration(int aVersion, bool aHasKey)
{
  json::object configuration;
  configuration["routes"] =
    json::array{ Route("roster", false), Route("venues", true) };
  configuration["services"] =
    json::array{ json::object{ { "name", "app" },
                               { "health-path", "/healthz" },
                               { "max-conns", 100 },
                               { "protocol", "h1" },
                               { "tls", false } } };
  AddCommon(configuration);
  configuration["version"] = aVersion;
  if (!aHasKey) {
    configuration["tenants"].as_array().front().as_object()["api-keys"] =
      json::array{ "another0key0of0tenant" };
  }
  return configuration;
}

std::string Ask(std::string_view aMethod,
                std::string_view aTarget,
                std::string_view aAttempt)
{
  std::ostringstream request;
  request << aMethod << " " << aTarget << " HTTP/1.1\r\nHost: app.example\r\n"
          << "Attempt-Id: " << aAttempt
          << "\r\nDeadline-Ms: 3000\r\nCredential: " << kKey << "\r\n\r\n";
  return request.str();
}

struct Counts
{
  int refused = 0; ///< Answers to HEAD that are refusals.
  int broken = 0;  ///< Next answers whose begin is none.
  int served = 0;  ///< Next answers that are whole.
};

/** HEAD, which has no body in its answer, and GET on the same connection. */
void SendPair(Record& aRecord,
              int aPort,
              unsigned aHost,
              int aNumber,
              Counts& aCounts)
{
  const std::string name =
    std::to_string(aHost) + std::to_string(1'000 + aNumber);
  auto connection = Socket::Connect(aPort, aHost);
  if (!connection ||
      !connection->Send(Ask("HEAD", "/roster/x", "4ead" + name))) {
    aRecord.Write("not sent 4ead" + name);
    return;
  }
  const auto head = connection->ReadHead(kReadTimeout);
  aRecord.Write("answered HEAD 4ead" + name + " " +
                (head ? std::to_string(head->Status()) : "nothing"));
  aCounts.refused += head && head->Status() == 401 ? 1 : 0;
  if (!head || head->Field("connection") == "close" ||
      !connection->Send(Ask("GET", "/venues/x", "9e70" + name))) {
    return;
  }
  auto next = connection->ReadHead(kReadTimeout);
  if (!next) {
    aRecord.Write("no answer to 9e70" + name);
    return;
  }
  const bool isAnswer = next->startLine.starts_with("HTTP/1.1 ");
  if (isAnswer) {
    connection->ReadBody(*next, kReadTimeout);
  }
  std::string begin = next->startLine;
  std::ranges::replace(begin, '\n', '|');
  const bool isServed =
    isAnswer && next->Status() == 200 && next->body == "done";
  aRecord.Write("answered GET 9e70" + name + " with '" + begin + "'" +
                (isAnswer ? "" : ": MIXED, this is no answer"));
  aCounts.broken += isAnswer ? 0 : 1;
  aCounts.served += isServed ? 1 : 0;
}

int Run(const std::string& aFolder)
{
  Record record(aFolder);
  Replica replica(record);
  Platform platform(record, kGateways);
  platform.Put("op/config", Configuration(7, true));
  platform.Register("i-00000001", "app", replica.Address(), 6);
  if (!platform.Start()) {
    return kNotRun;
  }
  if (HasTrouble()) {
    platform.Put("op/config", Configuration(8, false));
    record.Write("key taken away by version 8");
  }
  std::this_thread::sleep_for(kApplyTime);
  Counts counts;
  for (int number = 0; number < kPairs; ++number) {
    for (unsigned host = 1; host <= kGateways; ++host) {
      SendPair(record, platform.ClientPort(), host, number, counts);
    }
  }
  record.Write(std::to_string(counts.refused) + " answers to HEAD refused, " +
               std::to_string(counts.served) + " next answers whole, " +
               std::to_string(counts.broken) + " that are none");
  if (counts.broken > 0) {
    return kBroken;
  }
  const bool hasRun = HasTrouble() ? counts.refused > 0 : counts.served > 0;
  return hasRun ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int main(int aCount, char** aArguments)
{
  return review::Run(review::FolderOf(aCount, aArguments));
}
