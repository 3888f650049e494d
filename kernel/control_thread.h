#pragma once

#include "core/time.h"

#include <boost/json/fwd.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace gypsum {

class Kernel;

/** The only thread of a process that accesses control state. */
class ControlThread
{
public:
  using Task = std::function<void()>;

  ControlThread() = default;
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;
  ~ControlThread();

  /** Runs a task on the control thread; tasks run in the order of posting. */
  void Post(Task aTask);
  /** Runs a task on the control thread periodically, the first time at once. */
  void RunEvery(Duration aPeriod, Task aTask);

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  struct Periodic
  {
    Duration period{};
    std::chrono::steady_clock::time_point due;
    Task task;
  };

  void Loop();
  void RunDue();
  std::chrono::steady_clock::time_point NextDue() const;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> tasks_;
  std::vector<Periodic> periodics_; ///< Used only on the control thread.
  bool isStopping_ = false;
  std::uint64_t tasksRun_ = 0;
  std::thread thread_;
};

} // namespace gypsum
