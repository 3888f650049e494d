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
 * A fleet that takes bookings, and a check of the outcomes that callers got.
 *
 * The backend servers count executions by key; each count is compared with all
 * responses for that key.
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
    REQUIRE(WaitUntil([&] { return ExecutesBookings("booking-1"); }));
    REQUIRE(WaitUntil([&] { return ExecutesBookings("booking-2"); }));
  }

  /** Books with a new key; true if this replica executed it. */
  bool ExecutesBookings(const std::string& aReplica)
  {
    const std::string key = FreshKey();
    return Book(0, key).outcome == "complete" &&
           fleet_.ExecutionsAt(fleet_.Replica(aReplica), key) == 1;
  }

  CallerResponse Book(std::size_t aEntry,
                      const std::string& aKey,
                      const std::string& aDeadlineMs = {})
  {
    CallerResponse response =
      fleet_.Post(fleet_.Entry(aEntry), "book", aKey, "mai", aDeadlineMs);
    const std::lock_guard lock(mutex_);
    responses_[aKey].push_back(response);
    return response;
  }

  std::future<CallerResponse> BookAsync(std::size_t aEntry,
                                        const std::string& aKey,
                                        const std::string& aDeadlineMs = {})
  {
    return std::async(std::launch::async, [this, aEntry, aKey, aDeadlineMs] {
      return Book(aEntry, aKey, aDeadlineMs);
    });
  }

  /** Freezes or unfreezes the backend servers of `booking`. */
  void SetFrozen(bool aIsFrozen)
  {
    for (const char* const name : { "booking-1", "booking-2" }) {
      fleet_.Get(fleet_.Replica(name).backendAddress,
                 std::string("/control/set?frozen=") + (aIsFrozen ? "1" : "0"));
    }
  }

  /** Waits until a key is executed; returns its replica. */
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

  /** Checks each response against the execution count of its key. */
  void CheckOutcomes()
  {
    for (const auto& item : responses_) {
      const std::string& key = item.first;
      const auto& responses = item.second;
      CAPTURE(key);
      const std::uint64_t count = fleet_.Executions("booking", key);
      CHECK(count <= 1);
      bool areAllNotExecuted = true;
      for (const CallerResponse& response : responses) {
        CAPTURE(response.outcome);
        CAPTURE(response.error);
        areAllNotExecuted = areAllNotExecuted && response.outcome == "not-run";
        if (response.outcome == "complete") {
          CHECK(count == 1);
          CHECK(response.body == "confirm(mai)");
        } else if (response.status != 0) {
          CHECK(response.retryAfter != "");
        }
      }
      if (areAllNotExecuted) {
        CHECK(count == 0);
      }
    }
  }

  mutable Deployment fleet_;
  std::mutex mutex_;
  std::map<std::string, std::vector<CallerResponse>> responses_;
};

} // namespace gypsum::tests
