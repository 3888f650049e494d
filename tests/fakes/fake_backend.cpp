#include "tests/fakes/fake_backend.h"

#include "tests/fakes/query.h"

#include <chrono>
#include <thread>

namespace gypsum::fakes {

namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kServerError = 500;

} // namespace

HttpReply FakeBackend::Handle(const HttpRequest& aRequest)
{
  return aRequest.path.starts_with("/control/") ? Control(aRequest)
                                                : Execute(aRequest);
}

HttpReply FakeBackend::Execute(const HttpRequest& aRequest)
{
  std::chrono::microseconds delay{};
  bool isFailing = false;
  {
    std::unique_lock lock(mutex_);
    const std::string key =
      std::string(aRequest.Header("Gypsum-Customer")) + "/" +
      std::string(aRequest.Header("Idempotency-Key")) + aRequest.path;
    ++executions_[key];
    unfrozen_.wait(lock, [this] { return !isFrozen_; });
    delay =
      2 * std::chrono::microseconds(networkDelayUs_) +
      std::chrono::milliseconds(delayMs_) +
      std::chrono::microseconds(delayUsPerInputByte_ * aRequest.body.size());
    if (failuresLeft_ > 0) {
      --failuresLeft_;
      isFailing = true;
    }
  }
  std::this_thread::sleep_for(delay);
  if (isFailing) {
    return { kServerError, "failing", {}, {} };
  }
  return { 200, "OK", {}, aRequest.path.substr(1) + "(" + aRequest.body + ")" };
}

HttpReply FakeBackend::Control(const HttpRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  if (aRequest.path == "/control/set") {
    delayMs_ = QueryNumber(aRequest.query, "delay_ms", delayMs_);
    delayUsPerInputByte_ =
      QueryNumber(aRequest.query, "delay_us_by_byte", delayUsPerInputByte_);
    networkDelayUs_ =
      QueryNumber(aRequest.query, "distance_us", networkDelayUs_);
    failuresLeft_ = QueryNumber(aRequest.query, "failures", failuresLeft_);
    isFrozen_ = QueryNumber(aRequest.query, "frozen", isFrozen_ ? 1 : 0) != 0;
    unfrozen_.notify_all();
    return {};
  }
  if (aRequest.path == "/control/executions") {
    HttpReply reply;
    for (const auto& [key, count] : executions_) {
      reply.body.append(key).append(" ").append(std::to_string(count));
      reply.body.append("\n");
    }
    return reply;
  }
  return { kNotFound, "no such path", {}, {} };
}

} // namespace gypsum::fakes
