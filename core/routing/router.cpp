#include "core/routing/router.h"

#include "core/hash.h"

#include <algorithm>

namespace gypsum {

namespace {

constexpr std::uint64_t kForecastSeed = 1;
constexpr std::size_t kPrefixBytes = 1024;
/** Ejection keeps at least one in this many replicas of a service in use. */
constexpr std::size_t kEjectionFloorDivisor = 2;

} // namespace

AnyRoutingPolicy MakeRoutingPolicy(const PolicyOptions& aOptions)
{
  switch (aOptions.routing) {
    case RoutingKind::Random:
      return RandomChoice{};
    case RoutingKind::RoundRobin:
      return RoundRobin{};
    case RoutingKind::LeastOutstanding:
      return LeastOutstanding{};
    case RoutingKind::PredictedFinish:
      return PredictedFinish{};
    case RoutingKind::PowerOfTwo:
      break;
  }
  return PowerOfTwo{};
}

std::uint64_t PrefixHash(std::string_view aInput)
{
  return aInput.size() < kPrefixBytes
           ? 0
           : Checksum(aInput.substr(0, kPrefixBytes));
}

Router::Router(const PolicyOptions& aOptions, std::uint64_t aSeed)
  : options_(aOptions)
  , policy_(MakeRoutingPolicy(aOptions))
  , random_(aSeed)
{
}

const Member* Router::Choose(std::vector<const Member*> aCandidates,
                             RoutingInput aInput)
{
  aInput.statistics = &statistics_;
  if (options_.hasEjection) {
    DropEjected(aCandidates, aInput.now);
  }
  SetPreferredReplica(aCandidates, aInput);
  const auto index = std::visit(
    [&](auto& aPolicy) { return aPolicy.Choose(aCandidates, aInput, random_); },
    policy_);
  isLastPreferred_ = index && *index == aInput.preferred;
  return index ? aCandidates[*index] : nullptr;
}

void Router::DropEjected(std::vector<const Member*>& aCandidates,
                         Instant aNow) const
{
  const auto ejected = std::stable_partition(
    aCandidates.begin(), aCandidates.end(), [&](const Member* aMember) {
      return !statistics_.scores.IsEjected(aMember->name, aNow);
    });
  const auto kept = static_cast<std::size_t>(ejected - aCandidates.begin());
  // If more replicas are slow, the whole service is overloaded and ejecting
  // replicas would make it worse.
  if (kept * kEjectionFloorDivisor >= aCandidates.size()) {
    aCandidates.erase(ejected, aCandidates.end());
  }
}

void Router::SetPreferredReplica(std::span<const Member* const> aCandidates,
                                 RoutingInput& aInput) const
{
  const bool hasPreferred =
    options_.routing == RoutingKind::PredictedFinish && aInput.prefixHash != 0;
  aInput.preferred = hasPreferred
                       ? PreferredReplica(aCandidates, aInput.prefixHash)
                       : kNoReplica;
}

Forecast Router::Predict(std::vector<const Member*> aCandidates,
                         RoutingInput aInput) const
{
  aInput.statistics = &statistics_;
  if (options_.hasEjection) {
    DropEjected(aCandidates, aInput.now);
  }
  SetPreferredReplica(aCandidates, aInput);
  // A separate generator with a fixed seed keeps predictions from changing the
  // sequence of routing choices.
  RandomSource random(kForecastSeed);
  const auto index = PredictedFinish{}.Choose(aCandidates, aInput, random);
  if (!index) {
    return {};
  }
  const bool isPreferred = *index == aInput.preferred;
  const Duration service = statistics_.times.Estimate(
    { aInput.stage, SizeClass(aInput.inputBytes), isPreferred });
  return { service,
           ExpectedTimeToFinish(*aCandidates[*index], aInput, service) -
             service };
}

SentStage Router::OnSent(const Member& aMember, const RoutingInput& aInput)
{
  SentStage sent;
  sent.replica = aMember.name;
  sent.kind = { aInput.stage, SizeClass(aInput.inputBytes), isLastPreferred_ };
  sent.priority = aInput.priority;
  sent.sentAt = aInput.now;
  sent.expected = statistics_.times.Estimate(sent.kind);
  statistics_.scores.OnSent(sent.replica, sent.priority, sent.expected);
  return sent;
}

void Router::OnComplete(const SentStage& aSent,
                        Duration aServiceTime,
                        Instant aNow)
{
  statistics_.scores.OnEnded(aSent.replica, aSent.priority, aSent.expected);
  statistics_.scores.OnTimeSample(
    aSent.replica, aServiceTime, aSent.expected, aNow);
  statistics_.times.Record(aSent.kind, aServiceTime);
}

void Router::OnFailed(const SentStage& aSent,
                      bool aIsReplicaAtFault,
                      Instant aNow)
{
  statistics_.scores.OnEnded(aSent.replica, aSent.priority, aSent.expected);
  if (aIsReplicaAtFault) {
    statistics_.scores.OnFailure(aSent.replica, aNow);
  }
}

void Router::OnAbandoned(const SentStage& aSent, Instant aNow)
{
  statistics_.scores.OnEnded(aSent.replica, aSent.priority, aSent.expected);
  statistics_.scores.OnTimeSample(
    aSent.replica, aNow - aSent.sentAt, aSent.expected, aNow);
}

} // namespace gypsum
