// A version of the configuration takes the last tenant away.

#include "review/stand_ins_2/platform.h"

#include <boost/json/array.hpp>

#include <atomic>
#include <map>
#include <set>
#include <string>

namespace review {

namespace {

namespace json = boost::json;

constexpr unsigned kGateways = 2;
constexpr Milliseconds kReadTimeout{ 5'000 };
constexpr Milliseconds kInterval{ 100 };
/** `config-apply-ms`, and a second. */
constexpr long kApplyTime = 3'000;
constexpr long kWatchTime = 10'000;
/** A key that no configuration holds. */
constexpr std::string_view kUnknownKey = "unknown0key0000000x0";

/** Keeps the attempts that it has run. */
class Replica
{
public:
  explicit Replica(Record& aRecord)
    : record_(aRecord)
    , server_([this](Socket& aConnection) { Serve(aConnection); })
  {
  }

  std::string Address() const { return server_.Address(); }
  bool HasRun(const std::string& aAttempt)
  {
    const std::lock_guard lock(mutex_);
    return run_.contains(aAttempt);
  }

private:
  void Serve(Socket& aConnection)
  {
    while (const auto request = aConnection.ReadRequest(kReadTimeout)) {
      if (const auto report = ReportFor(*request)) {
        aConnection.Send(*report);
        continue;
      }
      const std::string attempt = request->Field("attempt-id");
      const std::string tenant = request->Field("tenant");
      record_.Write("run " + attempt +
                    (tenant.empty() ? " without a tenant" : " of " + tenant));
      {
        const std::lock_guard lock(mutex_);
        run_.insert(attempt);
      }
      if (!aConnection.Send(
            ResponseOf("200 OK", FieldsOfRun(attempt), "done"))) {
        return;
      }
    }
  }

  Record& record_;
  std::mutex mutex_;
  std::set<std::string> run_;
  Server server_;
};

json::object Configuration(int aVersion, bool aHasTenant)
{
  json::object configuration;
  configuration["routes"] =
    json::array{ json::object{ { "name", "seat-book" },
                               { "host", "app.example" },
                               { "prefix", "/seat/" },
                               { "kind", "non_idempotent" },
                               { "timeout-ms", 3'000 },
                               { "target-latency-ms", 300 },
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
  configuration["version"] = aVersion;
  if (!aHasTenant) {
    configuration["tenants"] = json::array{};
  }
  return configuration;
}

/** Sends a request with a key; its status, zero without an answer. */
int Send(Record& aRecord,
         int aPort,
         unsigned aHost,
         const std::string& aAttempt,
         std::string_view aKey)
{
  auto connection = Socket::Connect(aPort, aHost);
  std::string request =
    RequestOf("/seat/x", aAttempt, Milliseconds(3'000), "", "{}");
  request.replace(request.find(kKey), kKey.size(), aKey);
  const auto answer = connection && connection->Send(request)
                        ? connection->Read(kReadTimeout)
                        : std::nullopt;
  const int status = answer ? answer->Status() : 0;
  aRecord.Write("answered " + aAttempt + " " + std::to_string(status));
  return status;
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
  const int port = platform.ClientPort();
  const bool isServed = Send(record, port, 1, "be00001", kKey) == 200;
  if (HasTrouble()) {
    platform.Put("op/config", Configuration(8, false));
    record.Write("last tenant taken away by version 8");
  }
  const long changedAt = record.Elapsed();
  int unknownRun = 0;
  int formerRun = 0;
  int refused = 0;
  for (int number = 0; record.Elapsed() < changedAt + kWatchTime; ++number) {
    const unsigned host = 1U + static_cast<unsigned>(number) % kGateways;
    const std::string name = std::to_string(10'000 + number);
    const bool isLate = record.Elapsed() - changedAt > kApplyTime;
    const int status = Send(record, port, host, "0bad" + name, kUnknownKey);
    refused += status == 401 ? 1 : 0;
    unknownRun += replica.HasRun("0bad" + name) ? 1 : 0;
    Send(record, port, host, "f0e0" + name, kKey);
    formerRun +=
      isLate && HasTrouble() && replica.HasRun("f0e0" + name) ? 1 : 0;
    std::this_thread::sleep_for(kInterval);
  }
  record.Write(std::to_string(refused) + " with an unknown key refused, " +
               std::to_string(unknownRun) + " run; " +
               std::to_string(formerRun) + " run with the key taken away");
  if (unknownRun > 0) {
    return kBroken;
  }
  return isServed && refused > 0 ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int main(int aCount, char** aArguments)
{
  return review::Run(review::FolderOf(aCount, aArguments));
}
