#pragma once

#include "tests/support/child_process.h"
#include "tests/support/deployment.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <string>
#include <vector>

namespace gypsum::tests {

/** Result of one run of the program. */
struct ProgramRun
{
  int code = 0;
  std::string standardError;
};

/** Runs the program with input files in a temporary folder. */
class CommandLineFixture
{
protected:
  CommandLineFixture()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "gypsum-cli-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
  }
  ~CommandLineFixture() { std::filesystem::remove_all(folder_); }

  std::string Write(const std::string& aName, const std::string& aText)
  {
    std::string path = (folder_ / aName).string();
    std::ofstream(path) << aText;
    return path;
  }

  ProgramRun Run(const std::vector<std::string>& aArguments)
  {
    const std::string log =
      (folder_ / ("errors-" + std::to_string(++runs_))).string();
    ProgramRun run;
    run.code = ChildProcess(GYPSUM_BINARY, aArguments, log).Wait();
    std::ostringstream text;
    text << std::ifstream(log).rdbuf();
    run.standardError = text.str();
    return run;
  }

  std::filesystem::path folder_;
  int runs_ = 0;
};

inline bool Contains(const std::string& aText, const std::string& aExpected)
{
  const bool isFound = aText.find(aExpected) != std::string::npos;
  if (!isFound) {
    MESSAGE("expected '" << aExpected << "' in: " << aText);
  }
  return isFound;
}

TEST_CASE_FIXTURE(CommandLineFixture,
                  "[CommandLine] a usage error exits with 2 and names the "
                  "wrong argument")
{
  CHECK(Run({ "--help" }).code == 0);
  CHECK(Run({ "--version" }).code == 0);
  CHECK(Run({ "dump", "--help" }).code == 0);
  CHECK(Run({}).code == 2);
  const std::vector<std::pair<std::vector<std::string>, std::string>>
    invalidCalls{
      { { "serve" }, "'serve'" },
      { { "check" }, "files" },
      { { "dump", "--jason", "127.0.0.1:1" }, "--jason" },
      { { "dump", "nowhere" }, "address" },
      { { "entry", "a.ini", "b.ini" }, "b.ini" },
    };
  for (const auto& [arguments, expected] : invalidCalls) {
    const ProgramRun run = Run(arguments);
    CHECK(run.code == 2);
    CHECK(Contains(run.standardError, expected));
  }
}

TEST_CASE_FIXTURE(CommandLineFixture,
                  "[CommandLine] check reports all faults of all files at once")
{
  const std::string settings = Write("entry.ini",
                                     "[process]\n"
                                     "role = entry\n"
                                     "name = entry-1\n"
                                     "zone = zone-a\n"
                                     "zone = zone-b\n"
                                     "[network]\n"
                                     "http = 127.0.0.1:70000\n"
                                     "peer = 127.0.0.1:7001\n"
                                     "[limits]\n"
                                     "requests = many\n"
                                     "colour = blue\n");
  const std::string manifest = Write("manifest.ini",
                                     "[manifest]\n"
                                     "name = m\n"
                                     "revision = 0\n"
                                     "[zones]\n"
                                     "zone-a = home\n"
                                     "[customers]\n"
                                     "atelier = 1\n"
                                     "[pipeline.p]\n"
                                     "deadline_ms = 100\n"
                                     "stages = draft\n");
  const ProgramRun run =
    Run({ "check", settings, (folder_ / "none.ini").string(), manifest });
  CHECK(run.code == 1);
  CHECK(Contains(run.standardError,
                 settings + ":5: process/zone: expected each key"));
  CHECK(
    Contains(run.standardError, ":7: network/http: expected IPv4:PORT, found"));
  CHECK(Contains(run.standardError,
                 ":10: limits/requests: expected a whole number"));
  CHECK(Contains(run.standardError,
                 ":11: limits/colour: expected one of body_bytes"));
  CHECK(Contains(run.standardError, "none.ini: cannot be read"));
  CHECK(Contains(run.standardError,
                 manifest + ":3: manifest/revision: expected a"));
  CHECK(
    Contains(run.standardError, ":10: pipeline.p/stages: expected a [stage."));
}

TEST_CASE_FIXTURE(CommandLineFixture,
                  "[CommandLine] the committed examples are valid")
{
  for (const auto& file :
       std::filesystem::recursive_directory_iterator("examples")) {
    if (file.path().extension() == ".ini") {
      CHECK(Run({ "check", file.path().string() }).code == 0);
    }
  }
}

