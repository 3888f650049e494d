#pragma once

#include "tests/support/deployment.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>

namespace gypsum::tests {

class FleetFixture
{
protected:
  FleetFixture() { fleet_.StartAll(); }

  Deployment fleet_;
};

TEST_CASE_FIXTURE(FleetFixture,
                  "[WholePath] a pipeline with a booking completes")
{
  // An owner refuses keys that are not newer than its start, so retry with new
  // keys.
  std::string key;
  CallerResponse response;
  const bool isComplete = WaitUntil([&] {
    key = FreshKey();
    response = fleet_.Post(fleet_.Entry(0), "hold", key, "mai");
    return response.outcome == "complete";
  });
  REQUIRE(isComplete);
  CHECK(response.status == 200);
  CHECK(response.body == "confirm(draft(mai))");
  CHECK(fleet_.Executions("booking", key) == 1);

  SUBCASE("the same key through another entry returns the recorded outcome")
  {
    const CallerResponse repeated =
      fleet_.Post(fleet_.Entry(1), "hold", key, "mai");
    CHECK(repeated.body == response.body);
    CHECK(fleet_.Executions("booking", key) == 1);
  }
  SUBCASE("the same key with another body is refused as a conflict")
  {
    const CallerResponse repeated =
      fleet_.Post(fleet_.Entry(1), "book", key, "other");
    CHECK(repeated.status == 409);
    CHECK(repeated.error == "key-conflict");
  }
}

TEST_CASE_FIXTURE(FleetFixture,
                  "[WholePath] a repeatable pipeline completes after an "
                  "agent was killed")
{
  fleet_.Replica("writer-1").agent->Signal(SIGKILL);
  const bool isComplete = WaitUntil([&] {
    return fleet_.Post(fleet_.Entry(0), "answer", "", "hello").body ==
           "generate(encode(hello))";
  });
  CHECK(isComplete);
}

TEST_CASE_FIXTURE(FleetFixture,
                  "[WholePath] a stopped entry finishes its requests")
{
  for (const auto& replica : fleet_.Replicas()) {
    fleet_.Get(replica->backendAddress, "/control/set?delay_ms=500");
  }
  auto response = std::async(std::launch::async, [&] {
    return fleet_.Post(fleet_.Entry(0), "answer", "", "slow");
  });
  REQUIRE(WaitUntil([&] {
    return fleet_.Get(fleet_.Entry(0).httpAddress, "/dump")
             .find("requests: 1") != std::string::npos;
  }));
  fleet_.Entry(0).process->Signal(SIGTERM);
  CHECK(response.get().body == "generate(encode(slow))");
  CHECK(fleet_.Entry(0).process->Wait() == 0);
}

} // namespace gypsum::tests
