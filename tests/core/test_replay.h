#pragma once

#include "core/replay/replay_report.h"
#include "core/replay/replay_runner.h"
#include "core/replay/trace_generator.h"
#include "tests/support/read_file.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace gypsum::tests {

/** The traces of tests/traces with the manifests beside them. */
class ReplayFixture
{
protected:
  static Trace TraceOf(const std::string& aName)
  {
    return std::get<Trace>(
      ParseTrace(ReadFile("tests/traces/" + aName + ".trace")));
  }
  static ManifestPtr ManifestOf(const Trace& aTrace)
  {
    return std::get<ManifestPtr>(
      ParseManifest(ReadFile("tests/traces/" + aTrace.manifest)));
  }
  static ReplayReport ReportOf(const std::string& aName,
                               const std::string& aPolicy)
  {
    const Trace trace = TraceOf(aName);
    const ManifestPtr manifest = ManifestOf(trace);
    return ReplayReport(
      trace,
      *manifest,
      ReplayRunner(trace, manifest, ParsePolicy(aPolicy).value()).Run());
  }
  /** Every expectation in the head of the trace. */
  static void CheckOutcomes(const std::string& aName)
  {
    const Trace trace = TraceOf(aName);
    const ReplayReport report = ReportOf(aName, "default");
    REQUIRE(!trace.expectations.empty());
    CHECK(report.Find("unanswered") == 0);
    for (const TraceExpectation& missed :
         report.FindUnmet(trace.expectations)) {
      FAIL_CHECK(missed.figure << ": expected a bound of " << missed.bound
                               << ", got "
                               << report.Find(missed.figure).value_or(0.0));
    }
  }
};

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] every committed trace is the one its seed makes")
{
  for (const std::string& name : GeneratedTraceNames()) {
    CAPTURE(name);
    const std::string text = ReadFile("tests/traces/" + name + ".trace");
    CHECK(ToText(GenerateTrace(name, 1).value()) == text);
    CHECK(ToText(std::get<Trace>(ParseTrace(text))) == text);
  }
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] a faulty trace is refused with its lines")
{
  const auto result = ParseTrace("gypsumstream-trace 1\n"
                                 "manifest x.ini\n"
                                 "expect wasted = 1\n"
                                 "20 ask atelier hold 10 many 0\n"
                                 "10 slow writer-1 4\n"
                                 "30 explode writer-1\n");
  const auto& faults = std::get<Faults>(result);
  std::vector<unsigned> lines;
  std::ranges::transform(faults, std::back_inserter(lines), &Fault::line);
  CHECK(lines == std::vector<unsigned>{ 3, 4, 5, 6 });
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] the same trace and policy give the same figures")
{
  const ReplayReport first = ReportOf("laurentide-stragglers", "default");
  const ReplayReport second = ReportOf("laurentide-stragglers", "default");
  CHECK(std::ranges::equal(
    first.Figures(), second.Figures(), {}, &Figure::value, &Figure::value));
  CHECK(first.Find("unanswered") == 0);
}

TEST_CASE_FIXTURE(ReplayFixture, "[Replay] circle-3x keeps its stated outcomes")
{
  CheckOutcomes("circle-3x");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] circle-blind keeps its stated outcomes")
{
  CheckOutcomes("circle-blind");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] circle-dead-frozen keeps its stated outcomes")
{
  CheckOutcomes("circle-dead-frozen");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] circle-shift keeps its stated outcomes")
{
  CheckOutcomes("circle-shift");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] circle-steady keeps its stated outcomes")
{
  CheckOutcomes("circle-steady");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] circle-zone-lost keeps its stated outcomes")
{
  CheckOutcomes("circle-zone-lost");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-1.5x keeps its stated outcomes")
{
  CheckOutcomes("laurentide-1.5x");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-1x keeps its stated outcomes")
{
  CheckOutcomes("laurentide-1x");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-3x keeps its stated outcomes")
{
  CheckOutcomes("laurentide-3x");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-bursts keeps its stated outcomes")
{
  CheckOutcomes("laurentide-bursts");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-chat-alone keeps its stated outcomes")
{
  CheckOutcomes("laurentide-chat-alone");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-steady keeps its stated outcomes")
{
  CheckOutcomes("laurentide-steady");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-stragglers keeps its stated outcomes")
{
  CheckOutcomes("laurentide-stragglers");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] goodput at 3x overload stays near that at 1x")
{
  const auto goodput = [](const std::string& aName) {
    return ReportOf(aName, "default").Find("in-time").value();
  };
  CHECK(goodput("laurentide-3x") >= 0.9 * goodput("laurentide-1x"));
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] quick questions beside long inputs take at most "
                  "half longer than alone")
{
  const auto slowest = [](const std::string& aName) {
    return ReportOf(aName, "default").Find("p99-ms.chat").value();
  };
  CHECK(slowest("laurentide-steady") <= 1.5 * slowest("laurentide-chat-alone"));
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] the policy beats every baseline on one trace")
{
  const double attained =
    ReportOf("laurentide-steady", "default").Find("attainment").value();
  for (const char* const baseline :
       { "random", "round-robin", "least-outstanding", "power-of-two" }) {
    CAPTURE(baseline);
    CHECK(ReportOf("laurentide-steady", baseline).Find("attainment").value() <
          attained);
  }
}

} // namespace gypsum::tests
