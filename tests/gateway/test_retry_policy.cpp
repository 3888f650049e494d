#include "core/gateway/retry_policy.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace gypsum::tests {

namespace {

constexpr auto kAny = Repeatability::Repeatable;
constexpr auto kOnce = Repeatability::AtMostOnce;
constexpr auto kStream = Repeatability::OnceStream;
constexpr auto kResumed = Repeatability::ResumedStream;

struct Row
{
  SendState state;
  NextStep expected;
};

/** Kind, end, an earlier send may have run, answer begun, more sends left. */
const std::array kTable{
  // Nothing left the gateway: any kind may be sent again.
  Row{ { kAny, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kOnce, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kStream, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kResumed, SendFailure::NotConnected, false, false, true },
       NextStep::Retry },
  Row{ { kOnce, SendFailure::NotConnected, false, false, false },
       NextStep::RefuseNotRun },
  // The backend server said that it has not run it.
  Row{ { kOnce, SendFailure::Rejected, false, false, true }, NextStep::Retry },
  Row{ { kStream, SendFailure::Rejected, false, false, true },
       NextStep::Retry },
  Row{ { kOnce, SendFailure::Rejected, false, false, false },
       NextStep::RefuseNotRun },
  Row{ { kAny, SendFailure::Rejected, false, false, false },
       NextStep::RefuseNotRun },
  // A rejection says nothing about an earlier send that may have run.
  Row{ { kAny, SendFailure::Rejected, true, false, false },
       NextStep::FailUnknown },
  Row{ { kResumed, SendFailure::NotConnected, true, false, false },
       NextStep::FailUnknown },
  Row{ { kOnce, SendFailure::Rejected, true, false, true },
       NextStep::FailUnknown },
  // It may have run: only what may run twice is sent again.
  Row{ { kAny, SendFailure::Lost, true, false, true }, NextStep::Retry },
  Row{ { kResumed, SendFailure::Lost, true, false, true }, NextStep::Retry },
  Row{ { kOnce, SendFailure::Lost, true, false, true }, NextStep::FailUnknown },
  Row{ { kStream, SendFailure::Lost, true, false, true },
       NextStep::FailUnknown },
  Row{ { kAny, SendFailure::Lost, true, false, false }, NextStep::FailUnknown },
  // The backend server's own failure has run.
  Row{ { kAny, SendFailure::Failed, true, false, true }, NextStep::Retry },
  Row{ { kOnce, SendFailure::Failed, true, false, true },
       NextStep::ForwardFailure },
  Row{ { kAny, SendFailure::Failed, true, false, false },
       NextStep::ForwardFailure },
  // A stream that broke off: another replica goes on, or it is seen as cut.
  Row{ { kResumed, SendFailure::Interrupted, true, true, true },
       NextStep::Resume },
  Row{ { kResumed, SendFailure::NotConnected, true, true, true },
       NextStep::Resume },
  Row{ { kResumed, SendFailure::Interrupted, true, true, false },
       NextStep::AbortResponse },
  Row{ { kStream, SendFailure::Interrupted, true, true, true },
       NextStep::AbortResponse },
  Row{ { kAny, SendFailure::Interrupted, true, true, true },
       NextStep::AbortResponse },
};

} // namespace

TEST_CASE("[SendAgain] each state leads to the step of its row")
{
  for (const Row& row : kTable) {
    CAPTURE(static_cast<int>(row.state.kind));
    CAPTURE(std::string(NameOf(row.state.end)));
    CAPTURE(row.state.mayHaveRun);
    CAPTURE(row.state.hasAnswered);
    CAPTURE(row.state.canSendMore);
    CHECK(std::string(NameOf(DecideNextStep(row.state))) ==
          std::string(NameOf(row.expected)));
  }
}

TEST_CASE("[SendAgain] what may have run is never refused as not run")
{
  for (const auto kind : { kAny, kOnce, kStream, kResumed }) {
    for (const auto end : { SendFailure::NotConnected,
                            SendFailure::Rejected,
                            SendFailure::Lost,
                            SendFailure::Failed,
                            SendFailure::Interrupted }) {
      for (const bool canSend : { false, true }) {
        CHECK(DecideNextStep({ kind, end, true, false, canSend }) !=
              NextStep::RefuseNotRun);
      }
    }
  }
}

TEST_CASE("[SendAgain] what runs once is not sent again once it may have run")
{
  for (const auto kind : { kOnce, kStream }) {
    for (const auto end : { SendFailure::NotConnected,
                            SendFailure::Rejected,
                            SendFailure::Lost,
                            SendFailure::Failed,
                            SendFailure::Interrupted }) {
      for (const bool hasAnswered : { false, true }) {
        const NextStep step =
          DecideNextStep({ kind, end, true, hasAnswered, true });
        CHECK(step != NextStep::Retry);
        CHECK(step != NextStep::Resume);
      }
    }
  }
}

} // namespace gypsum::tests
