#pragma once

#include "tests/process/booking_fixture.h"
#include "tests/support/free_port.h"

#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <vector>

namespace gypsum::tests {

TEST_CASE_FIXTURE(BookingFixture,
                  "[Failures] an agent killed before, during and after a "
                  "booking executes each key at most once")
{
  // Killed after a booking: its outcome is known before the kill.
  const std::string after = FreshKey();
  REQUIRE(Book(0, after).outcome == "complete");
  ReplicaHost& owner = WaitForExecution(after);
  // Killed during a booking: a key of the same owner waits in its frozen
  // backend server.
  SetFrozen(true);
  std::vector<std::string> during;
  std::vector<std::future<CallerResponse>> hanging;
  do {
    during.push_back(FreshKey());
    hanging.push_back(BookAsync(0, during.back()));
  } while (&WaitForExecution(during.back()) != &owner);
  owner.agent->Signal(SIGKILL);
  owner.agent->Wait();
  CHECK(hanging.back().get().outcome == "unknown");
  SetFrozen(false);
  // Killed before a booking: keys sent while the owner is down.
  for (int count = 0; count < 20; ++count) {
    Book(count % 2, FreshKey());
  }
  fleet_.StartAgent(owner);
  REQUIRE(WaitUntil([&] { return IsLiveEverywhere(); }));
  CHECK(Book(1, during.back()).outcome == "unknown");
  CHECK(Book(1, after).outcome != "not-run");
  CHECK(WaitUntil([&] { return ExecutesBookings(owner.name); }));
  hanging.clear();
  CheckOutcomes();
}

TEST_CASE_FIXTURE(BookingFixture,
                  "[Failures] an entry killed between dispatch and response "
                  "leaves the outcome available through another entry")
{
  SetFrozen(true);
  const std::string key = FreshKey();
  auto lost = BookAsync(0, key);
  WaitForExecution(key);
  fleet_.Entry(0).process->Signal(SIGKILL);
  CHECK(lost.get().status == 0);
  auto retried = BookAsync(1, key);
  SetFrozen(false);
  CHECK(retried.get().outcome == "complete");
  CHECK(fleet_.Executions("booking", key) == 1);
  fleet_.Entry(0).process->Wait();
  fleet_.StartEntry(fleet_.Entry(0));
  REQUIRE(WaitUntil([&] { return IsLiveEverywhere(); }));
  CHECK(Book(0, key).outcome == "complete");
  CheckOutcomes();
}

TEST_CASE_FIXTURE(BookingFixture,
                  "[Failures] an agent resumed after its replacement "
                  "executes nothing whose deadline has passed")
{
  SetFrozen(true);
  // Fill the owner's slots, so that one booking is queued.
  const std::string first = FreshKey();
  std::vector<std::future<CallerResponse>> running;
  running.push_back(BookAsync(0, first, "3000"));
  ReplicaHost& owner = WaitForExecution(first);
  const auto dumpContains = [&](const std::string& aText) {
    return fleet_.Get(owner.httpAddress, "/dump").find(aText) !=
           std::string::npos;
  };
  while (!dumpContains("queued: 1")) {
    running.push_back(BookAsync(0, FreshKey(), "3000"));
    WaitUntil([&] { return dumpContains("queued: 1"); },
              std::chrono::milliseconds(100));
  }
  owner.agent->Signal(SIGSTOP);
  for (auto& response : running) {
    CHECK(response.get().outcome != "complete");
  }
  // Replace its VM: revision 2 has the same name at another address.
  ReplicaHost replacedHost;
  std::swap(replacedHost.agent, owner.agent);
  replacedHost.httpAddress = owner.httpAddress;
  owner.httpAddress = FreeAddress();
  owner.peerAddress = FreeAddress();
  fleet_.StartAgent(owner);
  fleet_.Publish(2);
  REQUIRE(WaitUntil([&] {
    return fleet_.RevisionOf(fleet_.Entry(0)) == 2 &&
           fleet_.RevisionOf(fleet_.Entry(1)) == 2 && IsLiveEverywhere();
  }));
  std::vector<std::string> keys;
  for (const auto& [key, responses] : responses_) {
    keys.push_back(key);
  }
  for (const std::string& key : keys) {
    Book(1, key, "1000");
  }
  SetFrozen(false);
  replacedHost.agent->Signal(SIGCONT);
  CHECK(WaitUntil([&] {
    const std::string state = fleet_.Get(replacedHost.httpAddress, "/dump");
    return state.find("queued: 0") != std::string::npos &&
           state.find("running: 0") != std::string::npos;
  }));
  CHECK(WaitUntil([&] { return ExecutesBookings(owner.name); }));
  CheckOutcomes();
}

} // namespace gypsum::tests
