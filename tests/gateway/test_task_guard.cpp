#include "servers/gateway/task_guard.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <new>
#include <stdexcept>
#include <string>

namespace gypsum::tests {

namespace {

namespace asio = boost::asio;

struct TaskGuardFixture
{
  TaskGuardFixture() = default;
  ~TaskGuardFixture() { close(sink); }

  bool HasCounted(const std::string& aTask) const
  {
    return metrics.Text().find("gypsum_task_failures_total{task=\"" + aTask +
                               "\"} 1") != std::string::npos;
  }

  int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
  EventLog log{ "test", Severity::Info, 100, sink };
  GatewayMetrics metrics;
  asio::io_context loop{ 1 };
  TaskGuard guard{ loop, log, metrics };
};

asio::awaitable<void> Fail()
{
  throw std::runtime_error("a fault");
  co_return;
}

asio::awaitable<void> Finish()
{
  co_return;
}

} // namespace

// Guards against a message or a request that ends the process, and all requests
// with it, by an exception that nothing catches.
TEST_CASE_FIXTURE(TaskGuardFixture,
                  "[TaskGuard] an exception of a posted function is counted, "
                  "and the loop goes on")
{
  bool hasRun = false;
  asio::post(loop, [] { throw std::bad_alloc(); });
  asio::post(loop, [&] { hasRun = true; });
  guard.RunLoop();
  CHECK(hasRun);
  CHECK(HasCounted("event-loop"));
}

TEST_CASE_FIXTURE(TaskGuardFixture,
                  "[TaskGuard] a task that fails is counted under its name")
{
  guard.Spawn("short", Fail());
  guard.RunLoop();
  CHECK(HasCounted("short"));
}

TEST_CASE_FIXTURE(TaskGuardFixture,
                  "[TaskGuard] an endless task that fails is started again")
{
  int starts = 0;
  guard.SpawnEndless("endless",
                     [&] { return ++starts == 1 ? Fail() : Finish(); });
  guard.RunLoop();
  CHECK(starts == 2);
  CHECK(HasCounted("endless"));
}

} // namespace gypsum::tests
