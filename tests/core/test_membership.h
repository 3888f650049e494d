#pragma once

#include "core/agent/agent_machine.h"
#include "core/entry/entry_machine.h"
#include "core/membership/member_table.h"
#include "core/membership/service_subset.h"
#include "core/ownership/owner.h"
#include "tests/core/sample_manifest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace gypsum::tests {

using namespace std::chrono_literals;

class MembershipFixture
{
protected:
  MembershipFixture()
    : table_("entry-1")
  {
    table_.SetManifest(*SampleManifest());
    Report("writer-1", 1);
    Report("writer-2", 1);
  }

  bool Report(const std::string& aName,
              Incarnation aIncarnation,
              bool aIsLeaving = false)
  {
    gypsum::Report report;
    report.isLeaving = aIsLeaving;
    return table_.OnReport(aName, aIncarnation, report, now_);
  }
  bool IsUsable(const std::string& aName) const
  {
    const auto usable = table_.Usable("writer");
    return std::ranges::any_of(
      usable, [&](const Member* aMember) { return aMember->name == aName; });
  }
  /** Leaves hellos to all members but one unanswered; true if attempts lost. */
  bool MissHellos(const std::string& aAnswering)
  {
    bool areAttemptsLost = false;
    for (int step = 0; step < 30; ++step) {
      now_ += 50ms;
      table_.TakeDueHellos(now_, 250ms);
      Report(aAnswering, 1);
      areAttemptsLost |= table_.Expire(now_, 1s);
    }
    return areAttemptsLost;
  }

  MemberTable table_;
  Instant now_{ 1h };
};

TEST_CASE_FIXTURE(
  MembershipFixture,
  "[Membership] a member listed as leaving gets no new work even "
  "if its agent does not report that it is leaving")
{
  table_.OnLeavingListUpdated({ "writer-1" });
  CHECK_FALSE(IsUsable("writer-1"));
  Report("writer-1", 1);
  CHECK_FALSE(IsUsable("writer-1"));
  Report("writer-1", 2);
  CHECK_FALSE(IsUsable("writer-1"));
  table_.OnLeavingListUpdated({});
  Report("writer-1", 2);
  CHECK(IsUsable("writer-1"));
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "[Membership] an unresponsive member loses its attempts once "
                  "and is usable again after a delay")
{
  table_.OnSent("writer-1");
  CHECK(MissHellos("writer-2"));
  CHECK_FALSE(IsUsable("writer-1"));
  CHECK(IsUsable("writer-2"));
  CHECK_FALSE(table_.Expire(now_, 1s));
  now_ += 10s;
  Report("writer-1", 1);
  CHECK(IsUsable("writer-1"));
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "[Membership] a flapping member waits longer after each flap")
{
  Duration longest{};
  for (int flap = 0; flap < 4; ++flap) {
    MissHellos("writer-2");
    const Instant responsiveAt = now_;
    do {
      now_ += 50ms;
      Report("writer-1", 1);
    } while (!IsUsable("writer-1"));
    CHECK(now_ - responsiveAt > longest);
    longest = now_ - responsiveAt;
  }
  CHECK(longest <= 16s);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "[Membership] a pause of this process does not make members "
                  "unresponsive")
{
  table_.OnSent("writer-1");
  table_.TakeDueHellos(now_, 250ms);
  now_ += 60s;
  CHECK_FALSE(table_.Expire(now_, 1s));
  CHECK(IsUsable("writer-1"));
}

TEST_CASE_FIXTURE(
  MembershipFixture,
  "[Membership] only a report of a new incarnation loses attempts")
{
  CHECK_FALSE(Report("writer-1", 1));
  CHECK(Report("writer-1", 2));
}

TEST_CASE_FIXTURE(
  MembershipFixture,
  "[Membership] a member removed from the manifest is kept until "
  "its outstanding stages are answered")
{
  table_.OnSent("writer-2");
  Manifest next = *SampleManifest(2);
  std::erase(next.services.at("writer").replicas, "writer-2");
  next.replicas.erase("writer-2");
  table_.SetManifest(next);
  CHECK_FALSE(IsUsable("writer-2"));
  REQUIRE(table_.Find("writer-2"));
  table_.OnReplied("writer-2");
  table_.Expire(now_, 1s);
  CHECK_FALSE(table_.Find("writer-2"));
}

/** Manifest at the planned scale; 61 services make 6,100 replicas. */
inline Manifest LargeManifest(std::size_t aServices)
{
  Manifest manifest = *SampleManifest();
  for (std::size_t index = 0; index < aServices; ++index) {
    ServiceSpec service;
    service.name = "service-" + std::to_string(index);
    for (int slot = 0; slot < 100; ++slot) {
      const std::string name = service.name + "-" + std::to_string(slot);
      service.replicas.push_back(name);
      manifest.replicas[name] = { name, service.name, "zone-a", "10.0.0.1:1" };
    }
    manifest.services[service.name] = service;
  }
  return manifest;
}

TEST_CASE("[Membership] members and hellos of an entry do not grow with the "
          "replicas of a service, and some entry tracks each replica")
{
  const Manifest manifest = LargeManifest(61);
  MemberTable table("entry-1");
  table.SetManifest(manifest);
  CHECK(table.All().size() <= 61 * kMaxTrackedPerService + 3);
  Instant now{ 1h };
  std::size_t hellos = 0;
  for (int tick = 0; tick < 6'000; ++tick) {
    now += 10ms;
    hellos += table.TakeDueHellos(now, 250ms).size();
  }
  // A hello and its report take less than 140 bytes, so 60 per second take at
  // most 8.4 KB/s.
  CHECK(hellos <= 61 * 60);
  CHECK(hellos >= 59 * 60);

  const ServiceSpec& service = manifest.services.at("service-0");
  std::vector<std::string> covered;
  for (int entry = 0; entry < 100; ++entry) {
    const auto subset = SelectSubset(service, "entry-" + std::to_string(entry));
    covered.insert(covered.end(), subset.begin(), subset.end());
  }
  std::ranges::sort(covered);
  covered.erase(std::unique(covered.begin(), covered.end()), covered.end());
  CHECK(covered.size() == service.replicas.size());
}

