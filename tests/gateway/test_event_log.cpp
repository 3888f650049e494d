#include "core/gateway/gateway_settings.h"
#include "drivers/event_log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

namespace gypsum::tests {

namespace {

struct PipeFixture
{
  PipeFixture() { REQUIRE(pipe(ends.data()) == 0); }
  ~PipeFixture()
  {
    close(ends[0]);
    close(ends[1]);
  }

  /** Reads what has been written so far. */
  std::string Read()
  {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> bytes;
    for (;;) {
      const auto count = read(ends[0], bytes.data(), bytes.size());
      if (count <= 0) {
        return text;
      }
      text.append(bytes.data(), static_cast<std::size_t>(count));
    }
  }

  std::array<int, 2> ends{};
};

std::size_t CountLines(const std::string& aText, const std::string& aEvent)
{
  std::size_t count = 0;
  for (auto at = aText.find("event=" + aEvent); at != std::string::npos;
       at = aText.find("event=" + aEvent, at + 1)) {
    ++count;
  }
  return count;
}

constexpr std::string_view kSettings =
  "[gateway]\nname = g\nzone = z\nprocessor_share = 0.19\n"
  "[network]\nclients = 10.0.0.1:80\nready = 10.0.0.1:81\n"
  "store = 10.0.0.2:82\npeer_port = 7740\nseeds = 10.0.0.1:1,10.0.0.3:1\n";

} // namespace

TEST_CASE_FIXTURE(PipeFixture,
                  "[EventLog] a line is a list of name=value fields")
{
  EventLog log("g-1", Severity::Info, 100, ends[1]);
  log.Write(LogClass::Normal,
            "request-sent",
            { { "id", "a1" },
              { "count", 7U },
              { "took", Duration(1'250) },
              { "text", "with \"words\" = \n more" } });
  const std::string text = Read();
  CHECK(text.starts_with("node=g-1 "));
  CHECK(text.find("event=request-sent id=a1 count=7 took=1.2 "
                  "text=\"with \\\"words\\\" =   more\"\n") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(
  PipeFixture,
  "[EventLog] failures are written when normal lines reach their share, and "
  "suppressed lines are counted")
{
  EventLog log("g-1", Severity::Info, 100, ends[1]);
  // Normal lines may use 60 of the 100 lines per second. The loops may cross
  // into the next second, so the bound is twice that share: 120 lines.
  for (int line = 0; line < 1'000; ++line) {
    log.Write(LogClass::Normal, "normal", {});
  }
  for (int line = 0; line < 30; ++line) {
    log.Write(LogClass::Failure, "failure", {});
  }
  log.Flush();
  const std::string text = Read();
  CHECK(CountLines(text, "normal") <= 120);
  CHECK(CountLines(text, "failure") == 30);
  CHECK(CountLines(text,
                   "lines-left-out count=" +
                     std::to_string(1'000 - CountLines(text, "normal"))) == 1);
}

TEST_CASE_FIXTURE(
  PipeFixture,
  "[EventLog] a reader that stops reading never blocks the writer")
{
  EventLog log("g-1", Severity::Info, 1'000'000, ends[1]);
  const std::string filler(500, 'x');
  for (int line = 0; line < 2'000; ++line) {
    log.Write(LogClass::StateChange, "long", { { "filler", filler } });
  }
  CHECK(log.DroppedLines() > 0);
  // The lines that were not dropped are complete.
  std::string text = Read();
  log.Flush();
  text += Read();
  CHECK(text.ends_with("\n"));
  CHECK(CountLines(text, "long") ==
        static_cast<std::size_t>(std::ranges::count(text, '\n')));
}

TEST_CASE("[GatewaySettings] valid settings of a gateway are parsed")
{
  const auto parsed = ParseGatewaySettings(kSettings);
  REQUIRE(std::holds_alternative<GatewaySettings>(parsed));
  const auto& settings = std::get<GatewaySettings>(parsed);
  CHECK(settings.peerAddress == "10.0.0.1:7740");
  CHECK(settings.seedAddresses.size() == 2);
  CHECK(settings.processorShare == doctest::Approx(0.19));
  CHECK(settings.controlAddress.empty());
}

TEST_CASE("[GatewaySettings] every fault is reported")
{
  // Four faults: `ratio` is no number, `window_s` is too small, `level` is not
  // a known level and the section `more` is unknown.
  const auto parsed = ParseGatewaySettings(
    std::string(kSettings) +
    "[repeats]\nratio = many\nwindow_s = 0\n[log]\nlevel = loud\n[more]\n");
  REQUIRE(std::holds_alternative<Faults>(parsed));
  CHECK(std::get<Faults>(parsed).size() == 4);
  CHECK(std::holds_alternative<Faults>(ParseGatewaySettings("")));
}

TEST_CASE("[GatewaySettings] a file that tells of its end is not used if it is "
          "cut before it")
{
  std::size_t unnoticed = 0;
  for (std::size_t cut = 0; cut < kSettings.size(); ++cut) {
    unnoticed += std::holds_alternative<GatewaySettings>(
                   ParseGatewaySettings(kSettings.substr(0, cut)))
                   ? 1
                   : 0;
  }
  CHECK(unnoticed > 0);
  const std::string text = "[file]\nhas_end = true\n" + std::string(kSettings) +
                           "[end]\ncomplete = true";
  REQUIRE(std::holds_alternative<GatewaySettings>(ParseGatewaySettings(text)));
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    CAPTURE(text.substr(0, cut));
    CHECK(std::holds_alternative<Faults>(
      ParseGatewaySettings(text.substr(0, cut))));
  }
}

} // namespace gypsum::tests
