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
                  "[WholePath] a pipeline with a booking is answered whole")
{
  // Keys as old as their owner's start are refused, so wait for a newer one.
  std::string key;
  CallerResponse answer;
  const bool isComplete = WaitUntil([&] {
    key = FreshKey();
    answer = fleet_.Post(fleet_.Entry(0), "hold", key, "mai");
    return answer.outcome == "complete";
  });
  REQUIRE(isComplete);
  CHECK(answer.status == 200);
  CHECK(answer.body == "confirm(draft(mai))");
  CHECK(fleet_.Executions("booking", key) == 1);

  SUBCASE("the same key through another entry gets the recorded outcome")
  {
    const CallerResponse again =
      fleet_.Post(fleet_.Entry(1), "hold", key, "mai");
    CHECK(again.body == answer.body);
    CHECK(fleet_.Executions("booking", key) == 1);
  }
  SUBCASE("the same key with another body is refused as a conflict")
  {
    const CallerResponse again =
      fleet_.Post(fleet_.Entry(1), "book", key, "other");
    CHECK(again.status == 409);
    CHECK(again.error == "key-conflict");
  }
}

TEST_CASE_FIXTURE(FleetFixture,
                  "[WholePath] a repeatable pipeline survives a killed agent")
{
  fleet_.Replica("writer-1").agent->Signal(SIGKILL);
  const bool isComplete = WaitUntil([&] {
    return fleet_.Post(fleet_.Entry(0), "answer", "", "hello").body ==
           "generate(encode(hello))";
  });
  CHECK(isComplete);
}

TEST_CASE_FIXTURE(FleetFixture,
                  "[WholePath] a stopped entry finishes what it holds")
{
  for (const auto& replica : fleet_.Replicas()) {
    fleet_.Get(replica->backendAddress, "/control/set?delay_ms=500");
  }
  auto answer = std::async(std::launch::async, [&] {
    return fleet_.Post(fleet_.Entry(0), "answer", "", "slow");
  });
  REQUIRE(WaitUntil([&] {
    return fleet_.Get(fleet_.Entry(0).httpAddress, "/dump")
             .find("requests: 1") != std::string::npos;
  }));
  fleet_.Entry(0).process->Signal(SIGTERM);
  CHECK(answer.get().body == "generate(encode(slow))");
  CHECK(fleet_.Entry(0).process->Wait() == 0);
}

} // namespace gypsum::tests
