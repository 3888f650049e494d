#include "core/gateway/stage_plan.h"

#include <doctest/doctest.h>

#include <array>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

/** Stage 0 runs in parallel to the chain of stages 1, 2 and 3. */
const std::vector<RouteStage> kStages{ { "cards", {}, 3'000'000 },
                                       { "cards", {}, 8'000 },
                                       { "fees", { 1 }, 60'000 },
                                       { "mail", { 2 }, 6'000 } };

StageTime FixedTime(std::uint32_t /*aStage*/)
{
  return { milliseconds(100), milliseconds(10) };
}

std::vector<std::string> Handles(const std::string& aName, std::size_t aCount)
{
  std::vector<std::string> handles;
  for (std::size_t piece = 0; piece < aCount; ++piece) {
    handles.push_back("10.0.0.1:1/" + aName + std::to_string(piece));
  }
  return handles;
}

} // namespace

TEST_CASE(
  "[StagePlan] a stage can start when all stages it reads from are done")
{
  const std::array<std::uint32_t, 4> pieces{ 2, 1, 8, 16 };
  StagePlan plan(kStages, pieces);
  CHECK(plan.HasWork());
  CHECK(plan.Ready() == std::vector<std::uint32_t>{ 0, 1 });
  plan.OnStarted(0);
  plan.OnStarted(1);
  CHECK(plan.Ready().empty());
  plan.OnDone(1, Handles("one", 1));
  CHECK(plan.Ready() == std::vector<std::uint32_t>{ 2 });
  CHECK(plan.InputsOf(2) == Handles("one", 1));
  plan.OnDone(2, Handles("two", 8));
  CHECK(plan.Ready() == std::vector<std::uint32_t>{ 3 });
  plan.OnDone(3, Handles("three", 16));
  CHECK_FALSE(plan.IsDone());
  plan.OnDone(0, Handles("zero", 2));
  CHECK(plan.IsDone());
  CHECK(plan.FinalHandles().size() == 18);
}

TEST_CASE("[StagePlan] a stage without pieces is skipped")
{
  const std::array<std::uint32_t, 4> pieces{ 0, 1, 8, 16 };
  StagePlan plan(kStages, pieces);
  CHECK(plan.Ready() == std::vector<std::uint32_t>{ 1 });
  CHECK_FALSE(StagePlan(kStages, {}).HasWork());
  CHECK(StagePlan(kStages, {}).IsDone());
}

TEST_CASE("[StagePlan] results are released when their last reader is done")
{
  const std::array<std::uint32_t, 4> pieces{ 2, 1, 8, 16 };
  StagePlan plan(kStages, pieces);
  plan.OnDone(1, Handles("one", 1));
  CHECK(plan.TakeReleasable().empty());
  plan.OnDone(2, Handles("two", 8));
  const auto released = plan.TakeReleasable();
  REQUIRE(released.size() == 1);
  CHECK(released.front().service == "cards");
  CHECK(released.front().handles == Handles("one", 1));
  CHECK(plan.TakeReleasable().empty());
  plan.OnDone(0, Handles("zero", 2));
  const auto unreleased = plan.TakeAll();
  REQUIRE(unreleased.size() == 2);
  CHECK(plan.TakeAll().empty());
}

TEST_CASE("[StagePlan] the remaining time is that of the longest path")
{
  const std::array<std::uint32_t, 4> pieces{ 2, 1, 8, 16 };
  StagePlan plan(kStages, pieces);
  CHECK(plan.Remaining(FixedTime) == milliseconds(330));
  CHECK(plan.RemainingAfter(1, FixedTime) == milliseconds(220));
  CHECK(plan.SlackOf(0, FixedTime) == milliseconds(220));
  CHECK(plan.SlackOf(1, FixedTime) == milliseconds(0));
  plan.OnDone(1, Handles("one", 1));
  CHECK(plan.Remaining(FixedTime) == milliseconds(220));
}

TEST_CASE(
  "[StagePlan] the largest stage results that the request reads are found")
{
  const std::array<std::uint32_t, 4> pieces{ 2, 1, 8, 16 };
  StagePlan plan(kStages, pieces);
  CHECK(plan.LargestFinalInput().handle.empty());
  plan.OnDone(3, Handles("three", 16));
  CHECK(plan.LargestFinalInput().bytes == 96'000);
  plan.OnDone(0, Handles("zero", 2));
  CHECK(plan.LargestFinalInput().bytes == 6'000'000);
  CHECK(plan.LargestFinalInput().handle == "10.0.0.1:1/zero0");
}

TEST_CASE("[StagePlan] the largest input of a stage is found, and whether the "
          "request reads its results")
{
  const std::array<std::uint32_t, 4> pieces{ 2, 1, 8, 16 };
  StagePlan plan(kStages, pieces);
  CHECK(plan.LargestInputOf(3).bytes == 0);
  plan.OnDone(2, Handles("two", 8));
  CHECK(plan.LargestInputOf(3).bytes == 480'000);
  CHECK(plan.LargestInputOf(3).handle == Handles("two", 1).front());
  CHECK(plan.IsFinal(0));
  CHECK_FALSE(plan.IsFinal(2));
  CHECK(plan.IsFinal(3));
}

} // namespace gypsum::tests
