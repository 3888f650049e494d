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
                  "ends unknown, and the outcome is had after it")
{
  SetFrozen(true);
  const std::string key = FreshKey();
  auto answer = BookAsync(0, key);
  WaitForExecution(key);
  SetPeerRelays("cut");
  CHECK(answer.get().outcome == "unknown");
  // While the cut lasts nothing can be said of a key, new or old.
  CHECK(Book(1, key, "1000").outcome == "unknown");
  Book(1, FreshKey(), "1000");
  SetFrozen(false);
  SetPeerRelays("open");
  REQUIRE(WaitUntil([&] { return IsLiveEverywhere(); }));
  CHECK(Book(1, key).outcome == "complete");
  CheckOutcomes();
}

TEST_CASE_FIXTURE(RelayedFixture,
                  "[Failures] replies or requests held back and delivered "
                  "late change no outcome and run no key twice")
{
  const std::string lostReply = FreshKey();
  SetPeerRelays("hold_back");
  CHECK(Book(0, lostReply, "1500").outcome == "unknown");
  WaitForExecution(lostReply);
  SetPeerRelays("open");
  REQUIRE(WaitUntil([&] { return IsLiveEverywhere(); }));
  CHECK(Book(1, lostReply).outcome == "complete");

  const std::string lostRequest = FreshKey();
  SetPeerRelays("hold_forward");
  CHECK(Book(0, lostRequest, "1500").outcome == "unknown");
  CHECK(fleet_.Executions("booking", lostRequest) == 0);
  SetPeerRelays("open");
  REQUIRE(WaitUntil([&] { return IsLiveEverywhere(); }));
  CHECK(WaitUntil([&] { return Book(1, lostRequest).outcome == "complete"; }));
  CheckOutcomes();
}

TEST_CASE_FIXTURE(RelayedFixture,
                  "[Failures] a cut between agent and backend server during a "
                  "booking ends unknown and is not tried again")
{
  SetFrozen(true);
  const std::string key = FreshKey();
  auto answer = BookAsync(0, key);
  WaitForExecution(key);
  SetBackendRelays("cut");
  CHECK(answer.get().outcome == "unknown");
  SetFrozen(false);
  Book(0, FreshKey());
  SetBackendRelays("open");
  CHECK(Book(1, key).outcome == "unknown");
  CHECK(WaitUntil([&] { return IsServing("booking-1"); }));
  CHECK(WaitUntil([&] { return IsServing("booking-2"); }));
  CheckOutcomes();
}

} // namespace gypsum::tests
