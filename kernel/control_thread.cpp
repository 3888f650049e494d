#include "kernel/control_thread.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace gypsum {

namespace {

constexpr std::chrono::seconds kMaxWait{ 1 };

} // namespace

ControlThread::~ControlThread()
{
  Stop();
}

void ControlThread::Post(Task aTask)
{
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(aTask));
  }
  wake_.notify_one();
}

void ControlThread::RunEvery(Duration aPeriod, Task aTask)
{
  Post([this, aPeriod, task = std::move(aTask)] {
    periodics_.push_back({ aPeriod, std::chrono::steady_clock::now(), task });
  });
}

void ControlThread::Start(Kernel& /*aKernel*/)
{
  thread_ = std::thread([this] { Loop(); });
}

void ControlThread::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ControlThread::Loop()
{
  std::unique_lock lock(mutex_);
  while (!isStopping_) {
    std::deque<Task> batch = std::exchange(tasks_, {});
    lock.unlock();
    for (const Task& task : batch) {
      task();
      ++tasksRun_;
    }
    RunDue();
    lock.lock();
    wake_.wait_until(
      lock, NextDue(), [this] { return isStopping_ || !tasks_.empty(); });
  }
}

void ControlThread::RunDue()
{
  const auto now = std::chrono::steady_clock::now();
  for (Periodic& periodic : periodics_) {
    if (periodic.due <= now) {
      periodic.due = now + periodic.period;
      periodic.task();
    }
  }
}

std::chrono::steady_clock::time_point ControlThread::NextDue() const
{
  const auto earliest =
    std::ranges::min_element(periodics_, {}, &Periodic::due);
  return earliest == periodics_.end()
           ? std::chrono::steady_clock::now() + kMaxWait
           : earliest->due;
}

void ControlThread::Describe(boost::json::object& aState) const
{
  aState["tasks_run"] = tasksRun_;
}

} // namespace gypsum
