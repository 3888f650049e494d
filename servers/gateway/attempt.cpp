#include "servers/gateway/attempt.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace gypsum {

namespace {

/** Clients that come back later than this come back anyway. */
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

} // namespace

ErrorKind ErrorKindOf(HoldReason aReason)
{
  switch (aReason) {
    case HoldReason::Resting:
    case HoldReason::Returning:
      return ErrorKind::ServersResting;
    case HoldReason::LimitReached:
      return ErrorKind::ServerLimit;
    default:
      return ErrorKind::NoReplica;
  }
}

Duration RetryAfterOf(const TraitDecision& aDecision, Instant aNow)
{
  return std::clamp(Duration(aDecision.refusedUntil - aNow),
                    Duration(std::chrono::seconds(1)),
                    kMaxRetryAfter);
}

EdgeResponse FailureResponse(ErrorKind aKind, Duration aRetryAfter)
{
  const ErrorResponse& error = ErrorResponseOf(aKind);
  EdgeResponse response;
  response.status = error.httpStatus;
  response.fields.set("Content-Type", "text/plain");
  response.fields.set("Gypsum-Error", error.name);
  const Duration retryAfter =
    aRetryAfter.count() > 0 ? aRetryAfter : error.retryAfter;
  if (retryAfter.count() > 0) {
    std::array<char, 32> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%.2f",
                  std::chrono::duration<double>(retryAfter).count());
    response.fields.set("Retry-After", text.data());
  }
  response.body = std::string(error.text) + "\n";
  return response;
}

} // namespace gypsum
