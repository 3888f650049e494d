#pragma once

#include "core/admission/customer_usage.h"
#include "tests/core/test_entry_machine.h"

#include <doctest/doctest.h>

#include <chrono>

namespace gypsum::tests {

class AdmissionFixture : public EntryFixture
{
protected:
  /** Runs one request whose first stage has a given service time. */
  void Serve(std::uint64_t aCall, Duration aTime)
  {
    const EntryEffects first = Submit(aCall);
    REQUIRE(SentStage(first));
    StageReply reply;
    reply.id = SentStage(first)->id;
    reply.outcome = Outcome::Complete;
    reply.serviceTime = aTime;
    reply.checksum = Checksum(reply.output);
    const std::string writer = WriterAt(AddressOf(first));
    Handle(EntryMessage{ { { { writer, kAgent }, kEntry, 1 }, reply } });
  }
};

TEST_CASE_FIXTURE(
  AdmissionFixture,
  "[Admission] a request predicted to be late is refused before "
  "any stage runs, and a later one is admitted as a probe")
{
  Serve(1, std::chrono::seconds(3));
  const EntryEffects used = Submit(2);
  CHECK(SentStage(used) == nullptr);
  REQUIRE(Answered(used));
  // The key was used before, so an earlier attempt may have run.
  CHECK(Answered(used)->answer.outcome == Outcome::Unknown);
  CHECK(Answered(used)->answer.error == ErrorKind::DeadlineTooShort);
  const EntryEffects effects = Submit(4, true);
  CHECK(SentStage(effects) == nullptr);
  REQUIRE(Answered(effects));
  const Answer& answer = Answered(effects)->answer;
  CHECK(answer.outcome == Outcome::NotRun);
  CHECK(answer.error == ErrorKind::DeadlineTooShort);
  // Three seconds of work exceed a deadline of one second by two.
  CHECK(answer.retryAfter >= std::chrono::seconds(2));
  now_.steady += std::chrono::seconds(5);
  CHECK(SentStage(Submit(3)) != nullptr);
}

TEST_CASE("[Admission] usage is relative to the weight and decays")
{
  const Instant start{ std::chrono::hours(1) };
  CustomerUsage usage;
  usage.OnAdmitted("large", 3, std::chrono::seconds(3), start);
  usage.OnAdmitted("small", 1, std::chrono::seconds(1), start);
  CHECK(usage.RelativeUsage("large", 3, start) == doctest::Approx(1));
  usage.OnAdmitted("large", 3, std::chrono::seconds(4), start);
  CHECK(usage.RelativeUsage("large", 3, start) > 1);
  CHECK(usage.RelativeUsage("small", 1, start) < 1);
  CHECK(usage.RelativeUsage("absent", 1, start) == 0);
  const Instant later = start + std::chrono::minutes(1);
  CHECK(usage.RelativeUsage("large", 3, later) == 1);
}

} // namespace gypsum::tests
