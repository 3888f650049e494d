#pragma once

#include "tests/support/deployment.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace gypsum::tests {

enum class Relays
{
  No,
  Yes,
};

/**
 * A fleet that takes bookings, and a judge of what its callers were told.
 *
 * The backend servers count executions by key; a count is compared with all
 * the answers that a key has got.
 */
class BookingFixture
{
protected:
  explicit BookingFixture(Relays aRelays = Relays::No)
  {
    if (aRelays == Relays::Yes) {
      fleet_.StartRelays();
    }
    fleet_.StartAll();
    REQUIRE(WaitUntil([&] { return IsServing("booking-1"); }));
    REQUIRE(WaitUntil([&] { return IsServing("booking-2"); }));
  }

  /** Books with a fresh key; whether it ran at a replica. */
  bool IsServing(const std::string& aReplica)
  {
    const std::string key = FreshKey();
    return Book(0, key).outcome == "complete" &&
           fleet_.ExecutionsAt(fleet_.Replica(aReplica), key) == 1;
  }

  CallerResponse Book(std::size_t aEntry,
                      const std::string& aKey,
                      const std::string& aDeadlineMs = {})
  {
    CallerResponse answer =
      fleet_.Post(fleet_.Entry(aEntry), "book", aKey, "mai", aDeadlineMs);
    const std::lock_guard lock(mutex_);
    answers_[aKey].push_back(answer);
    return answer;
  }

  std::future<CallerResponse> BookAsync(std::size_t aEntry,
                                        const std::string& aKey,
                                        const std::string& aDeadlineMs = {})
  {
    return std::async(std::launch::async, [this, aEntry, aKey, aDeadlineMs] {
      return Book(aEntry, aKey, aDeadlineMs);
    });
  }

  /** Lets the backend servers of bookings hang, or go on. */
  void SetFrozen(bool aIsFrozen)
  {
    for (const char* const name : { "booking-1", "booking-2" }) {
      fleet_.Get(fleet_.Replica(name).backendAddress,
                 std::string("/control/set?frozen=") + (aIsFrozen ? "1" : "0"));
    }
  }

  /** The replica at which a key runs; waits until it does. */
  ReplicaHost& WaitForExecution(const std::string& aKey)
  {
    REQUIRE(WaitUntil([&] { return fleet_.Executions("booking", aKey) == 1; }));
    ReplicaHost& first = fleet_.Replica("booking-1");
    return fleet_.ExecutionsAt(first, aKey) == 1 ? first
                                                 : fleet_.Replica("booking-2");
  }

  bool IsLiveEverywhere() const
  {
    return fleet_.IsEveryMemberLive(*fleet_.Entries().at(0)) &&
           fleet_.IsEveryMemberLive(*fleet_.Entries().at(1));
  }

  /** Checks each answer against the count of executions of its key. */
  void CheckOutcomes()
  {
    for (const auto& item : answers_) {
      const std::string& key = item.first;
      const auto& answers = item.second;
      CAPTURE(key);
      const std::uint64_t count = fleet_.Executions("booking", key);
      CHECK(count <= 1);
      bool areAllNotExecuted = true;
      for (const CallerResponse& answer : answers) {
        CAPTURE(answer.outcome);
        CAPTURE(answer.error);
        areAllNotExecuted = areAllNotExecuted && answer.outcome == "not-run";
        if (answer.outcome == "complete") {
          CHECK(count == 1);
          CHECK(answer.body == "confirm(mai)");
        } else if (answer.status != 0) {
          CHECK(answer.retryAfter != "");
        }
      }
      if (areAllNotExecuted) {
        CHECK(count == 0);
      }
    }
  }

  mutable Deployment fleet_;
  std::mutex mutex_;
  std::map<std::string, std::vector<CallerResponse>> answers_;
};

} // namespace gypsum::tests
