#include "core/routing/policy_options.h"

#include <algorithm>
#include <array>

namespace gypsum {

namespace {

struct NamedOption
{
  std::string_view name;
  void (*apply)(PolicyOptions&);
};

/** Selects a routing policy with plain queueing and no other features. */
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

constexpr std::array kNamedOptions{
  NamedOption{ "default", [](PolicyOptions& aOptions) { aOptions = {}; } },
  NamedOption{ "random", UseBaseline<RoutingKind::Random> },
  NamedOption{ "round-robin", UseBaseline<RoutingKind::RoundRobin> },
  NamedOption{ "least-outstanding",
               UseBaseline<RoutingKind::LeastOutstanding> },
  NamedOption{ "power-of-two", UseBaseline<RoutingKind::PowerOfTwo> },
  NamedOption{ "predicted", UseBaseline<RoutingKind::PredictedFinish> },
  NamedOption{ "fcfs", SetQueue<QueueKind::FirstComeFirstServed> },
  NamedOption{ "deadline", SetQueue<QueueKind::Deadline> },
  NamedOption{ "fair", SetQueue<QueueKind::Fair> },
  NamedOption{ "admission", SetFeature<&PolicyOptions::hasAdmission, true> },
  NamedOption{ "no-admission",
               SetFeature<&PolicyOptions::hasAdmission, false> },
  NamedOption{ "ejection", SetFeature<&PolicyOptions::hasEjection, true> },
  NamedOption{ "no-ejection", SetFeature<&PolicyOptions::hasEjection, false> },
  NamedOption{ "attainment", SetObjective<Objective::Attainment> },
  NamedOption{ "cost", SetObjective<Objective::Cost> },
};

} // namespace

std::optional<PolicyOptions> ParsePolicy(std::string_view aText)
{
  PolicyOptions options;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(','), aText.size());
    const auto option = std::ranges::find(
      kNamedOptions, aText.substr(0, end), &NamedOption::name);
    if (option == kNamedOptions.end()) {
      return std::nullopt;
    }
    option->apply(options);
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return options;
}

} // namespace gypsum
