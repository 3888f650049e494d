#pragma once

#include "core/agent/stage_queue.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace gypsum::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StageQueueFixture
{
protected:
  static constexpr Instant kNow{ std::chrono::hours(1) };

  /** Queues a stage, which the tests identify by its attempt number. */
  void Push(std::uint64_t aAttempt,
            const std::string& aCustomer,
            std::uint32_t aPriority = 1,
            Duration aBudget = seconds(4),
            std::size_t aBytes = 100,
            Instant aArrival = kNow)
  {
    QueuedStage stage;
    stage.request.id = { { aCustomer, "key" }, 0, aAttempt, 1 };
    stage.request.pipeline = "chat";
    stage.request.priority = aPriority;
    stage.request.input.assign(aBytes, 'x');
    stage.arrival = aArrival;
    stage.deadline = aArrival + aBudget;
    queue_.Push(std::move(stage));
  }
  std::string PopAll(Instant aNow = kNow, bool aMayStartLong = true)
  {
    std::string order;
    while (const auto stage = queue_.Pop(aNow, aMayStartLong)) {
      order += std::to_string(stage->request.id.attempt);
    }
    return order;
  }

  StageQueue queue_{ QueueKind::Fair };
};

TEST_CASE_FIXTURE(StageQueueFixture,
                  "[StageQueue] a customer with one stage does not wait for "
                  "all stages of a busier customer")
{
  Push(1, "large");
  Push(2, "large");
  Push(3, "large");
  Push(4, "small", 1, seconds(9));
  CHECK(PopAll() == "1423");
}

TEST_CASE_FIXTURE(StageQueueFixture,
                  "[StageQueue] the more urgent class starts first, then the "
                  "earlier deadline")
{
  Push(1, "a", 1, seconds(2));
  Push(2, "a", 1, seconds(1));
  Push(3, "a", 0, seconds(8));
  CHECK(PopAll() == "321");
}

TEST_CASE_FIXTURE(StageQueueFixture,
                  "[StageQueue] the least urgent stage is not starved")
{
  Push(1, "a", 2, seconds(60));
  const Instant later = kNow + seconds(4);
  Push(2, "b", 0, seconds(60), 100, later);
  CHECK(PopAll(later) == "12");
}

TEST_CASE_FIXTURE(StageQueueFixture,
                  "[StageQueue] a short input overtakes a long one that may "
                  "not start")
{
  Push(1, "a", 0, seconds(1), 20'000);
  Push(2, "a", 3, seconds(9));
  CHECK(PopAll(kNow, false) == "2");
  CHECK(PopAll() == "1");
}

TEST_CASE_FIXTURE(StageQueueFixture,
                  "[StageQueue] a stage that cannot finish in time is removed "
                  "once it has waited")
{
  Push(1, "a", 0, seconds(1));
  queue_.OnServed(queue_.Pop(kNow)->request, seconds(2));
  Push(2, "a", 0, seconds(1));
  Push(3, "a", 0, seconds(9));
  CHECK(queue_.RemoveExpired(kNow).empty());
  const auto expired = queue_.RemoveExpired(kNow + milliseconds(1));
  REQUIRE(expired.size() == 1);
  CHECK(expired.front().request.id.attempt == 2);
  CHECK(queue_.Size() == 1);
}

} // namespace gypsum::tests
