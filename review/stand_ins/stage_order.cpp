#include "review/stand_ins/plain_replica.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace review {

namespace json = boost::json;

namespace {

/** `config-apply-ms` of the site. */
constexpr Milliseconds kApplyTime{ 2'000 };
/** `contact-ms` of the site. */
constexpr Milliseconds kContactTime{ 3'000 };
constexpr Milliseconds kWatchTime{ 20'000 };
constexpr Milliseconds kDeadline{ 1'500 };

json::object Stage(const std::string& aService, const json::array& aAfter)
{
  return { { "service", aService }, { "after", aAfter }, { "bytes", 8'000 } };
}

json::object StageService(const std::string& aName)
{
  return { { "name", aName },
           { "max-conns", 370 },
           { "pieces",
             json::object{ { "slots", 1 },
                           { "queue", 2 },
                           { "batch", 8 },
                           { "call-ms", 150 },
                           { "item-ms", 16 },
                           { "headroom-mb", 36 },
                           { "handle-s", 4 },
                           { "link-mbps", 10'000 } } } };
}

/** What the operator changes from one version to the next. */
struct Version
{
  int number = 1;
  std::string holdService;
  std::vector<std::string> keys;
  json::array digestStages;
};

void Put(World& aWorld, const Version& aVersion)
{
  json::object digest =
    MakeRoute("/digest/", "streaming", "redaction", Milliseconds(8'000));
  digest["stages"] = aVersion.digestStages;
  json::array tenants;
  for (const std::string& key : aVersion.keys) {
    tenants.push_back(MakeTenant("tenant-of-" + key, key));
  }
  const auto service = [](const char* aName) {
    return json::object{ { "name", aName }, { "max-conns", 370 } };
  };
  aWorld.TheStore().Put(
    "op/config",
    json::serialize(json::object{
      { "version", aVersion.number },
      { "routes",
        json::array{
          digest,
          MakeRoute(
            "/hold/", "non_idempotent", aVersion.holdService, kDeadline) } },
      { "services",
        json::array{ service("redaction"),
                     service("reservations"),
                     service("reservations-b"),
                     StageService("portfolios"),
                     StageService("facturation") } },
      { "limits", MakeLimits() },
      { "tenants", tenants } }));
}

} // namespace

int RunStageOrder(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  Put(aWorld,
      { 3,
        "reservations",
        { "key-one", "key-two" },
        { Stage("portfolios", {}), Stage("facturation", { 0 }) } });
  std::vector<std::unique_ptr<PlainReplica>> replicas;
  for (const char* const service : { "reservations", "reservations-b" }) {
    for (int index = 0; index < 3; ++index) {
      const auto machine = 10 + static_cast<int>(replicas.size());
      replicas.push_back(std::make_unique<PlainReplica>(
        aWorld, machine, "i-" + std::to_string(machine), service, false));
      record.Write("i-" + std::to_string(machine) + " serves " + service);
    }
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
  // A third stage comes before the first one. It gets the last number, since
  // clients count their pieces by the numbers of the stages.
  Version next{ 5,
                "reservations-b",
                { "key-one", "key-three" },
                { Stage("portfolios", { 2 }),
                  Stage("facturation", { 0 }),
                  Stage("portfolios", {}) } };
  if (!aHasTrouble) {
    // The same change with the stages in the order in which they run.
    next.digestStages = { Stage("portfolios", {}),
                          Stage("portfolios", { 0 }),
                          Stage("facturation", { 1 }) };
  }
  Put(aWorld, next);
  const Milliseconds acknowledged = record.Now();
  record.Write("version 5 is acknowledged: /hold/ moves to reservations-b, "
               "key-two is dropped, key-three is added");
  std::this_thread::sleep_for(kApplyTime + Milliseconds(500));
  int runs = 0;
  int stale = 0;
  int refused = 0;
  while (record.Now() < acknowledged + kWatchTime) {
    for (const auto& gateway : aWorld.Gateways()) {
      for (const char* const key : { "key-one", "key-two", "key-three" }) {
        const std::string attempt = NextAttempt();
        Client client(record);
        const Outcome outcome =
          client.Send(gateway->Host(),
                      aWorld.ThePorts().clients,
                      MakeRequest("/hold/x", attempt, key, kDeadline),
                      kDeadline);
        for (const Run& run : aWorld.TheRuns().Of(attempt)) {
          ++runs;
          const bool isOldService = run.replica <= "i-12";
          const bool isOldKey = std::string(key) == "key-two";
          stale += isOldService || isOldKey ? 1 : 0;
          if (isOldService || isOldKey) {
            record.Write(
              "CONFIG " + attempt + " with " + key + " was run by " +
              run.replica + ", sent " +
              std::to_string((outcome.sentAt - acknowledged).count()) +
              " ms after the acknowledgement");
          }
        }
        const bool isRefused =
          std::string(key) == "key-three" && outcome.answer.Status() == 401;
        refused += isRefused ? 1 : 0;
        record.Write("attempt " + attempt + " with " + key + " at " +
                     gateway->Name() + ", status " +
                     std::to_string(outcome.answer.Status()));
      }
    }
    std::this_thread::sleep_for(Milliseconds(500));
  }
  record.Write("requests run " + std::to_string(runs) +
               ", as only the older version allows " + std::to_string(stale) +
               ", refused with 401 though the key is there " +
               std::to_string(refused));
  return stale + refused > 0 ? 1 : 0;
}

} // namespace review
