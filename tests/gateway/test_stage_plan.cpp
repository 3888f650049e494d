#include "core/gateway/stage_plan.h"

#include <doctest/doctest.h>

#include <array>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

/** Stage 0 beside the chain 1, 2, 3. */
const std::vector<RouteStage> kStages{ { "cards", {}, 3'000'000 },
                                       { "cards", {}, 8'000 },
                                       { "fees", { 1 }, 60'000 },
                                       { "mail", { 2 }, 6'000 } };

StageTime Hundred(std::uint32_t /*aStage*/)
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

TEST_CASE("[StagePlan] stages start when all that they read is made")
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

TEST_CASE("[StagePlan] a stage without pieces is left out")
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
  const auto rest = plan.TakeAll();
  REQUIRE(rest.size() == 2);
  CHECK(plan.TakeAll().empty());
}

TEST_CASE("[StagePlan] the time left is that of the longest way")
{
  const std::array<std::uint32_t, 4> pieces{ 2, 1, 8, 16 };
  StagePlan plan(kStages, pieces);
  CHECK(plan.Remaining(Hundred) == milliseconds(330));
  CHECK(plan.RemainingAfter(1, Hundred) == milliseconds(220));
  CHECK(plan.SlackOf(0, Hundred) == milliseconds(220));
  CHECK(plan.SlackOf(1, Hundred) == milliseconds(0));
  plan.OnDone(1, Handles("one", 1));
  CHECK(plan.Remaining(Hundred) == milliseconds(220));
}

TEST_CASE("[StagePlan] the largest results that the request reads are known")
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

TEST_CASE("[StagePlan] a stage knows the largest of what its pieces read, and "
          "whether the request reads its results")
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