class OwnerOnDemandFixture
{
protected:
  OwnerOnDemandFixture()
    : machine_(EntryOptions{ { "entry-1", 11 }, "zone-a", 9, 250ms, 1 })
  {
    std::string text = SampleManifestText();
    const std::string slot = "booking-1 = zone-a 127.0.0.1:7101\n";
    std::string slots;
    for (int index = 0; index < 60; ++index) {
      slots += "booking-" + std::to_string(index) +
               " = zone-a 127.0.0.1:" + std::to_string(7101 + index) + "\n";
    }
    text.replace(text.find(slot), slot.size(), slots);
    text += "[pipeline.book]\ndeadline_ms = 1000\nstages = confirm\n"
            "[stage.book.confirm]\nservice = booking\noperation = /confirm\n"
            "repeatable = false\n";
    manifest_ = std::get<ManifestPtr>(ParseManifest(text));
    Handle(EntryManifestAdopted{ manifest_ });
  }

  EntryEffects Handle(EntryEvent aEvent)
  {
    return machine_.Handle(std::move(aEvent), now_);
  }
  /** A key whose owner is not in the subset that the entry tracks. */
  std::string KeyOutsideSubset() const
  {
    const ServiceSpec& service = *manifest_->FindService("booking");
    const auto subset = SelectSubset(service, "entry-1");
    std::string key;
    for (int index = 0; key.empty(); ++index) {
      const std::string candidate = "key-" + std::to_string(index);
      const std::string owner(OwnerOf(service, { "atelier", candidate }));
      if (std::ranges::find(subset, owner) == subset.end()) {
        key = candidate;
      }
    }
    return key;
  }
  static bool IsHello(const EntryEffect& aEffect)
  {
    const auto* const sent = std::get_if<SendTo>(&aEffect);
    return sent && std::holds_alternative<Hello>(sent->message.body);
  }

  ClockReading now_{ Instant(1h), {} };
  ManifestPtr manifest_;
  EntryMachine machine_;
};

TEST_CASE_FIXTURE(
  OwnerOnDemandFixture,
  "[Membership] an owner outside the subset gets a hello before "
  "its stage")
{
  const std::string key = KeyOutsideSubset();
  const std::string owner(
    OwnerOf(*manifest_->FindService("booking"), { "atelier", key }));
  const EntryEffects helloEffects =
    Handle(CallerRequest{ 1, { "atelier", key }, "book", "x", {} });
  REQUIRE(helloEffects.size() == 1);
  CHECK(IsHello(helloEffects.front()));

  SUBCASE("the stage is sent when the owner reports")
  {
    const EntryEffects sent =
      Handle(EntryMessage{ { { { owner, 22 }, 11, 1 }, Report{} } });
    REQUIRE(sent.size() == 1);
    const auto& message = std::get<SendTo>(sent.front()).message;
    CHECK(std::holds_alternative<StageRequest>(message.body));
    CHECK(message.header.target == 22);
  }
  SUBCASE("the request fails when the owner does not report")
  {
    now_.steady += 500ms;
    const EntryEffects effects = Handle(EntryTick{});
    const auto answer = std::ranges::find_if(effects, [](const auto& aEffect) {
      return std::holds_alternative<AnswerCaller>(aEffect);
    });
    REQUIRE(answer != effects.end());
    CHECK(std::get<AnswerCaller>(*answer).answer.error ==
          ErrorKind::OwnerUnreachable);
  }
}

TEST_CASE(
  "[Membership] an agent reports that it is leaving while a peer or the "
  "platform lists it as leaving, and stops when the listing expires")
{
  ClockReading now{ Instant(1h), WallTime(1h) };
  AgentOptions options;
  options.self = { "writer-1", 22 };
  options.maxQueued = 10;
  AgentMachine machine(options, now);
  const auto isReportedLeaving = [&](bool aIsListed) {
    const AgentEffects effects = machine.Handle(
      AgentMessage{ "r", { { { "entry-1", 11 }, 0, 1 }, Hello{ aIsListed } } },
      now);
    const auto& message = std::get<SendBack>(effects.back()).message;
    return std::get<Report>(message.body).isLeaving;
  };
  CHECK_FALSE(isReportedLeaving(false));
  machine.Handle(AgentMessage{ "s", { { { "entry-2", 12 }, 0, 1 }, Hello{} } },
                 now);
  const AgentEffects notified = machine.Handle(
    AgentMessage{ "r", { { { "entry-1", 11 }, 0, 1 }, Hello{ true } } }, now);
  // An entry that has not just sent a hello is notified too.
  CHECK(std::ranges::any_of(notified, [](const AgentEffect& aEffect) {
    const auto* const sent = std::get_if<SendBack>(&aEffect);
    return sent && sent->route == "s" &&
           std::get<Report>(sent->message.body).isLeaving;
  }));
  CHECK(isReportedLeaving(true));
  CHECK(isReportedLeaving(false));
  now.steady += 5s;
  CHECK_FALSE(isReportedLeaving(false));
  machine.Handle(AgentLeavingListUpdated{ { "writer-1" } }, now);
  CHECK(isReportedLeaving(false));
  machine.Handle(AgentLeavingListUpdated{ {} }, now);
  CHECK_FALSE(isReportedLeaving(false));
}

} // namespace gypsum::tests
