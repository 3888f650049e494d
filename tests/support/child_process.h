#pragma once

#include <sys/types.h>

#include <mutex>
#include <string>
#include <vector>

namespace gypsum::tests {

/** A child process; the destructor kills and reaps it. Any thread may use it.
 */
class ChildProcess
{
public:
  /** Starts a program and appends its standard output and error to a file. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  /** Waits for the exit; returns the exit code, or 128 plus the signal. */
  int Wait();
  bool IsRunning();
  pid_t Id() const { return id_; }

private:
  /** Reaps the process if it has ended; call with the lock held. */
  void ReapIfEnded();

  pid_t id_ = -1;
  mutable std::mutex mutex_; ///< Of what follows.
  int status_ = 0;
  bool isReaped_ = false;
};

} // namespace gypsum::tests
