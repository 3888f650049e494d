#include "tests/cell/cell.h"
#include "tests/cell/cell_load.h"
#include "tests/support/raw_socket.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kWaitEvent = "event=port-held ";

/** Gateways of which the last one is started anew while a port of it is held.
 */
struct HeldPortFixture
{
  HeldPortFixture()
  {
    REQUIRE(cell.Start());
    gateway->process->Signal(SIGTERM);
    REQUIRE(gateway->process->Wait() == 0);
    logBegin = std::filesystem::file_size(gateway->logFile);
  }

  /** Address of one of the gateway's ports, by its name in the log. */
  std::string AddressOf(std::string_view aPort) const
  {
    return aPort == "clients"   ? gateway->clientAddress
           : aPort == "ready"   ? gateway->readyAddress
           : aPort == "metrics" ? gateway->metricsAddress
           : aPort == "control" ? gateway->controlAddress
                                : gateway->peerAddress;
  }

  void Hold(std::string_view aPort)
  {
    holder = std::make_unique<RawListener>(AddressOf(aPort));
  }

  void Restart() { cell.StartGateway(*gateway); }

  /** What the gateway has logged since it was stopped. */
  std::string Log() const
  {
    return ReadFile(gateway->logFile).substr(logBegin);
  }

  bool HasLogged(std::string_view aText) const
  {
    return Log().find(aText) != std::string::npos;
  }

  bool Serves()
  {
    const CellRequest request = cell.MakePlainRequest("/read/x");
    return IsServed(request, CellClient(gateway->clientAddress).Send(request));
  }

  Cell cell{ CellSize{ 2, 1, 2, 1, 2 } };
  CellGateway* gateway = &cell.Gateways()[1];
  std::unique_ptr<RawListener> holder;
  std::size_t logBegin = 0;
};

constexpr std::array<std::string_view, 4> kNeededPorts{ "clients",
                                                        "ready",
                                                        "control",
                                                        "peers" };

} // namespace

// Guards against a process that ends at once because its predecessor still has
// a port.
TEST_CASE_FIXTURE(HeldPortFixture,
                  "[HeldPort] a gateway whose port is held at its start waits, "
                  "is not ready meanwhile, and then serves")
{
  for (const std::string_view port : kNeededPorts) {
    CAPTURE(port);
    logBegin = std::filesystem::file_size(gateway->logFile);
    Hold(port);
    Restart();
    const pid_t process = gateway->process->Id();
    REQUIRE(WaitUntil([&] { return HasLogged(kWaitEvent); }, seconds(5)));
    CHECK(HasLogged("port=" + std::string(port) + " "));
    CHECK(HasLogged("address=" + AddressOf(port) + " "));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK_FALSE(cell.IsReady(*gateway));
    CHECK(gateway->process->IsRunning());
    holder.reset();
    CHECK(cell.WaitUntilReady(*gateway));
    CHECK(Serves());
    CHECK(gateway->process->Id() == process);
    gateway->process->Signal(SIGTERM);
    REQUIRE(gateway->process->Wait() == 0);
  }
}

TEST_CASE_FIXTURE(HeldPortFixture,
                  "[HeldPort] a gateway that is stopped while it waits for a "
                  "port ends at once and without an error")
{
  for (const std::string_view port : kNeededPorts) {
    CAPTURE(port);
    logBegin = std::filesystem::file_size(gateway->logFile);
    Hold(port);
    Restart();
    REQUIRE(WaitUntil([&] { return HasLogged(kWaitEvent); }, seconds(5)));
    gateway->process->Signal(SIGHUP);
    gateway->process->Signal(SIGTERM);
    CHECK(gateway->process->Wait() == 0);
    CHECK(HasLogged("event=stop "));
    holder.reset();
  }
}

TEST_CASE_FIXTURE(HeldPortFixture,
                  "[HeldPort] a gateway whose port stays held ends after its "
                  "wait, and says which port it is")
{
  for (const std::string_view port : { "clients", "peers" }) {
    CAPTURE(port);
    logBegin = std::filesystem::file_size(gateway->logFile);
    Hold(port);
    Restart();
    CHECK(gateway->process->Wait() == 1);
    CHECK(HasLogged("event=start-failed port=" + std::string(port) +
                    " address=" + AddressOf(port) + " "));
    holder.reset();
  }
}

TEST_CASE_FIXTURE(HeldPortFixture,
                  "[HeldPort] a gateway serves without its metrics while their "
                  "port is held")
{
  Hold("metrics");
  Restart();
  CHECK(cell.WaitUntilReady(*gateway));
  CHECK(Serves());
  CHECK(HasLogged("event=port-held port=metrics "));
  holder.reset();
  CHECK(WaitUntil([&] {
    return cell.Get(*gateway, "/metrics").find("gypsum_") != std::string::npos;
  }));
}

TEST_CASE_FIXTURE(HeldPortFixture,
                  "[HeldPort] a gateway takes over from a predecessor that was "
                  "frozen and ends late")
{
  Restart();
  REQUIRE(cell.WaitUntilReady(*gateway));
  const std::unique_ptr<ChildProcess> predecessor =
    std::exchange(gateway->process, nullptr);
  predecessor->Signal(SIGSTOP);
  logBegin = std::filesystem::file_size(gateway->logFile);
  Restart();
  REQUIRE(WaitUntil([&] { return HasLogged(kWaitEvent); }, seconds(5)));
  predecessor->Signal(SIGKILL);
  CHECK(cell.WaitUntilReady(*gateway));
  CHECK(Serves());
}

} // namespace gypsum::tests
