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
constexpr Milliseconds kWatchTime{ 12'000 };
constexpr Milliseconds kDeadline{ 1'500 };
/** No configuration ever holds it. */
constexpr const char* kForeignKey = "key-of-nobody";

void Put(World& aWorld, int aVersion, const json::array& aTenants)
{
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", aVersion },
      { "routes",
        json::array{
          MakeRoute("/hold/", "non_idempotent", "reservations", kDeadline) } },
      { "services",
        json::array{
          json::object{ { "name", "reservations" }, { "max-conns", 370 } } } },
      { "limits", MakeLimits() },
      { "tenants", aTenants } }));
}

} // namespace

int RunLastTenant(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  Put(aWorld, 3, { MakeTenant("tenant-one", "key-one") });
  constexpr int kReplicas = 3;
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
    Put(aWorld, 5, {});
    record.Write("version 5 is acknowledged: the last tenant is taken away");
  }
  const Milliseconds acknowledged = record.Now();
  std::this_thread::sleep_for(kApplyTime + Milliseconds(500));
  int foreign = 0;
  int dropped = 0;
  while (record.Now() < acknowledged + kWatchTime) {
    for (const auto& gateway : aWorld.Gateways()) {
      for (const char* const key : { "key-one", kForeignKey }) {
        const std::string attempt = NextAttempt();
        Client client(record);
        const Outcome outcome =
          client.Send(gateway->Host(),
                      aWorld.ThePorts().clients,
                      MakeRequest("/hold/x", attempt, key, kDeadline),
                      kDeadline);
        const bool isForeign = std::string(key) == kForeignKey;
        const bool wasRun = !aWorld.TheRuns().Of(attempt).empty();
        foreign += wasRun && isForeign ? 1 : 0;
        dropped += wasRun && !isForeign && aHasTrouble ? 1 : 0;
        record.Write("attempt " + attempt + " with " + key + " at " +
                     gateway->Name() + ", status " +
                     std::to_string(outcome.answer.Status()) +
                     (wasRun ? ", run" : ", not run"));
      }
    }
    std::this_thread::sleep_for(Milliseconds(500));
  }
  record.Write("runs with a key that no configuration held " +
               std::to_string(foreign) + ", with a key that was taken away " +
               std::to_string(dropped));
  return foreign > 0 ? 1 : 0;
}

} // namespace review
