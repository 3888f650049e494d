#include "core/replay/replay_report.h"

#include "core/replay/best_possible.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <map>
#include <numeric>
#include <utility>

namespace gypsum {

namespace {

// Widths of the columns, in characters.
constexpr int kNameWidth = 34;
constexpr int kValueWidth = 14;
/** Tolerance for rounding errors in sums of fractions. */
constexpr double kRoundingTolerance = 1e-9;

double MillisecondsOf(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

double SecondsOf(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1'000'000;
}

double Ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

/** Nearest-rank percentile for a share from 0 to 1; zero without values. */
double Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(
    std::ceil(aShare * static_cast<double>(aValues.size())));
  const auto at = aValues.begin() + (std::max(rank, std::ptrdiff_t{ 1 }) - 1);
  std::ranges::nth_element(aValues, at);
  return *at;
}

/** Number or work of the requests of a group: all, and those served in time. */
struct Tally
{
  double requested = 0;
  double served = 0;
};

/** Processing time of one stage at the backend servers, over all requests. */
struct StageCost
{
  /** First complete execution for each request that was served in time. */
  Duration useful{};
  /** Interrupted calls and later executions for the same requests. */
  Duration repeated{};
  /** All calls for requests that were not served in time. */
  Duration discarded{};
};

/**
 * Divides a sum among customers by weighted max-min fairness: no customer gets
 * more than requested, and the remainder is divided among the others by weight.
 */
std::map<std::string, double> DivideFairly(
  double aSum,
  const std::map<std::string, Tally>& aTallies,
  const Manifest& aManifest)
{
  std::map<std::string, double> shares;
  while (aSum > kRoundingTolerance) {
    double weights = 0;
    for (const auto& [name, tally] : aTallies) {
      weights += shares[name] < tally.requested - kRoundingTolerance
                   ? aManifest.FindCustomer(name)->weight
                   : 0;
    }
    if (weights == 0) {
      break;
    }
    double allocated = 0;
    for (const auto& [name, tally] : aTallies) {
      const double fairShare =
        aSum * aManifest.FindCustomer(name)->weight / weights;
      const double increase =
        std::min(fairShare, tally.requested - shares[name]);
      shares[name] += increase;
      allocated += increase;
    }
    aSum -= allocated;
  }
  return shares;
}

/** Computes the figures of one replay. */
class ReportBuilder
{
public:
  ReportBuilder(const Trace& aTrace,
                const Manifest& aManifest,
                const ReplayRecord& aRecord)
    : trace_(aTrace)
    , manifest_(aManifest)
    , record_(aRecord)
  {
  }

  std::vector<Figure> Build()
  {
    AddAttainment(BestPossibleCount(trace_, manifest_));
    AddGroups();
    AddCost();
    AddShares();
    AddRefusals();
    AddTimes();
    return std::move(figures_);
  }

private:
  void AddAttainment(std::size_t aBest);
  void AddGroups();
  void AddCost();
  void AddShares();
  void AddRefusals();
  void AddTimes();
  void Add(std::string aName, double aValue);

