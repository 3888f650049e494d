#pragma once

#include "core/entry/entry_machine.h"
#include "core/hash.h"
#include "tests/core/sample_manifest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace gypsum::tests {

class EntryFixture
{
protected:
  EntryFixture()
    : machine_(EntryOptions{ { "entry-1", kEntry },
                             "zone-a",
                             2,
                             std::chrono::milliseconds(250),
                             1 })
  {
    Handle(EntryManifestAdopted{ SampleManifest() });
    for (const char* name : { "writer-1", "writer-2", "booking-1" }) {
      Handle(EntryMessage{ { { { name, kAgent }, kEntry, 1 }, Report{} } });
    }
  }

  EntryEffects Handle(EntryEvent aEvent)
  {
    return machine_.Handle(std::move(aEvent), now_);
  }
  EntryEffects Submit(std::uint64_t aCall, bool aIsFirst = false)
  {
    return Handle(CallerRequest{
      aCall, { "atelier", "key-1" }, "hold", "body", {}, aIsFirst });
  }
  /** First stage request among the effects; null if there is none. */
  static const StageRequest* SentStage(const EntryEffects& aEffects)
  {
    for (const EntryEffect& effect : aEffects) {
      const auto* const sent = std::get_if<SendTo>(&effect);
      if (sent && std::holds_alternative<StageRequest>(sent->message.body)) {
        return &std::get<StageRequest>(sent->message.body);
      }
    }
    return nullptr;
  }
  static std::string AddressOf(const EntryEffects& aEffects)
  {
    const auto sent = std::ranges::find_if(aEffects, [](const auto& aEffect) {
      return std::holds_alternative<SendTo>(aEffect);
    });
    return sent == aEffects.end() ? "" : std::get<SendTo>(*sent).address;
  }
  static const AnswerCaller* Answered(const EntryEffects& aEffects)
  {
    for (const EntryEffect& effect : aEffects) {
      if (const auto* const answer = std::get_if<AnswerCaller>(&effect)) {
        return answer;
      }
    }
    return nullptr;
  }
  EntryEffects Reply(const std::string& aSender,
                     const StageId& aId,
                     Outcome aOutcome,
                     const std::string& aOutput)
  {
    StageReply reply;
    reply.id = aId;
    reply.outcome = aOutcome;
    reply.error = aOutcome == Outcome::Complete ? ErrorKind::None
                                                : ErrorKind::BackendFailed;
    reply.output = aOutput;
    reply.checksum = Checksum(aOutput);
    return Handle(
      EntryMessage{ { { { aSender, kAgent }, kEntry, 1 }, std::move(reply) } });
  }
  std::string WriterAt(const std::string& aAddress) const
  {
    return aAddress == "127.0.0.1:7001" ? "writer-1" : "writer-2";
  }

  static constexpr Incarnation kEntry = 11;
  static constexpr Incarnation kAgent = 22;
  ClockReading now_{ Instant(std::chrono::hours(1)), {} };
  EntryMachine machine_;
};

TEST_CASE_FIXTURE(EntryFixture,
                  "[Entry] a request runs all its stages and completes")
{
  const EntryEffects first = Submit(1);
  const StageRequest* const draft = SentStage(first);
  REQUIRE(draft);
  CHECK(draft->operation == "/draft");
  const EntryEffects second =
    Reply(WriterAt(AddressOf(first)), draft->id, Outcome::Complete, "drafted");
  const StageRequest* const confirm = SentStage(second);
  REQUIRE(confirm);
  CHECK_FALSE(confirm->isRepeatable);
  CHECK(confirm->input == "drafted");
  const EntryEffects last =
    Reply("booking-1", confirm->id, Outcome::Complete, "confirmed");
  REQUIRE(Answered(last));
  CHECK(Answered(last)->answer.outcome == Outcome::Complete);
  CHECK(Answered(last)->answer.body == "confirmed");
}

TEST_CASE_FIXTURE(
  EntryFixture,
  "[Entry] a failed repeatable stage is retried on another replica")
{
  const EntryEffects first = Submit(1);
  const std::string address = AddressOf(first);
  const EntryEffects second =
    Reply(WriterAt(address), SentStage(first)->id, Outcome::Unknown, "");
  REQUIRE(SentStage(second));
  CHECK(AddressOf(second) != address);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "[Entry] a booking with an unknown outcome is not retried")
{
  const EntryEffects first = Submit(1);
  const EntryEffects second = Reply(WriterAt(AddressOf(first)),
                                    SentStage(first)->id,
                                    Outcome::Complete,
                                    "drafted");
  const EntryEffects last =
    Reply("booking-1", SentStage(second)->id, Outcome::Unknown, "");
  CHECK_FALSE(SentStage(last));
  REQUIRE(Answered(last));
  CHECK(Answered(last)->answer.outcome == Outcome::Unknown);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "[Entry] a reply with a wrong checksum is counted as corrupt")
{
  const EntryEffects first = Submit(1);
  StageReply reply;
  reply.id = SentStage(first)->id;
  reply.outcome = Outcome::Complete;
  reply.output = "drafted";
  reply.checksum = 1;
  Handle(EntryMessage{
    { { { WriterAt(AddressOf(first)), kAgent }, kEntry, 1 }, reply } });
  CHECK(machine_.Counters().corrupt == 1);
}

TEST_CASE_FIXTURE(EntryFixture,
                  "[Entry] a new key beyond the limit is refused as not run")
{
  Submit(1);
  Submit(2);
  const EntryEffects refused = Submit(3, true);
  REQUIRE(Answered(refused));
  CHECK(Answered(refused)->answer.outcome == Outcome::NotRun);
  CHECK(Answered(refused)->answer.error == ErrorKind::Overloaded);
  CHECK(Answered(refused)->answer.retryAfter > Duration::zero());
}

TEST_CASE_FIXTURE(EntryFixture,
                  "[Entry] a used key beyond the limit is refused as unknown")
{
  Submit(1);
  Submit(2);
  const EntryEffects refused = Submit(3);
  REQUIRE(Answered(refused));
  CHECK(Answered(refused)->answer.outcome == Outcome::Unknown);
  CHECK(Answered(refused)->answer.effect == Outcome::Unknown);
  CHECK(Answered(refused)->answer.error == ErrorKind::Overloaded);
  CHECK(Answered(refused)->answer.retryAfter > Duration::zero());
}

TEST_CASE_FIXTURE(
  EntryFixture,
  "[Entry] a new key whose repeatable stage failed has no effect")
{
  const EntryEffects first = Submit(1, true);
  const std::string address = AddressOf(first);
  const EntryEffects second =
    Reply(WriterAt(address), SentStage(first)->id, Outcome::Unknown, "");
  const EntryEffects last = Reply(
    WriterAt(AddressOf(second)), SentStage(second)->id, Outcome::Unknown, "");
  REQUIRE(Answered(last));
  CHECK(Answered(last)->answer.outcome == Outcome::Unknown);
  CHECK(Answered(last)->answer.effect == Outcome::NotRun);
}

TEST_CASE_FIXTURE(
  EntryFixture,
  "[Entry] a request past its deadline is answered at the next tick")
{
  Submit(1);
  now_.steady += std::chrono::milliseconds(1'000);
  const EntryEffects effects = Handle(EntryTick{});
  REQUIRE(Answered(effects));
  CHECK(Answered(effects)->answer.error == ErrorKind::DeadlineExceeded);
  CHECK(Answered(effects)->answer.outcome == Outcome::Unknown);
}

} // namespace gypsum::tests
