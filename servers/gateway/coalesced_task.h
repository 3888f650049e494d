#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <utility>

namespace gypsum {

/**
 * Runs a task once for all that ask for it in one turn of the event loop.
 *
 * What has arrived is handled first, so that a late gateway does the work once
 * for all of it. The object must outlive the event loop.
 */
class CoalescedTask
{
public:
  CoalescedTask(boost::asio::io_context& aLoop, std::function<void()> aTask)
    : loop_(aLoop)
    , task_(std::move(aTask))
  {
  }

  void Request()
  {
    if (std::exchange(isRequested_, true)) {
      return;
    }
    boost::asio::post(loop_, [this] {
      isRequested_ = false;
      task_();
    });
  }

private:
  boost::asio::io_context& loop_;
  std::function<void()> task_;
  bool isRequested_ = false;
};

} // namespace gypsum
