#include "tests/fakes/fake_platform.h"

#include "tests/fakes/query.h"

#include <chrono>

namespace gypsum::fakes {

namespace {

constexpr unsigned kNoContent = 204;
constexpr unsigned kNotFound = 404;

} // namespace

HttpReply FakePlatform::Handle(const HttpRequest& aRequest)
{
  if (aRequest.path.starts_with("/control/")) {
    return Control(aRequest);
  }
  {
    const std::lock_guard lock(mutex_);
    ++calls_;
    if (failStatus_ != 0) {
      return { failStatus_, "failing", {}, {} };
    }
  }
  if (aRequest.path == "/v1/manifest") {
    return ReadManifest(aRequest);
  }
  if (aRequest.path == "/v1/vms") {
    return ListVms();
  }
  return { kNotFound, "no such path", {}, {} };
}

HttpReply FakePlatform::ReadManifest(const HttpRequest& aRequest)
{
  const std::uint64_t after = QueryNumber(aRequest.query, "after", 0);
  const std::chrono::milliseconds wait(
    QueryNumber(aRequest.query, "wait_ms", 0));
  std::unique_lock lock(mutex_);
  published_.wait_for(
    lock, wait, [&] { return revision_ > after || failStatus_ != 0; });
  if (revision_ <= after) {
    return { kNoContent, "no change", {}, {} };
  }
  return {
    200, "OK", { { "Config-Revision", std::to_string(revision_) } }, manifest_
  };
}

HttpReply FakePlatform::ListVms()
{
  const std::lock_guard lock(mutex_);
  std::string list;
  for (const auto& [name, state] : vms_) {
    list.append(name).append(" ").append(state).append("\n");
  }
  return { 200, "OK", {}, list };
}

HttpReply FakePlatform::Control(const HttpRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  if (aRequest.path == "/control/publish") {
    revision_ = QueryNumber(aRequest.query, "revision", revision_ + 1);
    manifest_ = aRequest.body;
  } else if (aRequest.path == "/control/vm") {
    vms_[QueryText(aRequest.query, "name")] =
      QueryText(aRequest.query, "state");
  } else if (aRequest.path == "/control/fail") {
    failStatus_ =
      static_cast<unsigned>(QueryNumber(aRequest.query, "status", 0));
  } else if (aRequest.path == "/control/calls") {
    return { 200, "OK", {}, std::to_string(calls_) };
  } else {
    return { kNotFound, "no such path", {}, {} };
  }
  published_.notify_all();
  return {};
}

} // namespace gypsum::fakes
