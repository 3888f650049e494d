#include "core/gateway/retry_policy.h"

#include <array>
#include <cstddef>

namespace gypsum {

namespace {

bool MayRunTwice(Repeatability aKind)
{
  return aKind == Repeatability::Repeatable ||
         aKind == Repeatability::ResumedStream;
}

bool IsSurelyNotRun(SendFailure aEnd)
{
  return aEnd == SendFailure::NotConnected || aEnd == SendFailure::Rejected;
}

/** The answer when no further send follows. */
NextStep GiveUp(const SendState& aState)
{
  if (aState.hasAnswered) {
    return NextStep::AbortResponse;
  }
  if (aState.end == SendFailure::Failed) {
    return NextStep::ForwardFailure;
  }
  if (IsSurelyNotRun(aState.end) && !aState.mayHaveRun) {
    return NextStep::RefuseNotRun;
  }
  return NextStep::FailUnknown;
}

} // namespace

NextStep DecideNextStep(const SendState& aState)
{
  if (!aState.canSendMore) {
    return GiveUp(aState);
  }
  if (aState.hasAnswered) {
    return aState.kind == Repeatability::ResumedStream
             ? NextStep::Resume
             : NextStep::AbortResponse;
  }
  if (IsSurelyNotRun(aState.end) && !aState.mayHaveRun) {
    return NextStep::Retry;
  }
  return MayRunTwice(aState.kind) ? NextStep::Retry : GiveUp(aState);
}

std::string_view NameOf(SendFailure aEnd)
{
  constexpr std::array<std::string_view, 5> kNames{
    "not-connected", "rejected", "lost", "failed", "interrupted"
  };
  return kNames[static_cast<std::size_t>(aEnd)];
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
