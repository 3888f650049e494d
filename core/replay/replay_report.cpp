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

constexpr int kNameWidth = 34;
constexpr int kValueWidth = 14;
/** Allows for the rounding of sums of fractions. */
constexpr double kRounding = 1e-9;

double MillisecondsOf(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

double SecondsOf(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1'000'000;
}

double Share(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

/** The smallest value that `aShare` of all values do not exceed. */
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

struct Tally
{
  double asked = 0;
  double served = 0;
};

struct CostOfStage
{
  Duration useful{};
  Duration repeated{};
  Duration thrownAway{};
};

/** Gives out a sum by weight, to nobody more than it asked. */
std::map<std::string, double> ShareOut(
  double aSum,
  const std::map<std::string, Tally>& aTallies,
  const Manifest& aManifest)
{
  std::map<std::string, double> shares;
  while (aSum > kRounding) {
    double weights = 0;
    for (const auto& [name, tally] : aTallies) {
      weights += shares[name] < tally.asked - kRounding
                   ? aManifest.FindCustomer(name)->weight
                   : 0;
    }
    if (weights == 0) {
      break;
    }
    double given = 0;
    for (const auto& [name, tally] : aTallies) {
      const double offer =
        aSum * aManifest.FindCustomer(name)->weight / weights;
      const double taken = std::min(offer, tally.asked - shares[name]);
      shares[name] += taken;
      given += taken;
    }
    aSum -= given;
  }
  return shares;
}

/** Works the figures of one replay out. */
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
    AddAttainment(BestPossible(trace_, manifest_));
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
  const auto asked = static_cast<double>(record_.requests.size());
  Add("requests", asked);
  Add("in-time", inTime);
  Add("unanswered",
      static_cast<double>(std::ranges::count(
        record_.requests, false, &ReplayedRequest::isAnswered)));
  Add("attainment", Share(inTime, asked));
  Add("attainment-admitted", Share(inTime, asked - refused));
  Add("attainment-of-best", Share(inTime, static_cast<double>(aBest)));
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
      groups[group].asked += 1;
      groups[group].served += record_.requests[index].IsInTime() ? 1 : 0;
    }
  }
  for (const auto& [name, tally] : groups) {
    Add("attainment." + name, Share(tally.served, tally.asked));
  }
}

void ReportBuilder::AddCost()
{
  std::map<std::string, CostOfStage> costs;
  std::map<std::pair<std::size_t, std::string>, bool> wasRun;
  CostOfStage sum;
  for (const ReplayedCall& call : record_.calls) {
    CostOfStage& cost = costs[call.stage];
    if (!record_.requests[call.request].IsInTime()) {
      cost.thrownAway += call.work;
      sum.thrownAway += call.work;
    } else if (call.isCutOff ||
               std::exchange(wasRun[{ call.request, call.stage }], true)) {
      cost.repeated += call.work;
      sum.repeated += call.work;
    } else {
      cost.useful += call.work;
      sum.useful += call.work;
    }
  }
  const Duration wasted = sum.repeated + sum.thrownAway;
  Add("wasted", Share(SecondsOf(wasted), SecondsOf(wasted + sum.useful)));
  Add("extra-calls",
      Share(static_cast<double>(record_.resentStages),
            static_cast<double>(record_.sentStages)));
  for (const auto& [stage, cost] : costs) {
    Add("cost-s." + stage + ".useful", SecondsOf(cost.useful));
    Add("cost-s." + stage + ".repeated", SecondsOf(cost.repeated));
    Add("cost-s." + stage + ".thrown-away", SecondsOf(cost.thrownAway));
  }
}

void ReportBuilder::AddShares()
{
  std::map<std::string, Tally> tallies;
  double sum = 0;
  for (std::size_t index = 0; index < record_.requests.size(); ++index) {
    const TraceArrival& arrival = trace_.arrivals[index];
    const double work = WorkOf(arrival, manifest_).slotMs;
    const double served = record_.requests[index].IsInTime() ? work : 0;
    tallies[arrival.customer].asked += work;
    tallies[arrival.customer].served += served;
    sum += served;
  }
  double least = 1;
  for (const auto& [name, share] : ShareOut(sum, tallies, manifest_)) {
    const double kept = share > 0 ? tallies[name].served / share : 1;
    least = std::min(least, kept);
    Add("share-kept." + name, kept);
  }
  Add("least-share", least);
}

void ReportBuilder::AddRefusals()
{
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
  std::vector<double> firstTokens;
  std::vector<double> tokens;
  for (std::size_t index = 0; index < record_.requests.size(); ++index) {
    const ReplayedRequest& request = record_.requests[index];
    if (!request.IsInTime()) {
      continue;
    }
    const double elapsed = MillisecondsOf(request.elapsed);
    times[""].push_back(elapsed);
    times["." + trace_.arrivals[index].pipeline].push_back(elapsed);
    if (request.token > Duration::zero()) {
      firstTokens.push_back(MillisecondsOf(request.firstToken));
      tokens.push_back(MillisecondsOf(request.token));
    }
  }
  for (const auto& [name, values] : times) {
    Add("p50-ms" + name, Percentile(values, 0.5));
    Add("p95-ms" + name, Percentile(values, 0.95));
    Add("p99-ms" + name, Percentile(values, 0.99));
  }
  double shared = 0;
  double cached = 0;
  for (std::size_t index = 0; index < record_.requests.size(); ++index) {
    const bool hasGenerated =
      record_.requests[index].token > Duration::zero() &&
      trace_.arrivals[index].prefix != 0;
    shared += hasGenerated ? 1 : 0;
    cached += hasGenerated ? record_.requests[index].cachedShare : 0;
  }
  Add("cached-share", Share(cached, shared));
  Add("first-token-ms.p95", Percentile(firstTokens, 0.95));
  Add("between-tokens-ms.p95", Percentile(tokens, 0.95));
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
  std::vector<TraceExpectation> missed;
  std::ranges::copy_if(aExpectations,
                       std::back_inserter(missed),
                       [&](const TraceExpectation& aExpectation) {
                         const auto value = Find(aExpectation.figure);
                         return !value ||
                                (aExpectation.isAtLeast
                                   ? *value < aExpectation.bound - kRounding
                                   : *value > aExpectation.bound + kRounding);
                       });
  return missed;
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
