#include "main/replay_command.h"

#include "core/replay/replay_report.h"
#include "core/replay/replay_runner.h"
#include "core/replay/svg_plot.h"
#include "core/replay/trace_generator.h"
#include "main/commands.h"
#include "main/trace_files.h"

#include <fstream>
#include <iostream>
#include <optional>

namespace gypsum {

namespace {

int PrintGenerated(const std::string& aName, std::uint64_t aSeed)
{
  const auto trace = GenerateTrace(aName, aSeed);
  if (!trace) {
    std::cerr << "expected the name of a trace, got '" << aName << "'; known:";
    for (const std::string& name : GeneratedTraceNames()) {
      std::cerr << ' ' << name;
    }
    std::cerr << '\n';
    return kExitUsage;
  }
  std::cout << ToText(*trace);
  return kExitOk;
}

/** Prints the expectations that a policy misses; returns the exit code. */
int CheckExpectations(const Trace& aTrace, const NamedReport& aReport)
{
  const auto missed = aReport.report.FindUnmet(aTrace.expectations);
  for (const TraceExpectation& expectation : missed) {
    std::cout << "MISSED " << aReport.policy << ": " << expectation.figure
              << (expectation.isAtLeast ? " >= " : " <= ") << expectation.bound
              << ", got "
              << aReport.report.Find(expectation.figure).value_or(0.0) << '\n';
  }
  if (missed.empty()) {
    std::cout << aReport.policy << ": every stated outcome is kept\n";
  }
  return missed.empty() ? kExitOk : kExitFailure;
}

int RunPolicies(const Trace& aTrace,
                const ManifestPtr& aManifest,
                const std::vector<std::string>& aPolicies,
                const std::string& aPlot)
{
  std::vector<NamedReport> reports;
  std::vector<NamedRecord> records;
  reports.reserve(aPolicies.size());
  records.reserve(aPolicies.size());
  for (const std::string& name : aPolicies) {
    const auto policy = ParsePolicy(name);
    if (!policy) {
      std::cerr << "expected a policy, got '" << name << "'\n";
      return kExitUsage;
    }
    records.push_back({ name, ReplayRunner(aTrace, aManifest, *policy).Run() });
  }
  for (const NamedRecord& record : records) {
    reports.push_back(
      { record.policy, ReplayReport(aTrace, *aManifest, record.record) });
  }
  WriteComparison(std::cout, reports);
  if (!aPlot.empty()) {
    std::ofstream out(aPlot);
    WriteSvg(out, aTrace, records);
    if (!out) {
      std::cerr << aPlot << ": cannot be written\n";
      return kExitFailure;
    }
  }
  return CheckExpectations(aTrace, reports.back());
}

} // namespace

int RunReplayCommand(Arguments aArguments)
{
  TCLAP::CmdLine line(
    "Replays a trace over the decisions in virtual time.", ' ', kVersion);
  TCLAP::MultiArg<std::string> policies(
    "p", "policy", "policy to run; the last is judged", false, "NAME", line);
  TCLAP::ValueArg<std::string> plot(
    "", "plot", "picture over time to write", false, "", "FILE.svg", line);
  TCLAP::ValueArg<std::string> generate(
    "g", "generate", "print a trace made from a seed", false, "", "NAME", line);
  TCLAP::ValueArg<std::uint64_t> seed(
    "s", "seed", "seed of the generator", false, 1, "N", line);
  TCLAP::UnlabeledValueArg<std::string> file(
    "trace", "trace to replay", false, "", "TRACE", line);
  Parse(line, aArguments);
  if (generate.isSet()) {
    return PrintGenerated(generate.getValue(), seed.getValue());
  }
  if (!file.isSet()) {
    std::cerr << "expected a trace or --generate, got neither\n";
    return kExitUsage;
  }
  const auto files = ReadTraceFiles(file.getValue());
  if (!files) {
    return kExitFailure;
  }
  std::vector<std::string> names = policies.getValue();
  if (names.empty()) {
    names.emplace_back("default");
  }
  return RunPolicies(files->trace, files->manifest, names, plot.getValue());
}

} // namespace gypsum
