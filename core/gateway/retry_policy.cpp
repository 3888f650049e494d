#include "core/gateway/retry_policy.h"

#include <array>
#include <cstddef>

namespace gypsum {

namespace {

bool MayRunTwice(Repeatability aRepeatability)
{
  return aRepeatability == Repeatability::Repeatable ||
         aRepeatability == Repeatability::ResumableStream;
}

bool HasCertainlyNotRun(SendFailure aFailure)
{
  return aFailure == SendFailure::NotConnected ||
         aFailure == SendFailure::HeldBack || aFailure == SendFailure::Rejected;
}

/** The step to take when the request is not sent again. */
NextStep FinalStep(const SendState& aState)
{
  if (aState.hasResponseStarted) {
    return NextStep::AbortResponse;
  }
  if (aState.failure == SendFailure::Failed) {
    return NextStep::ForwardFailure;
  }
  if (HasCertainlyNotRun(aState.failure) && !aState.mayHaveRun) {
    return NextStep::RefuseNotRun;
  }
  return NextStep::FailUnknown;
}

} // namespace

NextStep DecideNextStep(const SendState& aState)
{
  if (!aState.canRetry) {
    return FinalStep(aState);
  }
  if (aState.hasResponseStarted) {
    return aState.repeatability == Repeatability::ResumableStream
             ? NextStep::Resume
             : NextStep::AbortResponse;
  }
  if (HasCertainlyNotRun(aState.failure) && !aState.mayHaveRun) {
    return NextStep::Retry;
  }
  return MayRunTwice(aState.repeatability) ? NextStep::Retry
                                           : FinalStep(aState);
}

std::string_view NameOf(SendFailure aFailure)
{
  constexpr std::array<std::string_view, 6> kNames{
    "not-connected", "rejected", "lost", "failed", "interrupted", "held-back"
  };
  return kNames[static_cast<std::size_t>(aFailure)];
}

std::string_view NameOf(NextStep aStep)
{
  constexpr std::array<std::string_view, 6> kNames{
    "send-again",   "resume",       "refuse-not-run",
    "fail-unknown", "pass-failure", "break-off"
  };
  return kNames[static_cast<std::size_t>(aStep)];
}

} // namespace gypsum
