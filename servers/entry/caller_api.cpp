#include "servers/entry/caller_api.h"

#include "kernel/kernel.h"
#include "servers/common/http_reply.h"
#include "servers/common/web_service.h"
#include "servers/entry/entry_service.h"

#include <boost/json/object.hpp>

#include <charconv>
#include <optional>
#include <string_view>

namespace gypsum {

namespace {

constexpr std::string_view kPathPrefix = "/v1/pipelines/";
constexpr std::size_t kMaxKeyBytes = 128;

/** Parses a deadline in ms; zero if empty, nothing if invalid. */
std::optional<Duration> ParseDeadline(std::string_view aText)
{
  if (aText.empty()) {
    return Duration::zero();
  }
  std::uint32_t milliseconds = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, milliseconds);
  if (code != std::errc() || end != last || milliseconds == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

HttpReply BadRequestReply(std::string_view aText)
{
  return ToHttpReply(ErrorKind::BadRequest, Outcome::NotRun, aText);
}

} // namespace

void CallerApi::Start(Kernel& aKernel)
{
  entry_ = &aKernel.Find<EntryService>("entry");
  aKernel.Find<WebService>("web").Serve(
    std::string(kPathPrefix),
    [this](const HttpRequest& aRequest) { return Serve(aRequest); });
}

void CallerApi::Stop() {}

void CallerApi::Describe(boost::json::object& aState) const
{
  aState["prefix"] = std::string(kPathPrefix);
}

HttpReply CallerApi::Serve(const HttpRequest& aRequest) const
{
  if (aRequest.method != "POST") {
    return BadRequestReply("expected POST, got " + aRequest.method);
  }
  const std::string_view key = aRequest.Header("Idempotency-Key");
  if (key.size() > kMaxKeyBytes) {
    return BadRequestReply("expected an Idempotency-Key of at most 128 bytes");
  }
  const auto deadline = ParseDeadline(aRequest.Header("Gypsum-Deadline-Ms"));
  if (!deadline) {
    return BadRequestReply("expected Gypsum-Deadline-Ms in whole milliseconds");
  }
  CallerRequest request;
  request.id = { std::string(aRequest.Header("Gypsum-Customer")),
                 std::string(key) };
  request.pipeline = aRequest.path.substr(kPathPrefix.size());
  request.body = aRequest.body;
  request.deadline = *deadline;
  request.isFirstAttempt = aRequest.Header("Gypsum-First-Attempt") == "true";
  return ToHttpReply(entry_->Submit(std::move(request)).get());
}

} // namespace gypsum
