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

/** Any of the routing policies that a process can be configured to use. */
using AnyRoutingPolicy = std::variant<PowerOfTwo,
                                      RandomChoice,
                                      RoundRobin,
                                      LeastOutstanding,
                                      PredictedFinish>;

/** Creates the routing policy that the options select. */
AnyRoutingPolicy MakeRoutingPolicy(const PolicyOptions& aOptions);

/** Data that the router keeps for an outstanding stage. */
struct SentStage
{
  std::string replica;
  StageKind kind;
  std::uint32_t priority = 0;
  Instant sentAt{};
  /** Expected service time at the backend server; zero if not known. */
  Duration expected{};
};

/** Predicted service and waiting time of a stage, if it were sent now. */
struct Forecast
{
  Duration service{};
  Duration wait{};
};

/** Hash of the first bytes of an input; zero if the input is shorter. */
std::uint64_t PrefixHash(std::string_view aInput);

/** Chooses the replica for a stage and updates statistics from the replies. */
class Router
{
public:
  Router(const PolicyOptions& aOptions, std::uint64_t aSeed);

  /** Chooses one of the candidates; null if there are none. */
  const Member* Choose(std::vector<const Member*> aCandidates,
                       RoutingInput aInput);

  /**
   * Predicts the times of a stage at the candidate with the earliest finish.
   *
   * Zero if there are no candidates.
   */
  Forecast Predict(std::vector<const Member*> aCandidates,
                   RoutingInput aInput) const;

  SentStage OnSent(const Member& aMember, const RoutingInput& aInput);
  void OnComplete(const SentStage& aSent, Duration aServiceTime, Instant aNow);
  void OnFailed(const SentStage& aSent, bool aIsReplicaAtFault, Instant aNow);
  /** The stage was abandoned before a reply arrived. */
  void OnAbandoned(const SentStage& aSent, Instant aNow);
  const RoutingStatistics& Statistics() const { return statistics_; }

private:
  void SetPreferredReplica(std::span<const Member* const> aCandidates,
                           RoutingInput& aInput) const;
  void DropEjected(std::vector<const Member*>& aCandidates, Instant aNow) const;

  PolicyOptions options_;
  AnyRoutingPolicy policy_;
  RoutingStatistics statistics_;
  bool isLastPreferred_ = false; ///< `Choose` took the preferred one.
  RandomSource random_;
};

} // namespace gypsum
