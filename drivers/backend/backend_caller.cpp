#include "drivers/backend/backend_caller.h"

#include "drivers/clock.h"
#include "drivers/http/http_client.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace gypsum {

namespace {

constexpr std::string_view kKeyHeader = "Idempotency-Key";

/** Whether the idempotency key of a reply differs from that of the request. */
bool IsMisdirected(const HttpReply& aReply, const RequestId& aId)
{
  return std::ranges::any_of(aReply.headers, [&](const auto& aHeader) {
    return boost::algorithm::iequals(aHeader.first, kKeyHeader) &&
           aHeader.second != aId.key;
  });
}

BackendResult Execute(HttpClient& aClient,
                      const CallBackend& aCall,
                      Instant aDeadline)
{
  HttpRequest request;
  request.method = "POST";
  request.path = aCall.operation;
  request.headers = { { "Gypsum-Customer", aCall.id.customer },
                      { "Gypsum-Priority", std::to_string(aCall.priority) },
                      { std::string(kKeyHeader), aCall.id.key } };
  request.body = aCall.input;
  // On a reused connection the library may send the request twice, and the
  // reply read from it may belong to an earlier call.
  HttpCallResult result =
    aClient.Call(request, ConnectionUse::Fresh, aDeadline - Now().steady);
  if (!result.reply || IsMisdirected(*result.reply, aCall.id)) {
    return { result.wasSent, 0, {} };
  }
  return { true, result.reply->status, std::move(result.reply->body) };
}

} // namespace

BackendCaller::BackendCaller(std::string aAddress)
  : address_(std::move(aAddress))
{
}

BackendCaller::~BackendCaller()
{
  Stop();
}

void BackendCaller::Call(CallBackend aCall)
{
  const Instant deadline = Now().steady + aCall.timeout;
  {
    const std::lock_guard lock(mutex_);
    pending_.push_back({ std::move(aCall), deadline });
    if (idleThreads_ < pending_.size()) {
      threads_.emplace_back([this] { Loop(); });
    }
  }
  wake_.notify_one();
}

void BackendCaller::Abort(std::uint64_t aCall)
{
  {
    const std::lock_guard lock(mutex_);
    const auto running = runningCalls_.find(aCall);
    if (running != runningCalls_.end()) {
      running->second->Abort();
      return;
    }
    const auto queued = std::ranges::find_if(
      pending_, [&](const Pending& aItem) { return aItem.call.call == aCall; });
    if (queued == pending_.end()) {
      return;
    }
    pending_.erase(queued);
  }
  handler_({ aCall, { false, 0, {} } });
}

void BackendCaller::Start(Kernel& /*aKernel*/) {}

void BackendCaller::Stop()
{
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
    threads.swap(threads_);
  }
  wake_.notify_all();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void BackendCaller::Loop()
{
  std::unique_lock lock(mutex_);
  while (true) {
    ++idleThreads_;
    wake_.wait(lock, [this] { return isStopping_ || !pending_.empty(); });
    --idleThreads_;
    if (pending_.empty()) {
      return;
    }
    const Pending pending = std::move(pending_.front());
    pending_.pop_front();
    HttpClient client(address_);
    runningCalls_.emplace(pending.call.call, &client);
    lock.unlock();
    BackendResult result = Execute(client, pending.call, pending.deadline);
    lock.lock();
    runningCalls_.erase(pending.call.call);
    lock.unlock();
    handler_({ pending.call.call, std::move(result) });
    lock.lock();
  }
}

void BackendCaller::Describe(boost::json::object& aState) const
{
  const std::lock_guard lock(mutex_);
  aState["pending"] = pending_.size();
  aState["threads"] = threads_.size();
  aState["running"] = runningCalls_.size();
  aState["idle"] = idleThreads_;
}

} // namespace gypsum
