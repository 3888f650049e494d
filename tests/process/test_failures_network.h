#pragma once

#include "tests/process/booking_fixture.h"

#include <doctest/doctest.h>

#include <string>

namespace gypsum::tests {

class RelayedFixture : public BookingFixture
{
protected:
  RelayedFixture()
    : BookingFixture(Relays::Yes)
  {
  }

  void SetPeerRelays(const std::string& aMode)
  {
    for (const char* const name : { "booking-1", "booking-2" }) {
      fleet_.SetRelay(fleet_.Replica(name).peerRelay, aMode);
    }
  }

  void SetBackendRelays(const std::string& aMode)
  {
    for (const char* const name : { "booking-1", "booking-2" }) {
      fleet_.SetRelay(fleet_.Replica(name).backendRelay, aMode);
    }
  }
};

TEST_CASE_FIXTURE(RelayedFixture,
                  "[Failures] a cut between entry and agent during a booking "
                  "gives unknown, and the outcome is available afterwards")
{
  SetFrozen(true);
  const std::string key = FreshKey();
  auto response = BookAsync(0, key);
  WaitForExecution(key);
  SetPeerRelays("cut");
  CHECK(response.get().outcome == "unknown");
  // During the cut no outcome can be determined, for any key, old or new.
  CHECK(Book(1, key, "1000").outcome == "unknown");
  Book(1, FreshKey(), "1000");
  SetFrozen(false);
  SetPeerRelays("open");
  REQUIRE(WaitUntil([&] { return IsLiveEverywhere(); }));
  CHECK(Book(1, key).outcome == "complete");
  CheckOutcomes();
}

TEST_CASE_FIXTURE(RelayedFixture,
                  "[Failures] replies or requests delivered late change no "
                  "outcome and execute no key twice")
{
  const std::string lateReplyKey = FreshKey();
  SetPeerRelays("hold_back");
  CHECK(Book(0, lateReplyKey, "1500").outcome == "unknown");
  WaitForExecution(lateReplyKey);
  SetPeerRelays("open");
  REQUIRE(WaitUntil([&] { return IsLiveEverywhere(); }));
  CHECK(Book(1, lateReplyKey).outcome == "complete");

  const std::string lateRequestKey = FreshKey();
  SetPeerRelays("hold_forward");
  CHECK(Book(0, lateRequestKey, "1500").outcome == "unknown");
  CHECK(fleet_.Executions("booking", lateRequestKey) == 0);
  SetPeerRelays("open");
  REQUIRE(WaitUntil([&] { return IsLiveEverywhere(); }));
  CHECK(
    WaitUntil([&] { return Book(1, lateRequestKey).outcome == "complete"; }));
  CheckOutcomes();
}

TEST_CASE_FIXTURE(RelayedFixture,
                  "[Failures] a cut between agent and backend server during "
                  "a booking gives unknown and is not retried")
{
  SetFrozen(true);
  const std::string key = FreshKey();
  auto response = BookAsync(0, key);
  WaitForExecution(key);
  SetBackendRelays("cut");
  CHECK(response.get().outcome == "unknown");
  SetFrozen(false);
  Book(0, FreshKey());
  SetBackendRelays("open");
  CHECK(Book(1, key).outcome == "unknown");
  CHECK(WaitUntil([&] { return ExecutesBookings("booking-1"); }));
  CHECK(WaitUntil([&] { return ExecutesBookings("booking-2"); }));
  CheckOutcomes();
}

} // namespace gypsum::tests
