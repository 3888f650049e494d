#pragma once

#include "tests/process/booking_fixture.h"

#include <doctest/doctest.h>

#include <csignal>
#include <string>

namespace gypsum::tests {

class PlatformFixture : public BookingFixture
{
protected:
  bool IsActiveRevision(std::uint64_t aRevision) const
  {
    return fleet_.RevisionOf(*fleet_.Entries().at(0)) == aRevision &&
           fleet_.RevisionOf(*fleet_.Entries().at(1)) == aRevision;
  }

  void SetPlatformStatus(const std::string& aStatus)
  {
    fleet_.Get(fleet_.PlatformAddress(), "/control/fail?status=" + aStatus);
  }
};

TEST_CASE_FIXTURE(PlatformFixture,
                  "[Failures] with the platform answering 429 or 500, "
                  "bookings complete, and the next revision becomes active "
                  "afterwards")
{
  std::uint64_t revision = 1;
  for (const char* const status : { "429", "500" }) {
    CAPTURE(status);
    SetPlatformStatus(status);
    fleet_.Publish(++revision);
    CHECK(Book(0, FreshKey()).outcome == "complete");
    CHECK(Book(1, FreshKey()).outcome == "complete");
    SetPlatformStatus("0");
    CHECK(WaitUntil([&] { return IsActiveRevision(revision); }));
  }
  CheckOutcomes();
}

TEST_CASE_FIXTURE(PlatformFixture,
                  "[Failures] a platform that restarts with an older "
                  "revision does not revert the active one")
{
  fleet_.Publish(5);
  REQUIRE(WaitUntil([&] { return IsActiveRevision(5); }));
  fleet_.Platform().Signal(SIGKILL);
  fleet_.Platform().Wait();
  CHECK(Book(0, FreshKey()).outcome == "complete");
  fleet_.StartPlatform();
  const auto calls = [&] {
    return fleet_.Get(fleet_.PlatformAddress(), "/control/calls");
  };
  REQUIRE(WaitUntil([&] { return calls() != ""; }));
  fleet_.Publish(3);
  // After more than 40 calls some agents have read the older revision.
  REQUIRE(WaitUntil([&] { return std::stoull("0" + calls()) > 40; }));
  CHECK(IsActiveRevision(5));
  CHECK(Book(1, FreshKey()).outcome == "complete");
  fleet_.Publish(6);

  CHECK(WaitUntil([&] { return IsActiveRevision(6); }));
  CheckOutcomes();
}

} // namespace gypsum::tests
