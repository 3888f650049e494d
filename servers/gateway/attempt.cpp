#include "servers/gateway/attempt.h"

#include <array>
#include <cstdio>

namespace gypsum {

EdgeResponse FailureAnswer(ErrorKind aKind, Duration aRetryAfter)
{
  const ErrorResponse& rule = ErrorResponseOf(aKind);
  EdgeResponse answer;
  answer.status = rule.httpStatus;
  answer.fields.set("Content-Type", "text/plain");
  answer.fields.set("Gypsum-Error", rule.name);
  const Duration wait = aRetryAfter.count() > 0 ? aRetryAfter : rule.retryAfter;
  if (wait.count() > 0) {
    std::array<char, 32> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%.2f",
                  std::chrono::duration<double>(wait).count());
    answer.fields.set("Retry-After", text.data());
  }
  answer.body = std::string(rule.text) + "\n";
  return answer;
}

} // namespace gypsum
