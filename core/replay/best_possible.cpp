#include "core/replay/best_possible.h"

#include "core/ownership/owner.h"
#include "core/replay/backend_model.h"
#include "core/replay/trace_key.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace gypsum {

namespace {

double MillisecondsOf(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

/** An accepted request that is not finished. */
struct FluidJob
{
  double deadline = 0; ///< In ms since the start of the trace.
  EngineWork remaining;
  double RemainingMs() const
  {
    return std::max(remaining.prefillMs, remaining.slotMs);
  }
};

/** Fluid model of all engines as one server with their total speed. */
class FluidServer
{
public:
  explicit FluidServer(const Manifest& aManifest)
    : manifest_(aManifest)
  {
    for (const auto& [name, replica] : aManifest.replicas) {
      const ServiceSpec& service = *aManifest.FindService(replica.service);
      if (service.kind == ServiceKind::Engine) {
        speeds_[name] = 1;
        slotsPerEngine_ = service.concurrency;
      }
    }
  }

  void Apply(const TraceFault& aFault)
  {
    for (const auto& [name, replica] : manifest_.replicas) {
      const bool isLost =
        (aFault.kind == TraceFaultKind::ZoneLost &&
         replica.zone == aFault.target) ||
        (aFault.kind == TraceFaultKind::Dead && name == aFault.target);
      if (isLost) {
        lostReplicas_.insert(name);
      }
    }
    for (auto& [name, speed] : speeds_) {
      const bool isAffected =
        aFault.kind == TraceFaultKind::ZoneLost
          ? manifest_.FindReplica(name)->zone == aFault.target
          : name == aFault.target;
      if (isAffected && speed >= 0) {
        speed = SpeedAfter(aFault, speed);
      }
    }
  }

  /** Whether some stage may only run at a replica that is lost. */
  bool IsOwnerLost(const TraceArrival& aArrival, const std::string& aKey) const
  {
    return std::ranges::any_of(
      manifest_.FindPipeline(aArrival.pipeline)->stages,
      [&](const StageSpec& aStage) {
        const ServiceSpec& service = *manifest_.FindService(aStage.service);
        const auto owner = OwnerOf(service, { aArrival.customer, aKey });
        return !aStage.isRepeatable && lostReplicas_.contains(owner);
      });
  }

  void AdvanceTo(double aNowMs)
  {
    double prefill = (aNowMs - nowMs_) * TotalSpeed();
    double slot = prefill * slotsPerEngine_;
    nowMs_ = aNowMs;
    for (FluidJob& job : jobs_) {
      Consume(job.remaining.prefillMs, prefill);
      Consume(job.remaining.slotMs, slot);
    }
    std::erase_if(jobs_,
                  [](const FluidJob& aJob) { return aJob.RemainingMs() <= 0; });
  }

  /** Adds a request; returns how many were dropped to meet all deadlines. */
  std::size_t Add(const FluidJob& aJob)
  {
    jobs_.insert(
      std::ranges::upper_bound(jobs_, aJob.deadline, {}, &FluidJob::deadline),
      aJob);
    std::size_t dropped = 0;
    while (DropLargestIfOverloaded()) {
      ++dropped;
    }
    return dropped;
  }

private:
  static double SpeedAfter(const TraceFault& aFault, double aSpeed)
  {
    switch (aFault.kind) {
      case TraceFaultKind::Slow:
        return 1.0 / aFault.value;
      case TraceFaultKind::Failing:
      case TraceFaultKind::Frozen:
        return 0;
      case TraceFaultKind::Dead:
      case TraceFaultKind::ZoneLost:
        return -1;
      case TraceFaultKind::Healthy:
        return 1;
      case TraceFaultKind::Mute:
      case TraceFaultKind::Lag:
        break;
    }
    return aSpeed;
  }

  double TotalSpeed() const
  {
    double sum = 0;
    for (const auto& [name, speed] : speeds_) {
      sum += std::max(0.0, speed);
    }
    return sum;
  }

  static void Consume(double& aWork, double& aBudget)
  {
    const double done = std::min(aWork, aBudget);
    aWork -= done;
    aBudget -= done;
  }

  /**
   * Finds the first deadline that cannot be met and drops the request, of those
   * due until then, that needs most of the scarcer resource.
   */
  bool DropLargestIfOverloaded()
  {
    const double totalSpeed = TotalSpeed();
    EngineWork sum;
    for (auto job = jobs_.begin(); job != jobs_.end(); ++job) {
      sum.prefillMs += job->remaining.prefillMs;
      sum.slotMs += job->remaining.slotMs;
      const double availableMs = (job->deadline - nowMs_) * totalSpeed;
      if (sum.prefillMs > availableMs ||
          sum.slotMs > availableMs * slotsPerEngine_) {
        const double prefillShare = sum.prefillMs / std::max(availableMs, 1.0);
        const double slotShare =
          sum.slotMs / std::max(availableMs * slotsPerEngine_, 1.0);
        const bool isPrefill = prefillShare > slotShare;
        jobs_.erase(std::max_element(
          jobs_.begin(), job + 1, [&](const auto& aLeft, const auto& aRight) {
            return isPrefill
                     ? aLeft.remaining.prefillMs < aRight.remaining.prefillMs
                     : aLeft.remaining.slotMs < aRight.remaining.slotMs;
          }));
        return true;
      }
    }
    return false;
  }

  const Manifest& manifest_;
  std::set<std::string, std::less<>> lostReplicas_;
  /** 1: normal; 0: makes no progress; -1: permanently lost. */
  std::map<std::string, double> speeds_;
  double slotsPerEngine_ = 1;
  double nowMs_ = 0;
  std::vector<FluidJob> jobs_; ///< In order of deadline.
};

} // namespace

EngineWork EngineWorkOf(const TraceArrival& aArrival, const Manifest& aManifest)
{
  const EngineModel model;
  EngineWork work;
  const std::uint32_t tokens = aArrival.inputBytes / model.bytesPerToken;
  const double uncachedShare =
    aArrival.prefix == 0 ? 1 : 1 - model.sharedPrefixShare;
  for (const StageSpec& stage :
       aManifest.FindPipeline(aArrival.pipeline)->stages) {
    const ServiceSpec& service = *aManifest.FindService(stage.service);
    if (service.kind != ServiceKind::Engine) {
      continue;
    }
    const bool isGenerating = stage.operation == "/generate";
    const double prefill = isGenerating
                             ? tokens * uncachedShare / model.prefillTokensPerMs
                             : tokens / model.encodeTokensPerMs;
    const double token =
      model.tokenBaseMs + model.tokenPerRunningMs * service.concurrency;
    work.prefillMs += prefill;
    work.slotMs += prefill + (isGenerating ? token * aArrival.outputTokens : 0);
  }
  return work;
}

std::size_t BestPossibleCount(const Trace& aTrace, const Manifest& aManifest)
{
  FluidServer server(aManifest);
  auto fault = aTrace.faults.begin();
  std::size_t best = aTrace.arrivals.size();
  for (std::size_t index = 0; index < aTrace.arrivals.size(); ++index) {
    const TraceArrival& arrival = aTrace.arrivals[index];
    for (; fault != aTrace.faults.end() && fault->at <= arrival.at; ++fault) {
      server.AdvanceTo(MillisecondsOf(fault->at));
      server.Apply(*fault);
    }
    server.AdvanceTo(MillisecondsOf(arrival.at));
    if (server.IsOwnerLost(arrival, KeyOfArrival(aTrace, index))) {
      --best;
      continue;
    }
    const Duration deadline =
      arrival.at + aManifest.FindPipeline(arrival.pipeline)->deadline;
    best -= server.Add(
      { MillisecondsOf(deadline), EngineWorkOf(arrival, aManifest) });
  }
  return best;
}

} // namespace gypsum
