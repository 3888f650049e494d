#include "review/stand_ins/plain_replica.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

namespace {

/** `config-apply-ms` of the site. */
constexpr Milliseconds kApplyTime{ 2'000 };
/** `contact-ms` of the site. */
constexpr Milliseconds kContactTime{ 3'000 };
constexpr Milliseconds kWatchTime{ 6'000 };
constexpr Milliseconds kDeadline{ 1'500 };
/** In which bytes after an answer are waited for. */
constexpr Milliseconds kExtraTime{ 100 };
constexpr int kReplicas = 3;

void Put(World& aWorld, int aVersion, const json::array& aTenants)
{
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", aVersion },
      { "routes",
        json::array{
          MakeRoute("/read/", "idempotent", "reservations", kDeadline) } },
      { "services",
        json::array{
          json::object{ { "name", "reservations" }, { "max-conns", 110 } } } },
      { "limits", MakeLimits() },
      { "tenants", aTenants } }));
}

std::string MakeRead(const std::string& aMethod,
                     const std::string& aAttempt,
                     const std::string& aKey)
{
  return aMethod +
         " /read/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + aAttempt +
         "\r\nCredential: " + aKey +
         "\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n\r\n";
}

struct Counts
{
  int heads = 0;
  int extra = 0;  ///< Answers to HEAD with bytes after them.
  int ruined = 0; ///< Next answers on such connections that can't be read.
};

/** One HEAD, and on the same connection one GET with a key that is there. */
void Ask(World& aWorld, const Gateway& aGateway, Counts& aCounts)
{
  Record& record = aWorld.Log();
  const auto socket =
    Connection::Open(aGateway.Host(), aWorld.ThePorts().clients);
  if (!socket) {
    return;
  }
  Connection connection(*socket);
  const std::string head = NextAttempt();
  Message answer;
  if (!connection.Write(MakeRead("HEAD", head, "key-two")) ||
      connection.ReadHead(answer, Clock::now() + kDeadline) !=
        ReadEnd::Complete) {
    record.Write("attempt " + head + " HEAD got no answer");
    return;
  }
  ++aCounts.heads;
  const std::string extra = connection.ReadExtra(Clock::now() + kExtraTime);
  aCounts.extra += extra.empty() ? 0 : 1;
  record.Write((extra.empty() ? "attempt " : "MIXED ") + head + " HEAD at " +
               aGateway.Name() + ", status " + std::to_string(answer.Status()) +
               ", Connection '" + answer.Get("Connection") +
               "', bytes after the answer " + std::to_string(extra.size()));
  if (answer.Get("Connection") == "close") {
    return;
  }
  const std::string get = NextAttempt();
  Message next;
  const bool isRead =
    connection.Write(MakeRead("GET", get, "key-one")) &&
    connection.Read(next, Clock::now() + kDeadline) == ReadEnd::Complete &&
    next.Status() != 0;
  aCounts.ruined += isRead ? 0 : 1;
  record.Write(
    "attempt " + get + " GET on that connection, runs " +
    std::to_string(aWorld.TheRuns().Of(get).size()) +
    (isRead ? ", status " + std::to_string(next.Status())
            : ", is answered with '" + next.startLine.substr(0, 60) + "'"));
}

} // namespace

int RunRefusedHeads(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  const json::object first = MakeTenant("tenant-one", "key-one");
  Put(aWorld, 3, { first, MakeTenant("tenant-two", "key-two") });
  std::vector<std::unique_ptr<PlainReplica>> replicas;
  replicas.reserve(kReplicas);
  for (int index = 0; index < kReplicas; ++index) {
    replicas.push_back(std::make_unique<PlainReplica>(
      aWorld, 10 + index, "i-" + std::to_string(index), "reservations", false));
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
  std::this_thread::sleep_for(kContactTime);
  if (aHasTrouble) {
    Put(aWorld, 5, { first });
    record.Write("version 5 is acknowledged: key-two is taken away");
  }
  std::this_thread::sleep_for(kApplyTime);
  Counts counts;
  const Milliseconds begin = record.Now();
  while (record.Now() < begin + kWatchTime) {
    for (const auto& gateway : aWorld.Gateways()) {
      Ask(aWorld, *gateway, counts);
    }
  }
  record.Write("answers to HEAD " + std::to_string(counts.heads) +
               ", with bytes after them " + std::to_string(counts.extra) +
               ", next answers that can't be read " +
               std::to_string(counts.ruined));
  return counts.extra > 0 ? 1 : 0;
}

} // namespace review
