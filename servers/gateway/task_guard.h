#pragma once

#include "drivers/event_log.h"
#include "servers/gateway/gateway_metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>
#include <string_view>

namespace gypsum {

/**
 * Runs the tasks of a gateway on its event loop; an exception ends only the
 * task that throws it.
 *
 * Such an exception is a fault of the gateway. It is logged as `task-failed`
 * and counted in `gypsum_task_failures_total`, and the process goes on with
 * the other requests.
 */
class TaskGuard
{
public:
  using Task = std::function<boost::asio::awaitable<void>()>;

  TaskGuard(boost::asio::io_context& aLoop,
            EventLog& aLog,
            GatewayMetrics& aMetrics);

  /** Starts a task that ends. `aName` is a literal. */
  void Spawn(std::string_view aName, boost::asio::awaitable<void> aTask);
  /** Starts a task that goes on until the process ends: it is started again
   * after a pause if it fails. */
  void SpawnEndless(std::string_view aName, Task aTask);
  /** Runs the event loop until it is stopped. What was posted to it may throw.
   */
  void RunLoop();
  /** Logs and counts the exception that ended a task. */
  void Report(std::string_view aName, const std::exception_ptr& aError);

  boost::asio::io_context& Loop() { return loop_; }

private:
  boost::asio::awaitable<void> RunEndless(std::string_view aName, Task aTask);

  boost::asio::io_context& loop_;
  EventLog& log_;
  GatewayMetrics& metrics_;
};

} // namespace gypsum
