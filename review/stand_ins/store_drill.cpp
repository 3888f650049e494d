#include "review/stand_ins/plain_replica.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace review {

namespace json = boost::json;

namespace {

/** `config-apply-ms`, and the most by which an unstable core stretches it. */
constexpr Milliseconds kApplyTime{ 2'000 };
constexpr Milliseconds kOuterTime{ 5'000 };
/** `contact-ms` of the site. */
constexpr Milliseconds kContactTime{ 3'000 };
constexpr Milliseconds kDeadline{ 1'500 };
/** Between two keys that the operator takes away. */
constexpr Milliseconds kRevokeGap{ 1'000 };
/** For which the store is away in a drill. */
constexpr Milliseconds kAwayTime{ 1'500 };
constexpr Milliseconds kWatchTime{ 6'000 };
constexpr int kRounds = 3;
constexpr int kReplicas = 3;

/** The operator, and its newest configuration. */
class Operator
{
public:
  explicit Operator(World& aWorld)
    : world_(aWorld)
  {
    for (int key = 0; key < 3 * kRounds + 2; ++key) {
      keys_.push_back("key-" + std::to_string(key));
    }
  }

  /** Writes the newest configuration, as it is or as it was. */
  void Write()
  {
    json::array tenants;
    for (const std::string& key : keys_) {
      tenants.push_back(MakeTenant("tenant-of-" + key, key));
    }
    const std::uint64_t revision = world_.TheStore().Put(
      "op/config",
      json::serialize(json::object{
        { "version", version_ },
        { "routes",
          json::array{ MakeRoute(
            "/hold/", "non_idempotent", "reservations", kDeadline) } },
        { "services",
          json::array{ json::object{ { "name", "reservations" },
                                     { "max-conns", 110 } } } },
        { "limits", MakeLimits() },
        { "tenants", tenants } }));
    world_.Log().Write(
      "version " + std::to_string(version_) + " is acknowledged at revision " +
      std::to_string(revision) + ", " + std::to_string(keys_.size()) + " keys");
  }
  /** The next version, without the first key; returns that key. */
  std::string Revoke()
  {
    version_ += 2;
    std::string revoked = keys_.front();
    keys_.erase(keys_.begin());
    Write();
    return revoked;
  }
  /** The next version, without the first key and with a new one. */
  std::string Replace(const std::string& aNewKey)
  {
    keys_.push_back(aNewKey);
    return Revoke();
  }
  const std::string& LastingKey() const { return keys_[keys_.size() - 2]; }

private:
  World& world_;
  int version_ = 1;
  std::vector<std::string> keys_;
};

struct Counts
{
  int runs = 0;
  int stale = 0;   ///< Run with a key that was taken away.
  int refused = 0; ///< 401 for a key that is there.
};

void Ask(World& aWorld,
         const Gateway& aGateway,
         const std::string& aKey,
         bool aIsRevoked,
         Milliseconds aAcknowledged,
         Counts& aCounts)
{
  Record& record = aWorld.Log();
  const std::string attempt = NextAttempt();
  Client client(record);
  const Outcome outcome =
    client.Send(aGateway.Host(),
                aWorld.ThePorts().clients,
                MakeRequest("/hold/x", attempt, aKey, kDeadline),
                kDeadline);
  const auto runs = static_cast<int>(aWorld.TheRuns().Of(attempt).size());
  const int status = outcome.answer.Status();
  const bool isStale = aIsRevoked && runs > 0;
  const bool isRefused = !aIsRevoked && status == 401;
  aCounts.runs += runs;
  aCounts.stale += isStale ? 1 : 0;
  aCounts.refused += isRefused ? 1 : 0;
  record.Write((isStale || isRefused ? "CONFIG " : "attempt ") + attempt +
               " with " + aKey + (aIsRevoked ? " (taken away)" : "") + " at " +
               aGateway.Name() + ", sent " +
               std::to_string((outcome.sentAt - aAcknowledged).count()) +
               " ms after the acknowledgement, status " +
               std::to_string(status) + ", runs " + std::to_string(runs));
}

/** One drill beside a series of keys that are taken away. */
void Play(World& aWorld,
          Operator& aOperator,
          int aRound,
          bool aHasTrouble,
          Counts& aCounts)
{
  Record& record = aWorld.Log();
  Store& store = aWorld.TheStore();
  store.Copy();
  aOperator.Revoke();
  std::this_thread::sleep_for(kRevokeGap);
  aOperator.Revoke();
  std::this_thread::sleep_for(kRevokeGap);
  if (aHasTrouble) {
    record.Write("the store goes away");
    store.GoAway();
  }
  std::this_thread::sleep_for(kAwayTime);
  if (aHasTrouble) {
    store.ComeBackFromCopy();
    record.Write("the store is back from a copy, in its next era");
    // What the operator wrote since is written again.
    aOperator.Write();
  }
  const std::string added = "key-new-" + std::to_string(aRound);
  const std::string revoked = aOperator.Replace(added);
  const Milliseconds acknowledged = record.Now();
  std::this_thread::sleep_for(
    std::max(kApplyTime + kOuterTime, kContactTime + kApplyTime) +
    Milliseconds(500));
  while (record.Now() < acknowledged + kApplyTime + kOuterTime + kWatchTime) {
    for (const auto& gateway : aWorld.Gateways()) {
      Ask(aWorld, *gateway, revoked, true, acknowledged, aCounts);
      Ask(aWorld, *gateway, added, false, acknowledged, aCounts);
      Ask(
        aWorld, *gateway, aOperator.LastingKey(), false, acknowledged, aCounts);
    }
    std::this_thread::sleep_for(Milliseconds(500));
  }
}

} // namespace

int RunStoreDrill(World& aWorld, bool aHasTrouble)
{
  Record& record = aWorld.Log();
  Operator theOperator(aWorld);
  theOperator.Write();
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
  for (int round = 0; round < kRounds; ++round) {
    Play(aWorld, theOperator, round, aHasTrouble, counts);
  }
  record.Write("requests run " + std::to_string(counts.runs) +
               ", with a key that was taken away " +
               std::to_string(counts.stale) +
               ", refused with 401 though the key is there " +
               std::to_string(counts.refused));
  return counts.stale + counts.refused > 0 ? 1 : 0;
}

} // namespace review
