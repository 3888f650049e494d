#include "review/stand_ins/plain_replica.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace review {

namespace json = boost::json;

namespace {

// The trouble, as the site file has it: { kind = "srv_grey", share = 0.14,
// x = 0.45, for_s = 6.5 }; of 3 replicas it strikes one.
constexpr double kFailingShare = 0.45;
constexpr Milliseconds kTroubleTime{ 6'500 };
constexpr Milliseconds kContactTime{ 3'000 };
constexpr Milliseconds kDeadline{ 1'500 };
constexpr int kReplicas = 3;
constexpr int kClients = 4;

void PutConfiguration(World& aWorld)
{
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", 1 },
      { "routes",
        json::array{
          MakeRoute("/hold/", "non_idempotent", "reservations", kDeadline) } },
      { "services",
        json::array{
          json::object{ { "name", "reservations" }, { "max-conns", 110 } } } },
      { "limits", MakeLimits() },
      { "tenants", json::array{ MakeTenant("tenant-one", "key-one") } } }));
}

/** What clients were told of requests that ran. */
struct Counts
{
  std::atomic<int> attempts = 0;
  std::atomic<int> untrue = 0;
};

void Call(World& aWorld,
          const Gateway& aGateway,
          Counts& aCounts,
          const std::atomic<bool>& aIsStopping)
{
  Record& record = aWorld.Log();
  Client client(record);
  while (!aIsStopping) {
    const std::string attempt = NextAttempt();
    const Outcome outcome =
      client.Send(aGateway.Host(),
                  aWorld.ThePorts().clients,
                  MakeRequest("/hold/x", attempt, "key-one", kDeadline),
                  kDeadline);
    ++aCounts.attempts;
    const int status = outcome.answer.Status();
    const auto runs = aWorld.TheRuns().Of(attempt);
    const bool promisesNotRun =
      status == 503 || status == 429 || status == 408 || status == 421;
    const bool isUntrue = promisesNotRun && !runs.empty();
    aCounts.untrue += isUntrue ? 1 : 0;
    record.Write((isUntrue ? "REFUSED " : "attempt ") + attempt + " at " +
                 aGateway.Name() + ", status " + std::to_string(status) +
                 ", seal '" + outcome.answer.Get("Replica-Seal") + "', runs " +
                 std::to_string(runs.size()));
    std::this_thread::sleep_for(Milliseconds(50));
  }
}

} // namespace

int RunGreyReplica(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  PutConfiguration(aWorld);
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
  Counts counts;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int index = 0; index < kClients; ++index) {
    clients.emplace_back([&, index] {
      const auto chosen = static_cast<std::size_t>(index);
      Call(aWorld,
           *aWorld.Gateways()[chosen % aWorld.Gateways().size()],
           counts,
           isStopping);
    });
  }
  std::this_thread::sleep_for(kContactTime);
  if (aHasTrouble) {
    record.Write("i-0 fails a part of its requests after it has run them");
    replicas.front()->FailAfterRun(kFailingShare);
  }
  std::this_thread::sleep_for(kTroubleTime);
  replicas.front()->FailAfterRun(0.0);
  std::this_thread::sleep_for(kContactTime);
  isStopping = true;
  std::ranges::for_each(clients, &std::thread::join);
  record.Write("attempts " + std::to_string(counts.attempts) +
               ", run and yet refused as not run " +
               std::to_string(counts.untrue));
  return counts.untrue > 0 ? 1 : 0;
}

} // namespace review
