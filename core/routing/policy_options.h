#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsum {

/** Routing policy that chooses the replica for a repeatable stage. */
enum class RoutingKind
{
  Random,
  RoundRobin,
  LeastOutstanding,
  PowerOfTwo,
  PredictedFinish,
};

/** Order in which an agent starts its queued stages. */
enum class QueueKind
{
  FirstComeFirstServed,
  Deadline, ///< Earliest deadline first within each priority class.
  Fair,     ///< Priority with ageing, then customer weight, then deadline.
};

/** What admission control optimizes for. */
enum class Objective
{
  Attainment, ///< Answer as many requests as possible within their deadline.
  Cost,       ///< A late answer costs more than a refusal; refuse earlier.
};

/** Routing, queueing and admission policy of a process or a replay. */
struct PolicyOptions
{
  RoutingKind routing = RoutingKind::PredictedFinish;
  QueueKind queue = QueueKind::Fair;
  Objective objective = Objective::Attainment;
  /** Refuse a request early if its predicted finish is late. */
  bool hasAdmission = true;
  /** Temporarily send no work to slow or failing replicas. */
  bool hasEjection = true;

  bool operator==(const PolicyOptions&) const = default;
};

/**
 * Parses a comma-separated list of options: `default` or a routing policy,
 * then features such as `fair` or `admission`. Admission and ejection are
 * disabled by `no-admission` and `no-ejection`.
 *
 * Returns nothing if an option is unknown.
 */
std::optional<PolicyOptions> ParsePolicy(std::string_view aText);

} // namespace gypsum
