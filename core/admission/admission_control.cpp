#include "core/admission/admission_control.h"

#include <algorithm>
#include <vector>

namespace gypsum {

namespace {

/** Part of the time budget reserved for errors of the prediction. */
constexpr int kReserveDivisor = 10;
/** Larger reserve if a late request costs more than a refused one. */
constexpr int kCostReserveDivisor = 3;
/** Bounds of the relative usage by which the expected wait is scaled. */
constexpr double kMinUsage = 0.25;
constexpr double kMaxUsage = 4;
/** Without probes, wrong time estimates could refuse a pipeline forever. */
constexpr Duration kProbeInterval = std::chrono::seconds(5);

Forecast PredictFinish(const RequestRun& aRun,
                       const MemberTable& aMembers,
                       Router& aRouter,
                       std::string_view aZone,
                       Instant aNow)
{
  Forecast forecast;
  RoutingInput input;
  input.zone = aZone;
  input.inputBytes = aRun.bodyBytes;
  input.now = aNow;
  input.budget = aRun.deadline - aNow;
  input.prefixHash = PrefixHash(aRun.input);
  input.priority = aRun.pipeline->priority;
  std::uint32_t index = 0;
  std::string_view service;
  std::vector<const Member*> usable;
  for (const StageSpec& stage : aRun.pipeline->stages) {
    input.stage = StageKey(aRun.pipeline->name, index++);
    if (service != stage.service) {
      service = stage.service;
      usable = aMembers.Usable(service);
    }
    const Forecast stageForecast = aRouter.Predict(usable, input);
    forecast.service += stageForecast.service;
    forecast.wait += stageForecast.wait;
  }
  return forecast;
}

} // namespace

Duration AdmissionControl::CheckLateness(const RequestRun& aRun,
                                         const MemberTable& aMembers,
                                         Router& aRouter,
                                         std::string_view aZone,
                                         Instant aNow)
{
  const Forecast forecast = PredictFinish(aRun, aMembers, aRouter, aZone, aNow);
  const Customer& customer = *aRun.customer;
  const double relativeUsage =
    std::clamp(usage_.RelativeUsage(customer.name, customer.weight, aNow),
               kMinUsage,
               kMaxUsage);
  const auto wait =
    std::chrono::duration_cast<Duration>(forecast.wait * relativeUsage);
  const Duration budget = aRun.deadline - aNow;
  const Duration reserve =
    budget /
    (objective_ == Objective::Cost ? kCostReserveDivisor : kReserveDivisor);
  const Duration late = forecast.service + wait - (budget - reserve);
  const auto last = lastAdmitted_.find(aRun.pipeline->name);
  const bool isProbe =
    last == lastAdmitted_.end() || aNow - last->second >= kProbeInterval;
  if (late > Duration::zero() && !isProbe) {
    return late;
  }
  RecordAdmitted(aRun, forecast.service, aNow);
  return Duration::zero();
}

void AdmissionControl::RecordAdmitted(const RequestRun& aRun,
                                      Duration aWork,
                                      Instant aNow)
{
  usage_.OnAdmitted(aRun.customer->name, aRun.customer->weight, aWork, aNow);
  lastAdmitted_[aRun.pipeline->name] = aNow;
}

} // namespace gypsum
