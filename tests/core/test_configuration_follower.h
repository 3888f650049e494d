#pragma once

#include "tests/core/follower_fleet.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

namespace gypsum::tests {

using namespace std::chrono_literals;

/** Agents in each of the twelve zones at 1x, 2x, 4x and 8x. */
constexpr std::size_t kAgentsPerZone[] = { 10, 20, 40, 84 };
/** Reads that the platform allows the whole fleet in one second. */
constexpr std::uint64_t kMaxPlatformReadsPerSecond = 2'000;
constexpr std::chrono::microseconds kMaxAdoptionTime = 5s;

/** Load of one fleet on the platform, and the time a change takes. */
struct FleetMeasurement
{
  std::size_t processes = 0;
  double steadyReadsPerSecond = 0;
  std::uint64_t readsAfterChange = 0;
  std::uint64_t readsAfterRestart = 0;
  Duration timeToHalf{};
  Duration timeToAll{};
  double messagesPerSecondPerProcess = 0; ///< In the steady state.
};

inline FleetMeasurement Measure(std::size_t aAgentsPerZone)
{
  FollowerFleet fleet(aAgentsPerZone);
  FleetMeasurement measurements;
  measurements.processes = fleet.Size();
  fleet.Publish(1);
  fleet.StartAll();
  fleet.RunFor(60s);
  REQUIRE(fleet.ShareWithRevision(1) == 1.0);

  const std::uint64_t callsBeforeSteady = fleet.platform.calls;
  const std::uint64_t messagesBefore = fleet.Messages();
  fleet.RunFor(60s);
  measurements.steadyReadsPerSecond =
    static_cast<double>(fleet.platform.calls - callsBeforeSteady) / 60.0;
  measurements.messagesPerSecondPerProcess =
    static_cast<double>(fleet.Messages() - messagesBefore) / 60.0 /
    static_cast<double>(fleet.Size());

  const std::uint64_t callsBeforeChange = fleet.platform.calls;
  fleet.Publish(2);
  measurements.timeToHalf = fleet.TimeUntil(0.5, 2, 60s);
  measurements.timeToAll =
    measurements.timeToHalf + fleet.TimeUntil(1.0, 2, 60s);
  fleet.RunFor(10s - measurements.timeToAll);
  measurements.readsAfterChange = fleet.platform.calls - callsBeforeChange;

  const std::uint64_t callsBeforeRestart = fleet.platform.calls;
  for (std::size_t node = 0; node < fleet.Size(); node += 2) {
    fleet.Start(node);
  }
  fleet.RunFor(10s);
  measurements.readsAfterRestart = fleet.platform.calls - callsBeforeRestart;
  CHECK(fleet.ShareWithRevision(2) == 1.0);
  CHECK(fleet.MaxCallsInOneSecond() < kMaxPlatformReadsPerSecond);
  CHECK_FALSE(fleet.HasRevisionDecreased());
  return measurements;
}

TEST_CASE("[Configuration] platform reads grow far slower than the fleet, and "
          "every process adopts a change within 5 s")
{
  std::vector<FleetMeasurement> measurements;
  for (const std::size_t agentsPerZone : kAgentsPerZone) {
    measurements.push_back(Measure(agentsPerZone));
    const FleetMeasurement& last = measurements.back();
    MESSAGE("processes="
            << last.processes
            << " steady-state reads/s=" << last.steadyReadsPerSecond
            << " reads within 10 s of a change=" << last.readsAfterChange
            << " within 10 s of a restart of half=" << last.readsAfterRestart
            << " adopted p50_us=" << last.timeToHalf.count()
            << " all_us=" << last.timeToAll.count()
            << " messages/s per process=" << last.messagesPerSecondPerProcess);
    CHECK(last.timeToAll <= kMaxAdoptionTime);
  }
  // A fleet of eight times the size may cause at most 1.5 times the reads.
  constexpr double kMaxGrowth = 1.5;
  const FleetMeasurement& first = measurements.front();
  const FleetMeasurement& last = measurements.back();
  CHECK(last.steadyReadsPerSecond <= first.steadyReadsPerSecond * kMaxGrowth);
  CHECK(last.readsAfterChange <= first.readsAfterChange * kMaxGrowth);
  CHECK(last.readsAfterRestart <= first.readsAfterRestart * kMaxGrowth);
}

class SmallFleetFixture
{
protected:
  SmallFleetFixture()
  {
    fleet_.Publish(5);
    fleet_.StartAll();
    fleet_.RunFor(10s);
    REQUIRE(fleet_.ShareWithRevision(5) == 1.0);
  }

