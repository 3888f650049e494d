// A crowd of clients sends bodies of legal size, each stopping just short of
// its end and staying open.

#include "review/stand_ins_2/platform.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <atomic>
#include <list>
#include <string>

namespace review {

namespace {

namespace json = boost::json;

constexpr Milliseconds kReadTimeout{ 5'000 };
/** `max-body-bytes` of the configuration. */
constexpr std::size_t kBodyBytes = 4'194'304;
/** Connections to each gateway, of its `max-fds`, 4,100. */
constexpr int kCrowd = 120;
/** `memory-mb` of a `front` machine: the platform kills a process beyond it. */
constexpr long kMemoryMegabytes = 260;
constexpr Milliseconds kCheckInterval{ 20 };
constexpr Milliseconds kCaseTime{ 30'000 };
constexpr Milliseconds kOrdinaryInterval{ 100 };
/** Until a client of the crowd comes back, and until the platform starts a
 * process that has ended again. */
constexpr Milliseconds kReturnTime{ 1'000 };
constexpr Milliseconds kRestartTime{ 500 };
/** The rule: on two machines at least, three times in the day. */
constexpr unsigned kGateways = 2;
constexpr int kEnds = 3;

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
      record_.Write("run " + attempt);
      if (!aConnection.Send(
            ResponseOf("200 OK", FieldsOfRun(attempt), "done"))) {
        return;
      }
    }
  }

  Record& record_;
  Server server_;
};

json::object Configuration()
{
  json::object configuration;
  configuration["routes"] =
    json::array{ json::object{ { "name", "hold" },
                               { "host", "app.example" },
                               { "prefix", "/hold/" },
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
                               { "max-conns", 110 },
                               { "protocol", "h1" },
                               { "tls", false } } };
  AddCommon(configuration);
  return configuration;
}

std::string HeadOf(const std::string& aAttempt, std::size_t aBodyBytes)
{
  return RequestHeadOf(
    "/hold/x", aAttempt, Milliseconds(3'000), "", aBodyBytes);
}

/** One client of the crowd: comes back when its connection has ended. */
void StayShortOfTheEnd(Record& aRecord, int aPort, unsigned aHost, int aClient)
{
  const std::string body(kBodyBytes - 1, 'b');
  for (int visit = 0; !IsOver(); ++visit) {
    const std::string attempt =
      "c40d" + std::to_string(100'000 + aClient) + std::to_string(100 + visit);
    auto connection = Socket::Connect(aPort, aHost);
    const bool isSent = connection &&
                        connection->Send(HeadOf(attempt, kBodyBytes)) &&
                        connection->Send(body);
    if (isSent) {
      aRecord.Write("sent all but one byte of " + attempt);
    }
    while (isSent && !IsOver() && !connection->HasEnded()) {
      std::this_thread::sleep_for(kOrdinaryInterval);
    }
    std::this_thread::sleep_for(kReturnTime);
  }
}

/** An ordinary request on a connection of its own; whether it is served. */
bool SendOrdinary(Record& aRecord, int aPort, unsigned aHost, int aNumber)
{
  const std::string attempt = "0d1a" + std::to_string(100'000 + aNumber);
  aRecord.Write("sent " + attempt);
  auto connection = Socket::Connect(aPort, aHost);
  if (!connection || !connection->Send(HeadOf(attempt, 2) + "{}")) {
    aRecord.Write("not connected " + attempt);
    return false;
  }
  const auto answer = connection->Read(kReadTimeout);
  aRecord.Write("answered " + attempt + " " +
                (answer ? std::to_string(answer->Status()) : "nothing"));
  return answer && answer->Status() == 200;
}

/** The machine of one gateway: how often its process has ended by itself. */
class Machine
{
public:
  Machine(Record& aRecord, Platform& aPlatform, unsigned aHost)
    : record_(aRecord)
    , platform_(aPlatform)
    , host_(aHost)
  {
  }

  int Ends() const { return ends_; }
  long MostMegabytes() const { return most_; }

  /** Ends the process if it is over its memory, and starts it again. */
  void Check()
  {
    const long resident = platform_.ResidentMegabytes(host_);
    most_ = std::max(most_, resident);
    const bool isOver = resident > kMemoryMegabytes;
    if (platform_.IsRunning(host_) && !isOver) {
      return;
    }
    ++ends_;
    record_.Write("gateway " + std::to_string(host_) +
                  (isOver ? " over its memory, " + std::to_string(resident) +
                              " MB, and killed"
                          : " has ended"));
    platform_.KillGateway(host_);
    std::this_thread::sleep_for(kRestartTime);
    platform_.StartGateway(host_);
  }

private:
  Record& record_;
  Platform& platform_;
  unsigned host_;
  int ends_ = 0;
  long most_ = 0;
};

int Run(const std::string& aFolder)
{
  Record record(aFolder);
  Replica replica(record);
  Platform platform(record, kGateways);
  platform.Put("op/config", Configuration());
  platform.Register("i-00000001", "app", replica.Address(), 6);
  if (!platform.Start() || !SendOrdinary(record, platform.ClientPort(), 1, 0)) {
    return kNotRun;
  }
  const int port = platform.ClientPort();
  std::list<std::thread> crowd;
  std::list<Machine> machines;
  for (unsigned host = 1; host <= kGateways; ++host) {
    machines.emplace_back(record, platform, host);
    for (int client = 0; HasTrouble() && client < kCrowd; ++client) {
      crowd.emplace_back([&record, port, host, client] {
        StayShortOfTheEnd(record, port, host, client);
      });
    }
  }
  std::atomic<int> served = 0;
  std::atomic<int> ordinary = 0;
  std::thread callers([&] {
    while (!IsOver()) {
      std::this_thread::sleep_for(kOrdinaryInterval);
      const int number = ++ordinary;
      const unsigned host = 1U + static_cast<unsigned>(number) % kGateways;
      served += SendOrdinary(record, port, host, number) ? 1 : 0;
    }
  });
  const auto hasEndedOften = [](const Machine& aMachine) {
    return aMachine.Ends() >= kEnds;
  };
  while (record.Elapsed() < kCaseTime.count() &&
         !std::ranges::all_of(machines, hasEndedOften)) {
    std::this_thread::sleep_for(kCheckInterval);
    std::ranges::for_each(machines, &Machine::Check);
  }
  IsOver() = true;
  callers.join();
  std::ranges::for_each(crowd, &std::thread::join);
  for (const Machine& machine : machines) {
    record.Write("ended by itself " + std::to_string(machine.Ends()) +
                 " times, " + std::to_string(machine.MostMegabytes()) +
                 " MB at most of " + std::to_string(kMemoryMegabytes));
  }
  record.Write(std::to_string(served) + " of " + std::to_string(ordinary) +
               " ordinary requests served");
  if (std::ranges::all_of(machines, hasEndedOften)) {
    return kBroken;
  }
  return served > 0 ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int main(int aCount, char** aArguments)
{
  return review::Run(review::FolderOf(aCount, aArguments));
}
