#pragma once

#include "core/routing/baselines.h"
#include "core/routing/policy_options.h"
#include "core/routing/power_of_two.h"
#include "core/routing/predicted_finish.h"
#include "core/routing/routing_policy.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <span>
#include <variant>
#include <vector>

namespace gypsum {

/** Every routing policy that a process can be set to use. */
using AnyRoutingPolicy = std::variant<PowerOfTwo,
                                      RandomChoice,
                                      RoundRobin,
                                      LeastOutstanding,
                                      PredictedFinish>;

/** The routing policy that the options name. */
AnyRoutingPolicy MakeRoutingPolicy(const PolicyOptions& aOptions);

/** A stage that was sent, as the router has to remember it. */
struct SentStage
{
  std::string replica;
  StageKind kind;
  std::uint32_t priority = 0;
  Instant sentAt{};
  Duration expected{}; ///< At the backend server; zero if not known.
};

/** When a stage would be done, if it were sent now. */
struct Forecast
{
  Duration service{};
  Duration wait{};
};

/** Hash of the start of an input; zero if the input is too short to share. */
std::uint64_t PrefixHash(std::string_view aInput);

/** Chooses the replica for a stage and learns from what came back. */
class Router
{
public:
  Router(const PolicyOptions& aOptions, std::uint64_t aSeed);

  /** One of the candidates, or null if there are none. */
  const Member* Choose(std::vector<const Member*> aCandidates,
                       RoutingInput aInput);

  /** Expected time of a stage, its wait included, sentAt the best candidate. */
  Forecast Predict(std::vector<const Member*> aCandidates,
                   RoutingInput aInput) const;

  SentStage OnSent(const Member& aMember, const RoutingInput& aInput);
  void OnComplete(const SentStage& aSent, Duration aServiceTime, Instant aNow);
  void OnFailed(const SentStage& aSent, bool aIsReplicaAtFault, Instant aNow);
  /** The stage was given up while it was still away. */
  void OnAbandoned(const SentStage& aSent, Instant aNow);
  const RoutingStatistics& Statistics() const { return statistics_; }

private:
  void SetPreferredReplica(std::span<const Member* const> aCandidates,
                           RoutingInput& aInput) const;
  void DropEjected(std::vector<const Member*>& aCandidates, Instant aNow) const;

  PolicyOptions options_;
  AnyRoutingPolicy policy_;
  RoutingStatistics statistics_;
  bool isLastPreferred_ = false; ///< The last choice is a home of its prefix.
  RandomSource random_;
};

} // namespace gypsum
