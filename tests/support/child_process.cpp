#include "tests/support/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <iterator>
#include <system_error>

namespace gypsum::tests {

namespace {

constexpr int kSignalBase = 128;
constexpr mode_t kLogMode = 0644;

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aLogFile)
{
  std::vector<std::string> arguments{ aProgram };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> raw;
  std::ranges::transform(
    arguments, std::back_inserter(raw), [](std::string& aArgument) {
      return aArgument.data();
    });
  raw.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDERR_FILENO,
                                   aLogFile.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND,
                                   kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  // An inherited socket would stay open when the test closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int code =
    posix_spawn(&id_, aProgram.c_str(), &actions, nullptr, raw.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (code != 0) {
    throw std::system_error(code, std::generic_category(), aProgram);
  }
}

ChildProcess::~ChildProcess()
{
  Signal(SIGKILL);
  Wait();
}

void ChildProcess::Signal(int aSignal) const
{
  const std::lock_guard lock(mutex_);
  if (!isReaped_) {
    kill(id_, aSignal);
  }
}

int ChildProcess::Wait()
{
  // Waits without reaping, so that other threads need not wait for the lock. An
  // error other than an interruption means that one of them has reaped it.
  siginfo_t ignored{};
  while (waitid(P_PID, static_cast<id_t>(id_), &ignored, WEXITED | WNOWAIT) !=
           0 &&
         errno == EINTR) {
  }
  const std::lock_guard lock(mutex_);
  ReapIfEnded();
  return WIFSIGNALED(status_) ? kSignalBase + WTERMSIG(status_)
                              : WEXITSTATUS(status_);
}

bool ChildProcess::IsRunning()
{
  const std::lock_guard lock(mutex_);
  ReapIfEnded();
  return !isReaped_;
}

void ChildProcess::ReapIfEnded()
{
  if (!isReaped_) {
    isReaped_ = waitpid(id_, &status_, WNOHANG) == id_;
  }
}

} // namespace gypsum::tests
