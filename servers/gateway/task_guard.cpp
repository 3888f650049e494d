#include "servers/gateway/task_guard.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kRestartPause{ 100 };

std::string ReasonOf(const std::exception_ptr& aError)
{
  try {
    std::rethrow_exception(aError);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "unknown exception";
  }
}

} // namespace

TaskGuard::TaskGuard(asio::io_context& aLoop,
                     EventLog& aLog,
                     GatewayMetrics& aMetrics)
  : loop_(aLoop)
  , log_(aLog)
  , metrics_(aMetrics)
{
}

void TaskGuard::Spawn(std::string_view aName, asio::awaitable<void> aTask)
{
  asio::co_spawn(
    loop_, std::move(aTask), [this, aName](const std::exception_ptr& aError) {
      if (aError) {
        Report(aName, aError);
      }
    });
}

void TaskGuard::SpawnEndless(std::string_view aName, Task aTask)
{
  Spawn(aName, RunEndless(aName, std::move(aTask)));
}

asio::awaitable<void> TaskGuard::RunEndless(std::string_view aName, Task aTask)
{
  for (;;) {
    std::exception_ptr error;
    try {
      co_await aTask();
    } catch (...) {
      error = std::current_exception();
    }
    if (!error) {
      co_return;
    }
    Report(aName, error);
    asio::steady_timer pause(loop_, kRestartPause);
    boost::system::error_code ignored;
    co_await pause.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void TaskGuard::RunLoop()
{
  for (;;) {
    try {
      loop_.run();
      return;
    } catch (...) {
      Report("event-loop", std::current_exception());
    }
  }
}

void TaskGuard::Report(std::string_view aName, const std::exception_ptr& aError)
{
  log_.Write(LogClass::Failure,
             "task-failed",
             { { "task", aName }, { "reason", ReasonOf(aError) } });
  metrics_.Count("task_failures", "task", aName);
}

} // namespace gypsum
