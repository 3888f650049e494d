#include "core/scope_exit.h"
#include "drivers/event_loop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <set>

namespace gypsum::tests {

namespace {

namespace asio = boost::asio;

/** The loop is destroyed last, as the one of a gateway. */
struct EventLoopFixture
{
  asio::awaitable<void> WaitListed()
  {
    open.insert(1);
    const ScopeExit leave([this] { open.erase(1); });
    asio::steady_timer timer(loop, std::chrono::hours(1));
    co_await timer.async_wait(asio::use_awaitable);
  }

  EventLoop loop;
  std::set<int> open;
};

} // namespace

// Guards against tasks that erase themselves from a list that is gone.
TEST_CASE_FIXTURE(
  EventLoopFixture,
  "[EventLoop] tasks that wait as the loop ends leave what they "
  "refer to while it is there")
{
  asio::co_spawn(loop, WaitListed(), asio::detached);
  loop.poll();
  REQUIRE(open.size() == 1);
  loop.stop();
  loop.DestroyTasks();
  CHECK(open.empty());
}

} // namespace gypsum::tests
