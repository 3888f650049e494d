#include "core/gateway/retry_policy.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace gypsum::tests {

namespace {

constexpr auto kRepeatable = Repeatability::Repeatable;
constexpr auto kAtMostOnce = Repeatability::AtMostOnce;
constexpr auto kAtMostOnceStream = Repeatability::AtMostOnceStream;
constexpr auto kResumableStream = Repeatability::ResumableStream;

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
  Row{ { kAtMostOnceStream, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kResumableStream, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnce, SendFailure::NotConnected, false, false, false },
       NextStep::RefuseNotRun },
  // The backend server states that it has not run the request.
  Row{ { kAtMostOnce, SendFailure::Rejected, false, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnceStream, SendFailure::Rejected, false, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnce, SendFailure::Rejected, false, false, false },
       NextStep::RefuseNotRun },
  Row{ { kRepeatable, SendFailure::Rejected, false, false, false },
       NextStep::RefuseNotRun },
  // A rejection says nothing about an earlier send that may have run.
  Row{ { kRepeatable, SendFailure::Rejected, true, false, false },
       NextStep::FailUnknown },
  Row{ { kResumableStream, SendFailure::NotConnected, true, false, false },
       NextStep::FailUnknown },
  Row{ { kAtMostOnce, SendFailure::Rejected, true, false, true },
       NextStep::FailUnknown },
  // It may have run: only requests that may run twice are retried.
  Row{ { kRepeatable, SendFailure::Lost, true, false, true }, NextStep::Retry },
  Row{ { kResumableStream, SendFailure::Lost, true, false, true },
       NextStep::Retry },
  Row{ { kAtMostOnce, SendFailure::Lost, true, false, true },
       NextStep::FailUnknown },
  Row{ { kAtMostOnceStream, SendFailure::Lost, true, false, true },
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
  Row{ { kResumableStream, SendFailure::Interrupted, true, true, true },
       NextStep::Resume },
  Row{ { kResumableStream, SendFailure::NotConnected, true, true, true },
       NextStep::Resume },
  Row{ { kResumableStream, SendFailure::Interrupted, true, true, false },
       NextStep::AbortResponse },
  Row{ { kAtMostOnceStream, SendFailure::Interrupted, true, true, true },
       NextStep::AbortResponse },
  Row{ { kRepeatable, SendFailure::Interrupted, true, true, true },
       NextStep::AbortResponse },
};

} // namespace

TEST_CASE("[RetryPolicy] each state leads to the step in its row")
{
  for (const Row& row : kTable) {
    CAPTURE(static_cast<int>(row.state.repeatability));
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
  for (const auto repeatability :
       { kRepeatable, kAtMostOnce, kAtMostOnceStream, kResumableStream }) {
    for (const auto failure : { SendFailure::NotConnected,
                                SendFailure::Rejected,
                                SendFailure::Lost,
                                SendFailure::Failed,
                                SendFailure::Interrupted }) {
      for (const bool mayRetry : { false, true }) {
        CHECK(
          DecideNextStep({ repeatability, failure, true, false, mayRetry }) !=
          NextStep::RefuseNotRun);
      }
    }
  }
}

TEST_CASE("[RetryPolicy] a request that may run only once is not retried after "
          "it may have run")
{
  for (const auto repeatability : { kAtMostOnce, kAtMostOnceStream }) {
    for (const auto failure : { SendFailure::NotConnected,
                                SendFailure::Rejected,
                                SendFailure::Lost,
                                SendFailure::Failed,
                                SendFailure::Interrupted }) {
      for (const bool hasResponseStarted : { false, true }) {
        const NextStep step = DecideNextStep(
          { repeatability, failure, true, hasResponseStarted, true });
        CHECK(step != NextStep::Retry);
        CHECK(step != NextStep::Resume);
      }
    }
  }
}

} // namespace gypsum::tests
