#include "core/gateway/retry_policy.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace gypsum::tests {

namespace {

constexpr auto kRepeatable = Repeatability::Repeatable;
constexpr auto kAtMostOnce = Repeatability::AtMostOnce;
constexpr auto kOnceStream = Repeatability::OnceStream;
constexpr auto kResumedStream = Repeatability::ResumedStream;

struct Row
{
  SendState state;
  NextStep expected;
};

/** Kind, failure, a send may have run, answer has started, can retry. */
const std::array kTable{
  // Nothing was sent: any kind of request may be retried.
  Row{ { kRepeatable, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnce, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kOnceStream, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kResumedStream, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnce, SendFailure::NotConnected, false, false, false },
       NextStep::RefuseNotRun },
  // The backend server states that it has not run the request.
  Row{ { kAtMostOnce, SendFailure::Rejected, false, false, true },
       NextStep::Retry },
  Row{ { kOnceStream, SendFailure::Rejected, false, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnce, SendFailure::Rejected, false, false, false },
       NextStep::RefuseNotRun },
  Row{ { kRepeatable, SendFailure::Rejected, false, false, false },
       NextStep::RefuseNotRun },
  // A rejection says nothing about an earlier send that may have run.
  Row{ { kRepeatable, SendFailure::Rejected, true, false, false },
       NextStep::FailUnknown },
  Row{ { kResumedStream, SendFailure::NotConnected, true, false, false },
       NextStep::FailUnknown },
  Row{ { kAtMostOnce, SendFailure::Rejected, true, false, true },
       NextStep::FailUnknown },
  // It may have run: only requests that may run twice are retried.
  Row{ { kRepeatable, SendFailure::Lost, true, false, true }, NextStep::Retry },
  Row{ { kResumedStream, SendFailure::Lost, true, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnce, SendFailure::Lost, true, false, true },
       NextStep::FailUnknown },
  Row{ { kOnceStream, SendFailure::Lost, true, false, true },
       NextStep::FailUnknown },
  Row{ { kRepeatable, SendFailure::Lost, true, false, false },
       NextStep::FailUnknown },
  // The backend server ran the request and answered with a failure.
  Row{ { kRepeatable, SendFailure::Failed, true, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnce, SendFailure::Failed, true, false, true },
       NextStep::ForwardFailure },
  Row{ { kRepeatable, SendFailure::Failed, true, false, false },
       NextStep::ForwardFailure },
  // A stream broke off: another replica resumes it, or the answer is cut.
  Row{ { kResumedStream, SendFailure::Interrupted, true, true, true },
       NextStep::Resume },
  Row{ { kResumedStream, SendFailure::NotConnected, true, true, true },
       NextStep::Resume },
  Row{ { kResumedStream, SendFailure::Interrupted, true, true, false },
       NextStep::AbortResponse },
  Row{ { kOnceStream, SendFailure::Interrupted, true, true, true },
       NextStep::AbortResponse },
  Row{ { kRepeatable, SendFailure::Interrupted, true, true, true },
       NextStep::AbortResponse },
};

} // namespace

TEST_CASE("[RetryPolicy] each state leads to the step in its row")
{
  for (const Row& row : kTable) {
    CAPTURE(static_cast<int>(row.state.kind));
    CAPTURE(std::string(NameOf(row.state.failure)));
    CAPTURE(row.state.mayHaveRun);
    CAPTURE(row.state.hasResponseStarted);
    CAPTURE(row.state.canRetry);
    CHECK(std::string(NameOf(DecideNextStep(row.state))) ==
          std::string(NameOf(row.expected)));
  }
}

TEST_CASE(
  "[RetryPolicy] a request that may have run is never refused as not run")
{
  for (const auto kind :
       { kRepeatable, kAtMostOnce, kOnceStream, kResumedStream }) {
    for (const auto failure : { SendFailure::NotConnected,
                                SendFailure::Rejected,
                                SendFailure::Lost,
                                SendFailure::Failed,
                                SendFailure::Interrupted }) {
      for (const bool mayRetry : { false, true }) {
        CHECK(DecideNextStep({ kind, failure, true, false, mayRetry }) !=
              NextStep::RefuseNotRun);
      }
    }
  }
}

TEST_CASE("[RetryPolicy] a request that may run only once is not retried after "
          "it may have run")
{
  for (const auto kind : { kAtMostOnce, kOnceStream }) {
    for (const auto failure : { SendFailure::NotConnected,
                                SendFailure::Rejected,
                                SendFailure::Lost,
                                SendFailure::Failed,
                                SendFailure::Interrupted }) {
      for (const bool hasResponseStarted : { false, true }) {
        const NextStep step =
          DecideNextStep({ kind, failure, true, hasResponseStarted, true });
        CHECK(step != NextStep::Retry);
        CHECK(step != NextStep::Resume);
      }
    }
  }
}

} // namespace gypsum::tests
