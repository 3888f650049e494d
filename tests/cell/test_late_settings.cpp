#include "tests/cell/cell.h"
#include "tests/support/read_file.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <thread>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;

/** A gateway that is started before its settings file is whole. */
struct LateSettingsFixture
{
  void Write(std::string_view aText) const
  {
    std::ofstream(gateway.settingsFile, std::ios::trunc) << aText;
  }

  Cell cell{ CellSize{ 1, 1, 1, 1 } };
  CellGateway& gateway = cell.Gateways().front();
  std::string settings = ReadFile(gateway.settingsFile);
};

} // namespace

// Guards against a process that ends because its settings file is written just
// then.
TEST_CASE_FIXTURE(LateSettingsFixture,
                  "[LateSettings] a gateway whose settings file is missing or "
                  "half written at its start reads it once it is whole")
{
  SUBCASE("missing")
  {
    std::filesystem::remove(gateway.settingsFile);
  }
  SUBCASE("empty")
  {
    Write("");
  }
  SUBCASE("half written")
  {
    Write(std::string_view(settings).substr(0, settings.size() / 2));
  }
  cell.StartGateway(gateway);
  std::this_thread::sleep_for(milliseconds(300));
  Write(settings);
  CHECK(cell.WaitUntilReady(gateway));
  CHECK(ReadFile(gateway.logFile).find("expected") == std::string::npos);
}

TEST_CASE_FIXTURE(LateSettingsFixture,
                  "[LateSettings] a gateway whose settings file stays missing "
                  "or faulty ends and says why once")
{
  std::string reason;
  SUBCASE("missing")
  {
    std::filesystem::remove(gateway.settingsFile);
    reason = ": cannot be read\n";
  }
  SUBCASE("faulty")
  {
    Write("[gateway]\nname = x\n");
    reason = "gateway/zone: expected ";
  }
  cell.StartGateway(gateway);
  CHECK(gateway.process->Wait() == 1);
  const std::string log = ReadFile(gateway.logFile);
  const auto at = log.find(reason);
  REQUIRE(at != std::string::npos);
  CHECK(log.find(reason, at + 1) == std::string::npos);
}

TEST_CASE_FIXTURE(LateSettingsFixture,
                  "[LateSettings] a gateway that is stopped while it waits for "
                  "its settings ends without an error")
{
  std::filesystem::remove(gateway.settingsFile);
  cell.StartGateway(gateway);
  std::this_thread::sleep_for(milliseconds(200));
  gateway.process->Signal(SIGHUP);
  gateway.process->Signal(SIGTERM);
  CHECK(gateway.process->Wait() == 0);
}

} // namespace gypsum::tests