  FollowerFleet fleet_{ 10 };
};

TEST_CASE_FIXTURE(SmallFleetFixture,
                  "[Configuration] a stale platform and a restart of half the "
                  "fleet do not lower the active revision")
{
  fleet_.Publish(4);
  for (std::size_t node = 0; node < fleet_.Size(); node += 2) {
    fleet_.Start(node);
  }
  fleet_.RunFor(10s);
  CHECK(fleet_.ShareWithRevision(5) == 1.0);
  CHECK_FALSE(fleet_.HasRevisionDecreased());
}

TEST_CASE_FIXTURE(SmallFleetFixture,
                  "[Configuration] a change reaches every live process when a "
                  "third of the fleet is dead")
{
  for (std::size_t node = 0; node < fleet_.Size(); node += 3) {
    fleet_.Kill(node);
  }
  fleet_.Publish(6);
  CHECK(fleet_.TimeUntil(1.0, 6, 60s) <= kMaxAdoptionTime);
}

TEST_CASE_FIXTURE(SmallFleetFixture,
                  "[Configuration] a zone whose readers are all dead still "
                  "receives a change")
{
  for (std::size_t node = 0; node < fleet_.Size(); ++node) {
    if (fleet_.Follower(node).IsReader() && node % 12 == 0) {
      fleet_.Kill(node);
    }
  }
  fleet_.Publish(6);
  CHECK(fleet_.TimeUntil(1.0, 6, 60s) <= kMaxAdoptionTime);
  // Other agents of the zone, but not all of them, take over as readers.
  fleet_.RunFor(120s);
  std::size_t readers = 0;
  for (std::size_t node = 12; node < 120; node += 12) {
    readers += fleet_.IsAlive(node) && fleet_.Follower(node).IsReader() ? 1 : 0;
  }
  CHECK(readers >= 1);
}

TEST_CASE_FIXTURE(SmallFleetFixture,
                  "[Configuration] a process that starts while the platform is "
                  "unavailable adopts the manifest of its peers")
{
  fleet_.platform.isUnavailable = true;
  for (std::size_t node = 1; node < fleet_.Size(); node += 2) {
    fleet_.Start(node);
  }
  fleet_.RunFor(10s);
  CHECK(fleet_.ShareWithRevision(5) == 1.0);
}

TEST_CASE_FIXTURE(
  SmallFleetFixture,
  "[Configuration] a busy platform is read rarely, and its next "
  "change is adopted once it has recovered")
{
  fleet_.platform.isBusy = true;
  fleet_.RunFor(30s);
  const std::uint64_t callsBefore = fleet_.platform.calls;
  fleet_.RunFor(60s);
  // 36 readers, each reading the manifest and the list; the back-off keeps
  // reads at least 5 s apart.
  CHECK(fleet_.platform.calls - callsBefore <= 36 * 2 * 60 / 5);
  fleet_.platform.isBusy = false;
  fleet_.Publish(6);
  CHECK(fleet_.TimeUntil(1.0, 6, 60s) <= 15s + kMaxAdoptionTime);
}

TEST_CASE_FIXTURE(
  SmallFleetFixture,
  "[Configuration] an invalid manifest is refused, and the last "
  "valid one stays active")
{
  fleet_.platform.text = "[manifest]\nname = x\nrevision = nine\n";
  fleet_.platform.revision = 9;
  fleet_.RunFor(5s);
  std::uint64_t refused = 0;
  for (std::size_t node = 0; node < fleet_.Size(); ++node) {
    refused += fleet_.Follower(node).Counters().refusedManifests;
  }
  CHECK(refused > 0);
  CHECK(fleet_.ShareWithRevision(5) == 1.0);
  CHECK(fleet_.ShareWithRevision(6) == 0.0);
  fleet_.Publish(10);
  CHECK(fleet_.TimeUntil(1.0, 10, 60s) <= kMaxAdoptionTime);
}

TEST_CASE_FIXTURE(
  SmallFleetFixture,
  "[Configuration] a replica listed as leaving is known to every "
  "process within 3 s, and is forgotten once it is unlisted")
{
  const std::string name = fleet_.NameOf(7);
  fleet_.platform.leaving = { name };
  // The readers read the list within 1 s; the names then spread within 2 s.
  fleet_.RunFor(3s);
  CHECK(fleet_.CountProcessesKnowingLeaving(name) == fleet_.Size());
  fleet_.RunFor(60s);
  CHECK(fleet_.CountProcessesKnowingLeaving(name) == fleet_.Size());
  fleet_.platform.leaving.clear();
  fleet_.RunFor(15s);
  CHECK(fleet_.CountProcessesKnowingLeaving(name) == 0);
}

} // namespace gypsum::tests
