#pragma once

#include "core/replay/replay_report.h"
#include "core/replay/replay_runner.h"
#include "core/replay/trace_generator.h"
#include "tests/support/read_file.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace gypsum::tests {

/** Loads and replays the traces and manifests in tests/traces. */
class ReplayFixture
{
protected:
  static Trace LoadTrace(const std::string& aName)
  {
    return std::get<Trace>(
      ParseTrace(ReadFile("tests/traces/" + aName + ".trace")));
  }
  static ManifestPtr LoadManifest(const Trace& aTrace)
  {
    return std::get<ManifestPtr>(
      ParseManifest(ReadFile("tests/traces/" + aTrace.manifest)));
  }
  static ReplayReport RunReplay(const std::string& aName,
                                const std::string& aPolicy)
  {
    const Trace trace = LoadTrace(aName);
    const ManifestPtr manifest = LoadManifest(trace);
    return ReplayReport(
      trace,
      *manifest,
      ReplayRunner(trace, manifest, ParsePolicy(aPolicy).value()).Run());
  }
  /** Checks that every request got a response and all expectations are met. */
  static void CheckExpectations(const std::string& aName)
  {
    const Trace trace = LoadTrace(aName);
    const ReplayReport report = RunReplay(aName, "default");
    REQUIRE(!trace.expectations.empty());
    CHECK(report.Find("unanswered") == 0);
    for (const TraceExpectation& unmet : report.FindUnmet(trace.expectations)) {
      FAIL_CHECK(unmet.figure << ": expected a bound of " << unmet.bound
                              << ", got "
                              << report.Find(unmet.figure).value_or(0.0));
    }
  }
};

TEST_CASE_FIXTURE(
  ReplayFixture,
  "[Replay] a committed trace equals the one generated from its seed")
{
  for (const std::string& name : GeneratedTraceNames()) {
    CAPTURE(name);
    const std::string text = ReadFile("tests/traces/" + name + ".trace");
    CHECK(ToText(GenerateTrace(name, 1).value()) == text);
    CHECK(ToText(std::get<Trace>(ParseTrace(text))) == text);
  }
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] a malformed trace is refused with all faulty lines")
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

TEST_CASE_FIXTURE(
  ReplayFixture,
  "[Replay] replaying the same trace and policy twice gives the same figures")
{
  const ReplayReport first = RunReplay("laurentide-stragglers", "default");
  const ReplayReport second = RunReplay("laurentide-stragglers", "default");
  CHECK(std::ranges::equal(
    first.Figures(), second.Figures(), {}, &Figure::value, &Figure::value));
  CHECK(first.Find("unanswered") == 0);
}

TEST_CASE_FIXTURE(ReplayFixture, "[Replay] circle-3x meets its expectations")
{
  CheckExpectations("circle-3x");
}

TEST_CASE_FIXTURE(ReplayFixture, "[Replay] circle-blind meets its expectations")
{
  CheckExpectations("circle-blind");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] circle-dead-frozen meets its expectations")
{
  CheckExpectations("circle-dead-frozen");
}

TEST_CASE_FIXTURE(ReplayFixture, "[Replay] circle-shift meets its expectations")
{
  CheckExpectations("circle-shift");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] circle-steady meets its expectations")
{
  CheckExpectations("circle-steady");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] circle-zone-lost meets its expectations")
{
  CheckExpectations("circle-zone-lost");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-1.5x meets its expectations")
{
  CheckExpectations("laurentide-1.5x");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-1x meets its expectations")
{
  CheckExpectations("laurentide-1x");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-3x meets its expectations")
{
  CheckExpectations("laurentide-3x");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-bursts meets its expectations")
{
  CheckExpectations("laurentide-bursts");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-chat-alone meets its expectations")
{
  CheckExpectations("laurentide-chat-alone");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-steady meets its expectations")
{
  CheckExpectations("laurentide-steady");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] laurentide-stragglers meets its expectations")
{
  CheckExpectations("laurentide-stragglers");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] goodput at 3x load is at least 90 % of that at 1x")
{
  const auto goodput = [](const std::string& aName) {
    return RunReplay(aName, "default").Find("in-time").value();
  };
  CHECK(goodput("laurentide-3x") >= 0.9 * goodput("laurentide-1x"));
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "[Replay] chat p99 with other pipelines is at most 1.5 times "
                  "that of chat alone")
{
  const auto p99Ms = [](const std::string& aName) {
    return RunReplay(aName, "default").Find("p99-ms.chat").value();
  };
  CHECK(p99Ms("laurentide-steady") <= 1.5 * p99Ms("laurentide-chat-alone"));
}

TEST_CASE_FIXTURE(
  ReplayFixture,
  "[Replay] the default policy attains more than every baseline")
{
  const double attainment =
    RunReplay("laurentide-steady", "default").Find("attainment").value();
  for (const char* const baseline :
       { "random", "round-robin", "least-outstanding", "power-of-two" }) {
    CAPTURE(baseline);
    CHECK(RunReplay("laurentide-steady", baseline).Find("attainment").value() <
          attainment);
  }
}

} // namespace gypsum::tests
