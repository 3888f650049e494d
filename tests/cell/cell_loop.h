#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>
#include <type_traits>
#include <utility>

namespace gypsum::tests {

/** The event loop that all fakes of one cell execution on, in a thread. */
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

  /** Runs a function on the loop and waits for what it returns. */
  template<typename Function>
  auto Run(Function aFunction) -> std::invoke_result_t<Function>
  {
    std::packaged_task<std::invoke_result_t<Function>()> task(
      std::move(aFunction));
    auto result = task.get_future();
    // Asio takes a bare task for a token and retrieves its future itself.
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
