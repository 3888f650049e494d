#pragma once

#include <boost/asio/io_context.hpp>

namespace gypsum {

/** An event loop whose tasks can be ended before what they refer to. */
class EventLoop : public boost::asio::io_context
{
public:
  using io_context::io_context;

  /** Destroys all tasks and handlers that wait for something, and what they
   * own; nothing runs on the loop any more. */
  void DestroyTasks() { shutdown(); }
};

} // namespace gypsum
