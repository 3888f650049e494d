#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>
#include <type_traits>
#include <utility>

namespace gypsum::tests {

/** Event loop, in its own thread, that runs all fakes of one cell. */
class CellLoop
{
public:
  CellLoop()
    : work_(boost::asio::make_work_guard(loop_))
    , thread_([this] { loop_.run(); })
  {
  }
  ~CellLoop() { Stop(); }
  CellLoop(const CellLoop&) = delete;
  CellLoop& operator=(const CellLoop&) = delete;

  void Stop()
  {
    loop_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  boost::asio::io_context& Context() { return loop_; }

  /** Runs a function on the loop and returns its result. */
  template<typename Function>
  auto Run(Function aFunction) -> std::invoke_result_t<Function>
  {
    std::packaged_task<std::invoke_result_t<Function>()> task(
      std::move(aFunction));
    auto result = task.get_future();
    // Asio treats a bare packaged_task as a completion token and takes its
    // future, so it is wrapped in a lambda.
    boost::asio::post(loop_, [task = std::move(task)]() mutable { task(); });
    return result.get();
  }

private:
  boost::asio::io_context loop_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_;
  std::thread thread_;
};

} // namespace gypsum::tests