  const Trace& trace_;
  const Manifest& manifest_;
  const ReplayRecord& record_;
  std::vector<Figure> figures_;
};

void ReportBuilder::Add(std::string aName, double aValue)
{
  figures_.push_back({ std::move(aName), aValue });
}

void ReportBuilder::AddAttainment(std::size_t aBest)
{
  const auto inTime = static_cast<double>(
    std::ranges::count_if(record_.requests, &ReplayedRequest::IsInTime));
  const auto refused = static_cast<double>(
    std::ranges::count_if(record_.requests, [](const ReplayedRequest& aItem) {
      return aItem.isAnswered && aItem.outcome == Outcome::NotRun;
    }));
  const auto requested = static_cast<double>(record_.requests.size());
  Add("requests", requested);
  Add("in-time", inTime);
  Add("unanswered",
      static_cast<double>(std::ranges::count(
        record_.requests, false, &ReplayedRequest::isAnswered)));
  Add("attainment", Ratio(inTime, requested));
  Add("attainment-admitted", Ratio(inTime, requested - refused));
  Add("attainment-of-best", Ratio(inTime, static_cast<double>(aBest)));
}

void ReportBuilder::AddGroups()
{
  std::map<std::string, Tally> groups;
  for (std::size_t index = 0; index < record_.requests.size(); ++index) {
    const TraceArrival& arrival = trace_.arrivals[index];
    const Pipeline& pipeline = *manifest_.FindPipeline(arrival.pipeline);
    for (const std::string& group :
         { "pipeline." + arrival.pipeline,
           "customer." + arrival.customer,
           "priority." + std::to_string(pipeline.priority) }) {
      groups[group].requested += 1;
      groups[group].served += record_.requests[index].IsInTime() ? 1 : 0;
    }
  }
  for (const auto& [name, tally] : groups) {
    Add("attainment." + name, Ratio(tally.served, tally.requested));
  }
}

void ReportBuilder::AddCost()
{
  std::map<std::string, StageCost> costs;
  std::map<std::pair<std::size_t, std::string>, bool> executedStages;
  StageCost sum;
  for (const ReplayedCall& call : record_.calls) {
    StageCost& cost = costs[call.stage];
    if (!record_.requests[call.request].IsInTime()) {
      cost.discarded += call.work;
      sum.discarded += call.work;
    } else if (call.isInterrupted ||
               std::exchange(executedStages[{ call.request, call.stage }],
                             true)) {
      cost.repeated += call.work;
      sum.repeated += call.work;
    } else {
      cost.useful += call.work;
      sum.useful += call.work;
    }
  }
  const Duration wasted = sum.repeated + sum.discarded;
  Add("wasted", Ratio(SecondsOf(wasted), SecondsOf(wasted + sum.useful)));
  Add("extra-calls",
      Ratio(static_cast<double>(record_.retriedStages),
            static_cast<double>(record_.sentStages)));
  for (const auto& [stage, cost] : costs) {
    Add("cost-s." + stage + ".useful", SecondsOf(cost.useful));
    Add("cost-s." + stage + ".repeated", SecondsOf(cost.repeated));
    Add("cost-s." + stage + ".thrown-away", SecondsOf(cost.discarded));
  }
}

void ReportBuilder::AddShares()
{
  std::map<std::string, Tally> tallies;
  double sum = 0;
  for (std::size_t index = 0; index < record_.requests.size(); ++index) {
    const TraceArrival& arrival = trace_.arrivals[index];
    const double work = EngineWorkOf(arrival, manifest_).slotMs;
    const double served = record_.requests[index].IsInTime() ? work : 0;
    tallies[arrival.customer].requested += work;
    tallies[arrival.customer].served += served;
    sum += served;
  }
  double minServedShare = 1;
  for (const auto& [name, share] : DivideFairly(sum, tallies, manifest_)) {
    const double servedShare = share > 0 ? tallies[name].served / share : 1;
    minServedShare = std::min(minServedShare, servedShare);
    Add("share-kept." + name, servedShare);
  }
  Add("least-share", minServedShare);
}

void ReportBuilder::AddRefusals()
{
  // The `refused.` figures count every answered request whose outcome is not
  // `complete`, so failed and unknown outcomes are included.
  std::map<std::string, double> counts;
  std::vector<double> retryAfter;
  for (const ReplayedRequest& request : record_.requests) {
    if (request.isAnswered && request.outcome != Outcome::Complete) {
      ++counts[std::string(NameOf(request.outcome)) + "." +
               std::string(ErrorResponseOf(request.error).name)];
      retryAfter.push_back(MillisecondsOf(request.retryAfter));
    }
  }
  for (const auto& [name, count] : counts) {
    Add("refused." + name, count);
  }
  Add("retry-after-ms.p50", Percentile(retryAfter, 0.5));
  Add("retry-after-ms.p99", Percentile(retryAfter, 0.99));
}

void ReportBuilder::AddTimes()
{
  std::map<std::string, std::vector<double>> times;
  std::vector<double> timesToFirstToken;
  std::vector<double> tokenIntervals;
  for (std::size_t index = 0; index < record_.requests.size(); ++index) {
    const ReplayedRequest& request = record_.requests[index];
    if (!request.IsInTime()) {
      continue;
    }
    const double elapsed = MillisecondsOf(request.elapsed);
    times[""].push_back(elapsed);
    times["." + trace_.arrivals[index].pipeline].push_back(elapsed);
    if (request.tokenInterval > Duration::zero()) {
      timesToFirstToken.push_back(MillisecondsOf(request.timeToFirstToken));
      tokenIntervals.push_back(MillisecondsOf(request.tokenInterval));
    }
  }
  for (const auto& [name, values] : times) {
    Add("p50-ms" + name, Percentile(values, 0.5));
    Add("p95-ms" + name, Percentile(values, 0.95));
    Add("p99-ms" + name, Percentile(values, 0.99));
  }
  double prefixGenerations = 0;
  double cachedShareSum = 0;
  for (std::size_t index = 0; index < record_.requests.size(); ++index) {
    const bool isPrefixGeneration =
      record_.requests[index].tokenInterval > Duration::zero() &&
      trace_.arrivals[index].prefix != 0;
    prefixGenerations += isPrefixGeneration ? 1 : 0;
    cachedShareSum +=
      isPrefixGeneration ? record_.requests[index].cachedShare : 0;
  }
  Add("cached-share", Ratio(cachedShareSum, prefixGenerations));
  Add("first-token-ms.p95", Percentile(timesToFirstToken, 0.95));
  Add("between-tokens-ms.p95", Percentile(tokenIntervals, 0.95));
}

} // namespace

ReplayReport::ReplayReport(const Trace& aTrace,
                           const Manifest& aManifest,
                           const ReplayRecord& aRecord)
  : figures_(ReportBuilder(aTrace, aManifest, aRecord).Build())
{
}

std::optional<double> ReplayReport::Find(std::string_view aName) const
{
  const auto found = std::ranges::find(figures_, aName, &Figure::name);
  return found == figures_.end() ? std::nullopt : std::optional(found->value);
}

std::vector<TraceExpectation> ReplayReport::FindUnmet(
  std::span<const TraceExpectation> aExpectations) const
{
  std::vector<TraceExpectation> unmet;
  std::ranges::copy_if(
    aExpectations,
    std::back_inserter(unmet),
    [&](const TraceExpectation& aExpectation) {
      const auto value = Find(aExpectation.figure);
      return !value || (aExpectation.isAtLeast
                          ? *value < aExpectation.bound - kRoundingTolerance
                          : *value > aExpectation.bound + kRoundingTolerance);
    });
  return unmet;
}

void WriteComparison(std::ostream& aOut, std::span<const NamedReport> aReports)
{
  std::vector<std::string> names;
  aOut << std::left << std::setw(kNameWidth) << "figure" << std::right;
  for (const NamedReport& report : aReports) {
    aOut << "  " << std::setw(kValueWidth) << report.policy;
    for (const Figure& figure : report.report.Figures()) {
      if (std::ranges::find(names, figure.name) == names.end()) {
        names.push_back(figure.name);
      }
    }
  }
  aOut << '\n' << std::fixed << std::setprecision(3);
  for (const std::string& name : names) {
    aOut << std::left << std::setw(kNameWidth) << name << std::right;
    for (const NamedReport& report : aReports) {
      const int width =
        std::max(kValueWidth, static_cast<int>(report.policy.size()));
      aOut << "  " << std::setw(width)
           << report.report.Find(name).value_or(0.0);
    }
    aOut << '\n';
  }
}

} // namespace gypsum
