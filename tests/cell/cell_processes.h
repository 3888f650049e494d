#pragma once

#include <sys/types.h>

#include <mutex>
#include <set>

namespace gypsum::tests {

/** The gateway processes that a cell has started; for use by any thread. */
class CellProcesses
{
public:
  void Add(pid_t aProcess)
  {
    const std::lock_guard lock(mutex_);
    processes_.insert(aProcess);
  }

  std::set<pid_t> All() const
  {
    const std::lock_guard lock(mutex_);
    return processes_;
  }

private:
  mutable std::mutex mutex_;
  std::set<pid_t> processes_;
};

} // namespace gypsum::tests