TEST_CASE_FIXTURE(CommandLineFixture,
                  "[CommandLine] a role refuses the settings file of the "
                  "other role")
{
  const ProgramRun run =
    Run({ "agent", "examples/laurentide-qc-est/entry.ini" });
  CHECK(run.code == 1);
  CHECK(Contains(run.standardError,
                 ":3: process/role: expected agent, found 'entry'"));
}

TEST_CASE("[Operators] a request shows in log, metrics and dump, and "
          "a stop shows in readiness")
{
  Deployment fleet;
  fleet.StartAll();
  const std::string& http = fleet.Entry(0).httpAddress;
  REQUIRE(fleet.Post(fleet.Entry(0), "answer", "", "hi").outcome == "complete");
  REQUIRE(fleet.Post(fleet.Entry(0), "none", "", "hi").status == 404);
  const std::string log = fleet.LogOf("entry-1");
  CHECK(
    Contains(log, " entry-1 info [entry] answered request=atelier/entry-1."));
  CHECK(Contains(log, " pipeline=answer outcome=complete error=none elapsed"));
  CHECK(Contains(log, "[entry] stage replied attempt=atelier/entry-1."));
  CHECK(Contains(fleet.LogOf("writer-1") + fleet.LogOf("writer-2"),
                 "[agent] replied attempt=atelier/entry-1."));
  const std::string metrics = fleet.Get(http, "/metrics");
  CHECK(Contains(metrics,
                 "gypsum_request_duration_seconds_count{pipeline=\"answer\","
                 "outcome=\"complete\",error=\"none\"} 1\n"));
  CHECK(Contains(metrics,
                 "gypsum_request_duration_seconds_count{pipeline=\"other\","
                 "outcome=\"not-run\",error=\"unknown-pipeline\"} 1\n"));
  CHECK(Contains(metrics,
                 "gypsum_customer_request_duration_seconds_count{"
                 "customer=\"atelier\",outcome=\"complete\"} 1\n"));
  CHECK(Contains(metrics,
                 "gypsum_stage_service_seconds_count{pipeline=\"answer\","
                 "stage=\"encode\",outcome=\"complete\"} 1\n"));
  CHECK(Contains(metrics, "gypsum_peers_bytes_sent "));
  CHECK(fleet.Get(http, "/healthz") == "alive\n");
  CHECK(fleet.Get(http, "/readyz") == "ready\n");
  CHECK(Contains(fleet.Get(http, "/dump"), "complete: 1"));
  CHECK(Contains(fleet.Get(http, "/dump"), "retry_budget: "));
  CHECK(Contains(fleet.Get(fleet.Replica("writer-1").httpAddress, "/metrics"),
                 "gypsum_agent_executed "));
  for (const auto& replica : fleet.Replicas()) {
    fleet.Get(replica->backendAddress, "/control/set?frozen=1");
  }
  auto held = std::async(std::launch::async, [&] {
    return fleet.Post(fleet.Entry(0), "answer", "", "held");
  });
  REQUIRE(WaitUntil([&] {
    return fleet.Get(http, "/dump").find("requests: 1") != std::string::npos;
  }));
  REQUIRE(WaitUntil([&] {
    const std::string dumps =
      fleet.Get(fleet.Replica("writer-1").httpAddress, "/dump") +
      fleet.Get(fleet.Replica("writer-2").httpAddress, "/dump");
    return dumps.find("operation: \"/encode\"") != std::string::npos;
  }));
  const std::string dump = fleet.Get(http, "/dump");
  CHECK(Contains(dump, "pipeline: \"answer\""));
  CHECK(Contains(dump, "stage: \"encode\""));
  CHECK(Contains(dump, "heard_ms_ago: "));
  fleet.Entry(0).process->Signal(SIGTERM);
  CHECK(WaitUntil([&] { return fleet.Get(http, "/readyz").empty(); }));
  CHECK(fleet.Get(http, "/healthz") == "alive\n");
  CHECK(fleet.Post(fleet.Entry(0), "answer", "", "new").error == "stopping");
  for (const auto& replica : fleet.Replicas()) {
    fleet.Get(replica->backendAddress, "/control/set?frozen=0");
  }
  CHECK(held.get().outcome == "complete");
  CHECK(fleet.Entry(0).process->Wait() == 0);
}

} // namespace gypsum::tests
