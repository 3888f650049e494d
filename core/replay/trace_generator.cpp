#include "core/replay/trace_generator.h"

#include "core/replay/backend_model.h"

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <span>

namespace gypsum {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Generator = std::mt19937_64;

constexpr std::uint64_t kPrefixSeed = 100;

/** One kind of request in the workload of a deployment. */
struct RequestClass
{
  std::string_view pipeline;
  double share; ///< Share of all arrivals.
  double medianBytes;
  double spread; ///< Standard deviation of the logarithm of the size.
  std::uint32_t minTokens;
  std::uint32_t maxTokens; ///< Zero if the request generates no tokens.
  bool hasPrefix;
  bool isReranked; ///< An engine also encodes the input once.
};

/** A customer with its part of the traffic. */
struct CustomerShare
{
  std::string_view name;
  double share; ///< Share of all arrivals.
};

/** Distribution of the requests of one deployment, and its size. */
struct Workload
{
  std::string_view manifest;
  std::uint32_t entries;
  std::uint32_t engines;
  std::uint32_t slots;    ///< Slots of one engine.
  std::uint32_t prefixes; ///< Number of shared prefixes.
  std::span<const RequestClass> classes;
  std::span<const CustomerShare> customers;
};

/** Load, faults and expectations of one generated trace. */
struct Scenario
{
  std::string_view name;
  const Workload* workload;
  double load;        ///< Arrival rate relative to the capacity.
  double burstFactor; ///< Factor of the rate in the last 3 s of every 9 s.
  double laterLoad;   ///< Load of the second half; zero keeps `load`.
  seconds length;
  /** If set, the arrivals of other pipelines are dropped. */
  std::string_view onlyPipeline;
  std::vector<TraceFault> faults;
  std::vector<TraceExpectation> expectations;
};

constexpr std::array<RequestClass, 4> kAgencyClasses{ {
  { "chat", 0.55, 600, 0.4, 20, 60, false, false },
  { "draft", 0.15, 40'000, 0.3, 60, 120, true, true },
  { "summary", 0.05, 24'000, 0.4, 100, 160, false, false },
  { "hold", 0.25, 300, 0.3, 0, 0, false, false },
} };

constexpr std::array<CustomerShare, 5> kAgencyCustomers{ {
  { "grand-maison", 0.45 },
  { "studio-nord", 0.30 },
  { "atelier-rive", 0.15 },
  { "petit-cadre", 0.06 },
  { "casting-est", 0.04 },
} };

constexpr std::array<RequestClass, 4> kCircleClasses{ {
  { "question", 0.60, 500, 0.4, 15, 50, false, false },
  { "briefing", 0.15, 48'000, 0.3, 80, 140, true, true },
  { "digest", 0.05, 16'000, 0.5, 60, 120, false, false },
  { "seat", 0.20, 250, 0.3, 0, 0, false, false },
} };

constexpr std::array<CustomerShare, 5> kCircleCustomers{ {
  { "newcomers", 0.50 },
  { "organisers", 0.25 },
  { "hosts", 0.15 },
  { "partners", 0.06 },
  { "guests", 0.04 },
} };

constexpr Workload kAgency{ "laurentide.ini", 2, 9, 8, 30, kAgencyClasses,
                            kAgencyCustomers };
constexpr Workload kCircle{ "circle.ini",    3, 18, 8, 40, kCircleClasses,
                            kCircleCustomers };

const std::vector<TraceExpectation> kExpectedWithoutFaults{
  { "attainment-admitted", true, 0.99 },
  { "attainment-of-best", true, 0.95 },
  { "wasted", false, 0.05 },
  { "extra-calls", false, 0.10 },
};
const std::vector<TraceExpectation> kExpectedWithFaults{
  { "attainment-of-best", true, 0.95 },
  { "wasted", false, 0.05 },
  { "extra-calls", false, 0.10 },
};
const std::vector<TraceExpectation> kExpectedUnderOverload{
  { "attainment-of-best", true, 0.95 },
  { "wasted", false, 0.05 },
  { "extra-calls", false, 0.10 },
  { "least-share", true, 1.0 },
};

TraceFault FaultAt(std::uint32_t aSecond,
                   TraceFaultKind aKind,
                   std::string aTarget,
                   std::uint32_t aValue = 0)
{
  return { seconds(aSecond), aKind, std::move(aTarget), aValue };
}

const std::vector<Scenario>& Scenarios()
{
  using enum TraceFaultKind;
  static const std::vector<Scenario> kScenarios{
    { "laurentide-steady",
      &kAgency,
      0.8,
      1,
      0,
      seconds(40),
      "",
      {},
      kExpectedWithoutFaults },
    { "laurentide-chat-alone",
      &kAgency,
      0.8,
      1,
      0,
      seconds(40),
      "chat",
      {},
      kExpectedWithoutFaults },
    { "laurentide-bursts",
      &kAgency,
      0.6,
      2.0,
      0,
      seconds(40),
      "",
      {},
      kExpectedWithFaults },
    { "laurentide-stragglers",
      &kAgency,
      0.6,
      1,
      0,
      seconds(40),
      "",
      { FaultAt(6, Slow, "redaction-2", 6),
        FaultAt(10, Slow, "redaction-7", 4),
        FaultAt(16, Failing, "redaction-5"),
        FaultAt(28, Healthy, "redaction-2") },
      kExpectedWithFaults },
    { "laurentide-1x",
      &kAgency,
      1,
      1,
      0,
      seconds(20),
      "",
      {},
      kExpectedUnderOverload },
    { "laurentide-1.5x",
      &kAgency,
      1.5,
      1,
      0,
      seconds(20),
      "",
      {},
      kExpectedUnderOverload },
    { "laurentide-3x",
      &kAgency,
      3,
      1,
      0,
      seconds(20),
      "",
      {},
      kExpectedUnderOverload },
    { "circle-steady",
      &kCircle,
      0.8,
      1,
      0,
      seconds(30),
      "",
      {},
      kExpectedWithoutFaults },
    { "circle-zone-lost",
      &kCircle,
      0.7,
      1,
      0,
      seconds(30),
      "",
      { FaultAt(10, ZoneLost, "vn-south-2") },
      kExpectedWithFaults },
    { "circle-dead-frozen",
      &kCircle,
      0.7,
      1,
      0,
      seconds(30),
      "",
      { FaultAt(6, Dead, "lm-pool-3"),
        FaultAt(9, Frozen, "lm-pool-8"),
        FaultAt(14, Dead, "lm-pool-12"),
        FaultAt(18, Healthy, "lm-pool-8") },
      kExpectedWithFaults },
    { "circle-blind",
      &kCircle,
      0.7,
      1.5,
      0,
      seconds(30),
      "",
      { FaultAt(3, Lag, "", 800),
        FaultAt(8, Mute, "lm-pool-4"),
        FaultAt(12, Mute, "lm-pool-9"),
        FaultAt(20, Lag, "", 1) },
      kExpectedWithFaults },
    { "circle-shift",
      &kCircle,
      0.4,
      1,
      0.8,
      seconds(30),
      "",
      {},
      kExpectedWithoutFaults },
    { "circle-3x",
      &kCircle,
      3,
      1,
      0,
      seconds(12),
      "",
      {},
      kExpectedUnderOverload },
  };
  return kScenarios;
}

/** Generates the trace of one scenario. */
class TraceBuilder
{
public:
  TraceBuilder(const Scenario& aScenario, std::uint64_t aSeed)
    : scenario_(aScenario)
    , workload_(*aScenario.workload)
    , generator_(aSeed)
    , classDistribution_(Shares(workload_.classes))
    , customerDistribution_(Shares(workload_.customers))
  {
    trace_.manifest = workload_.manifest;
    trace_.entries = workload_.entries;
    trace_.seed = aSeed;
    trace_.faults = aScenario.faults;
    trace_.expectations = aScenario.expectations;
  }

  Trace Build()
  {
    const double length = static_cast<double>(scenario_.length.count());
    const double capacity = Capacity();
    boost::random::exponential_distribution<double> interarrival(1.0);
    for (double now = 0; now < length;) {
      now += interarrival(generator_) / (capacity * LoadAt(now));
      AddArrival(now);
    }
    return std::move(trace_);
  }

private:
  template<typename Items>
  static std::vector<double> Shares(const Items& aItems)
  {
    std::vector<double> shares;
    std::ranges::transform(aItems,
                           std::back_inserter(shares),
                           [](const auto& aItem) { return aItem.share; });
    return shares;
  }

  double LoadAt(double aSecond) const
  {
    const bool isSecondHalf =
      2 * aSecond > static_cast<double>(scenario_.length.count());
    const double load = isSecondHalf && scenario_.laterLoad > 0
                          ? scenario_.laterLoad
                          : scenario_.load;
    const bool isBurst = static_cast<int>(aSecond / 3) % 3 == 2;
    return load * (isBurst ? scenario_.burstFactor : 1);
  }

  /** Requests per second that saturate engines with all prefixes cached. */
  double Capacity() const
  {
    double prefill = 0;
    double slot = 0;
    for (const RequestClass& kind : workload_.classes) {
      if (kind.maxTokens == 0) {
        continue;
      }
      const EngineModel model;
      const double tokens = kind.medianBytes *
                            std::exp(kind.spread * kind.spread / 2) /
                            model.bytesPerToken;
      const double uncachedShare =
        kind.hasPrefix ? 1 - model.sharedPrefixShare : 1;
      const double encode =
        kind.isReranked ? tokens / model.encodeTokensPerMs : 0;
      const double prefillMs =
        tokens * uncachedShare / model.prefillTokensPerMs + encode;
      const double output = (kind.minTokens + kind.maxTokens) / 2.0;
      const double decodeMs =
        output *
        (model.tokenBaseMs + model.tokenPerRunningMs * workload_.slots);
      prefill += kind.share * prefillMs;
      slot += kind.share * (prefillMs + decodeMs) / workload_.slots;
    }
    return 1000.0 * workload_.engines / std::max(prefill, slot);
  }

  void AddArrival(double aSecond)
  {
    const RequestClass& kind =
      workload_.classes[classDistribution_(generator_)];
    boost::random::lognormal_distribution<double> bytes(
      std::log(kind.medianBytes), kind.spread);
    boost::random::uniform_int_distribution<std::uint32_t> tokens(
      kind.minTokens, kind.maxTokens);
    boost::random::uniform_int_distribution<std::uint32_t> prefix(
      1, workload_.prefixes);
    TraceArrival arrival;
    arrival.at = milliseconds(static_cast<long>(aSecond * 1000));
    arrival.customer =
      workload_.customers[customerDistribution_(generator_)].name;
    arrival.pipeline = kind.pipeline;
    arrival.prefix = kind.hasPrefix ? prefix(generator_) : 0;
    // Requests with the same prefix have the same input size.
    Generator prefixGenerator(kPrefixSeed + arrival.prefix);
    arrival.inputBytes = static_cast<std::uint32_t>(
      kind.hasPrefix ? bytes(prefixGenerator) : bytes(generator_));
    arrival.outputTokens = tokens(generator_);
    if (scenario_.onlyPipeline.empty() ||
        scenario_.onlyPipeline == kind.pipeline) {
      trace_.arrivals.push_back(std::move(arrival));
    }
  }

  const Scenario& scenario_;
  const Workload& workload_;
  Generator generator_;
  boost::random::discrete_distribution<std::size_t> classDistribution_;
  boost::random::discrete_distribution<std::size_t> customerDistribution_;
  Trace trace_;
};

} // namespace

std::vector<std::string> GeneratedTraceNames()
{
  std::vector<std::string> names;
  for (const Scenario& scenario : Scenarios()) {
    names.emplace_back(scenario.name);
  }
  return names;
}

std::optional<Trace> GenerateTrace(std::string_view aName, std::uint64_t aSeed)
{
  const auto scenario = std::ranges::find(Scenarios(), aName, &Scenario::name);
  if (scenario == Scenarios().end()) {
    return std::nullopt;
  }
  return TraceBuilder(*scenario, aSeed).Build();
}

} // namespace gypsum
