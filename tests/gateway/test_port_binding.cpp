#include "core/gateway/bind_schedule.h"
#include "servers/gateway/port_binding.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Ports of which some can't be had. */
struct PortBindingFixture
{
  PortBindingFixture()
  {
    for (const std::string_view name : { "first", "second", "third" }) {
      const std::string key(name);
      binding.Add({ name,
                    "127.0.0.1:1",
                    [this, key] {
                      calls.push_back("bind " + key);
                      return bindErrors[key];
                    },
                    [this, key] {
                      calls.push_back("listen " + key);
                      return listenErrors[key];
                    } });
    }
  }
  ~PortBindingFixture() { close(descriptor); }

  std::vector<std::string> TakeCalls() { return std::exchange(calls, {}); }

  int descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
  EventLog log{ "test", Severity::Info, 100, descriptor };
  std::map<std::string, std::error_code> bindErrors;
  std::map<std::string, std::error_code> listenErrors;
  std::vector<std::string> calls;
  PortBinding binding{ log };
};

const std::error_code kHeld = make_error_code(std::errc::address_in_use);

} // namespace

TEST_CASE_FIXTURE(PortBindingFixture,
                  "[PortBinding] no port listens before all are bound")
{
  bindErrors["second"] = kHeld;
  CHECK_FALSE(binding.TryAll());
  CHECK(TakeCalls() == std::vector<std::string>{ "bind first", "bind second" });
  CHECK(binding.MayRetry());
  bindErrors.clear();
  CHECK(binding.TryAll());
  CHECK(TakeCalls() == std::vector<std::string>{ "bind second",
                                                 "bind third",
                                                 "listen first",
                                                 "listen second",
                                                 "listen third" });
}

TEST_CASE_FIXTURE(
  PortBindingFixture,
  "[PortBinding] a port that is lost before it listens is bound "
  "anew")
{
  listenErrors["second"] = kHeld;
  CHECK_FALSE(binding.TryAll());
  TakeCalls();
  listenErrors.clear();
  CHECK(binding.TryAll());
  CHECK(TakeCalls() == std::vector<std::string>{
                         "bind second", "listen second", "listen third" });
}

TEST_CASE_FIXTURE(PortBindingFixture,
                  "[PortBinding] only failures that pass by themselves are "
                  "worth another try")
{
  const auto mayRetry = [&](std::errc aError) {
    bindErrors["first"] = make_error_code(aError);
    CHECK_FALSE(binding.TryAll());
    return binding.MayRetry();
  };
  CHECK(mayRetry(std::errc::address_in_use));
  CHECK(mayRetry(std::errc::address_not_available));
  CHECK_FALSE(mayRetry(std::errc::permission_denied));
  CHECK_FALSE(mayRetry(std::errc::too_many_files_open));
}

TEST_CASE("[BindSchedule] ports are tried until a predecessor's grace period "
          "and the release of its ports are over")
{
  const Instant begin{ seconds(100) };
  const BindSchedule schedule(begin, seconds(8));
  CHECK(schedule.NextTry(begin) == begin + BindSchedule::kInterval);
  const Instant end = begin + seconds(8) + BindSchedule::kReleaseTime;
  CHECK(schedule.NextTry(end - milliseconds(1)) == end);
  CHECK_FALSE(schedule.NextTry(end));
}

} // namespace gypsum::tests
