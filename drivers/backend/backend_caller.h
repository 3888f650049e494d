#pragma once

#include "core/agent/agent_events.h"

#include <boost/json/fwd.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsum {

class HttpClient;
class Kernel;

/**
 * Calls the backend server next to this agent, on threads of its own.
 *
 * A thread is added when every existing one is busy, so calls run in parallel.
 */
class BackendCaller
{
public:
  /** Called when a call has ended: on a worker thread, or within `Abort`. */
  using Handler = std::function<void(BackendReturned)>;

  explicit BackendCaller(std::string aAddress);
  ~BackendCaller();
  BackendCaller(const BackendCaller&) = delete;
  BackendCaller& operator=(const BackendCaller&) = delete;

  void SetHandler(Handler aHandler) { handler_ = std::move(aHandler); }
  /** Queues a call; its result is passed to the handler. */
  void Call(CallBackend aCall);
  /** Aborts a queued or running call; a running one loses its connection. */
  void Abort(std::uint64_t aCall);

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  struct Pending
  {
    CallBackend call;
    Instant deadline{};
  };

  void Loop();

  std::string address_;
  Handler handler_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Pending> pending_;
  std::map<std::uint64_t, HttpClient*> runningCalls_;
  std::size_t idleThreads_ = 0;
  bool isStopping_ = false;
  std::vector<std::thread> threads_;
};

} // namespace gypsum
