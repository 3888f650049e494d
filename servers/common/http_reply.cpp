#include "servers/common/http_reply.h"

#include "core/hash.h"

#include <algorithm>
#include <string>

namespace gypsum {

namespace {

constexpr int kHexBase = 16;

std::string Hex(std::uint64_t aValue)
{
  std::string text(kHexBase, '0');
  std::ranges::generate(text.rbegin(), text.rend(), [&aValue] {
    const char digit = "0123456789abcdef"[aValue % kHexBase];
    aValue /= kHexBase;
    return digit;
  });
  return text;
}

std::string RetryAfterSeconds(Duration aDuration)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aDuration);
  return std::to_string(std::max<std::int64_t>(seconds.count(), 1));
}

} // namespace

HttpReply ToHttpReply(const Answer& aAnswer)
{
  const ErrorResponse& response = ErrorResponseOf(aAnswer.error);
  HttpReply reply;
  reply.status = response.httpStatus;
  reply.reason = response.text;
  reply.headers.emplace_back("Gypsum-Outcome", NameOf(aAnswer.outcome));
  if (aAnswer.effect) {
    reply.headers.emplace_back("Gypsum-Effect", NameOf(*aAnswer.effect));
  }
  if (aAnswer.outcome == Outcome::Complete) {
    reply.headers.emplace_back("Gypsum-Checksum", Hex(Checksum(aAnswer.body)));
    reply.headers.emplace_back("Content-Type", "application/octet-stream");
    reply.body = aAnswer.body;
    return reply;
  }
  reply.headers.emplace_back("Gypsum-Error", response.name);
  if (aAnswer.error == ErrorKind::Stopping) {
    // The socket is about to close; callers must not reuse the connection.
    reply.headers.emplace_back("Connection", "close");
  }
  reply.headers.emplace_back("Content-Type", "text/plain");
  if (aAnswer.retryAfter > Duration::zero()) {
    reply.headers.emplace_back("Retry-After",
                               RetryAfterSeconds(aAnswer.retryAfter));
  }
  reply.body =
    std::string(response.name) + ": " +
    (aAnswer.text.empty() ? std::string(response.text) : aAnswer.text) + "\n";
  return reply;
}

HttpReply ToHttpReply(ErrorKind aError,
                      Outcome aOutcome,
                      std::string_view aText)
{
  return ToHttpReply(Answer{ aOutcome,
                             aError,
                             ErrorResponseOf(aError).retryAfter,
                             {},
                             std::string(aText) });
}

} // namespace gypsum
