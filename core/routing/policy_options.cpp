#include "core/routing/policy_options.h"

#include <algorithm>
#include <array>

namespace gypsum {

namespace {

struct PolicyOption
{
  std::string_view name;
  void (*apply)(PolicyOptions&);
};

/** A baseline: one routing policy and nothing else. */
template<RoutingKind aRouting>
void UseBaseline(PolicyOptions& aOptions)
{
  aOptions.routing = aRouting;
  aOptions.queue = QueueKind::FirstComeFirstServed;
  aOptions.hasAdmission = false;
  aOptions.hasEjection = false;
}

template<bool PolicyOptions::*aFeature, bool aValue>
void SetFeature(PolicyOptions& aOptions)
{
  aOptions.*aFeature = aValue;
}

template<QueueKind aQueue>
void SetQueue(PolicyOptions& aOptions)
{
  aOptions.queue = aQueue;
}

template<Objective aObjective>
void SetObjective(PolicyOptions& aOptions)
{
  aOptions.objective = aObjective;
}

constexpr std::array kPolicyOptions{
  PolicyOption{ "default", [](PolicyOptions& aOptions) { aOptions = {}; } },
  PolicyOption{ "random", UseBaseline<RoutingKind::Random> },
  PolicyOption{ "round-robin", UseBaseline<RoutingKind::RoundRobin> },
  PolicyOption{ "least-outstanding",
                UseBaseline<RoutingKind::LeastOutstanding> },
  PolicyOption{ "power-of-two", UseBaseline<RoutingKind::PowerOfTwo> },
  PolicyOption{ "predicted", UseBaseline<RoutingKind::PredictedFinish> },
  PolicyOption{ "fcfs", SetQueue<QueueKind::FirstComeFirstServed> },
  PolicyOption{ "deadline", SetQueue<QueueKind::Deadline> },
  PolicyOption{ "fair", SetQueue<QueueKind::Fair> },
  PolicyOption{ "admission", SetFeature<&PolicyOptions::hasAdmission, true> },
  PolicyOption{ "no-admission",
                SetFeature<&PolicyOptions::hasAdmission, false> },
  PolicyOption{ "ejection", SetFeature<&PolicyOptions::hasEjection, true> },
  PolicyOption{ "no-ejection", SetFeature<&PolicyOptions::hasEjection, false> },
  PolicyOption{ "attainment", SetObjective<Objective::Attainment> },
  PolicyOption{ "cost", SetObjective<Objective::Cost> },
};

} // namespace

std::optional<PolicyOptions> ParsePolicy(std::string_view aText)
{
  PolicyOptions options;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(','), aText.size());
    const auto option = std::ranges::find(
      kPolicyOptions, aText.substr(0, end), &PolicyOption::name);
    if (option == kPolicyOptions.end()) {
      return std::nullopt;
    }
    option->apply(options);
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return options;
}

} // namespace gypsum
