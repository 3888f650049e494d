#include "core/configuration/settings.h"

#include "core/configuration/ini_document.h"
#include "core/configuration/section_reader.h"

#include <boost/algorithm/string/join.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gypsum {

namespace {

const std::vector<std::string> kKnownSections{ "process", "network", "limits",
                                               "times",   "policy",  "log" };

Duration Milliseconds(std::uint64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

/** Builds settings from the sections of an INI text. */
class SettingsBuilder
{
public:
  SettingsBuilder(const IniDocument& aDocument, Faults& aFaults)
    : document_(aDocument)
    , faults_(aFaults)
  {
  }

  Settings Build()
  {
    for (const IniSection& section : document_.Sections()) {
      if (std::ranges::find(kKnownSections, section.name) ==
          kKnownSections.end()) {
        faults_.push_back(
          { section.line,
            section.name,
            "one of " + boost::algorithm::join(kKnownSections, ", "),
            "[" + section.name + "]" });
      }
    }
    ReadProcess(SectionOf("process"));
    ReadNetwork(SectionOf("network"));
    ReadLimits(SectionOf("limits"));
    ReadTimes(SectionOf("times"));
    ReadPolicy(SectionOf("policy"));
    ReadLog(SectionOf("log"));
    return std::move(settings_);
  }

private:
  IniSection SectionOf(std::string_view aName) const
  {
    const IniSection* const section = document_.Find(aName);
    return section ? *section : IniSection{ std::string(aName), 0, {} };
  }

  void ReadProcess(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    reader.RequiredText("role");
    settings_.role =
      reader.Choice("role", "entry", { "entry", "agent" }) == "agent"
        ? Role::Agent
        : Role::Entry;
    settings_.name = reader.RequiredText("name");
    settings_.zone = reader.RequiredText("zone");
    reader.Finish();
  }

  void ReadNetwork(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    settings_.httpAddress = ReadAddress(reader, "http");
    settings_.peerAddress = ReadAddress(reader, "peer");
    settings_.peerBindAddress = reader.Has("peer_bind")
                                  ? ReadAddress(reader, "peer_bind")
                                  : settings_.peerAddress;
    settings_.platformAddresses = ReadAddresses(reader, "platform");
    settings_.seedAddresses = ReadAddresses(reader, "seeds");
    const bool isAgent = settings_.role == Role::Agent;
    if (isAgent) {
      settings_.backendAddress = ReadAddress(reader, "backend");
    } else if (reader.Has("backend")) {
      reader.Report("backend", "no backend server for an entry", "one");
      reader.Text("backend", "");
    }
    reader.Finish();
  }

  void ReadLimits(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    settings_.maxRequests = ReadCount(reader, "requests", 400, 1, 100'000);
    settings_.httpThreads = ReadCount(reader, "http_threads", 450, 2, 110'000);
    settings_.maxBodyBytes =
      reader.Number("body_bytes", 4'194'304, 1, 67'108'864);
    settings_.maxQueued = ReadCount(reader, "queued", 1'000, 1, 100'000);
    settings_.maxRecords = ReadCount(reader, "records", 20'000, 1, 10'000'000);
    settings_.maxRecordBytes =
      reader.Number("record_bytes", 33'554'432, 1'024, 1'073'741'824);
    if (settings_.httpThreads <= settings_.maxRequests) {
      reader.Report("http_threads",
                    "more threads than requests, so that a refusal finds one",
                    std::to_string(settings_.httpThreads));
    }
    reader.Finish();
  }

  void ReadTimes(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    settings_.recordLifetime =
      ReadDuration(reader, "record_lifetime_ms", 600'000, 1'000, 86'400'000);
    settings_.clockError =
      ReadDuration(reader, "clock_error_ms", 500, 0, 60'000);
    settings_.gracePeriod =
      ReadDuration(reader, "grace_period_ms", 30'000, 100, 600'000);
    settings_.reportInterval =
      ReadDuration(reader, "report_interval_ms", 250, 20, 10'000);
    settings_.platformPollInterval =
      ReadDuration(reader, "platform_poll_ms", 30'000, 100, 3'600'000);
    reader.Finish();
  }

  void ReadPolicy(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    const std::string routing = reader.Choice("routing",
                                              "predicted",
                                              { "predicted",
                                                "power-of-two",
                                                "least-outstanding",
                                                "round-robin",
                                                "random" });
    const std::string queue =
      reader.Choice("queue", "fair", { "fair", "deadline", "fcfs" });
    const std::string objective =
      reader.Choice("objective", "attainment", { "attainment", "cost" });
    PolicyOptions& policy = settings_.policy;
    policy = ParsePolicy(routing + "," + queue + "," + objective).value();
    policy.hasAdmission =
      reader.Choice("admission", "on", { "on", "off" }) == "on";
    policy.hasEjection =
      reader.Choice("ejection", "on", { "on", "off" }) == "on";
    reader.Finish();
  }

  void ReadLog(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    const std::string level =
      reader.Choice("level", "info", { "debug", "info", "warning", "error" });
    settings_.logLevel = level == "debug"     ? Severity::Debug
                         : level == "warning" ? Severity::Warning
                         : level == "error"   ? Severity::Error
                                              : Severity::Info;
    reader.Finish();
  }

  static std::uint32_t ReadCount(SectionReader& aReader,
                                 std::string_view aKey,
                                 std::uint64_t aDefault,
                                 std::uint64_t aMin,
                                 std::uint64_t aMax)
  {
    return static_cast<std::uint32_t>(
      aReader.Number(aKey, aDefault, aMin, aMax));
  }

  static Duration ReadDuration(SectionReader& aReader,
                               std::string_view aKey,
                               std::uint64_t aDefault,
                               std::uint64_t aMin,
                               std::uint64_t aMax)
  {
    return Milliseconds(aReader.Number(aKey, aDefault, aMin, aMax));
  }

  static std::string ReadAddress(SectionReader& aReader, std::string_view aKey)
  {
    std::string address = aReader.RequiredText(aKey);
    if (!address.empty() && !IsAddress(address)) {
      aReader.Report(aKey, "IPv4:PORT", "'" + address + "'");
    }
    return address;
  }

  static std::vector<std::string> ReadAddresses(SectionReader& aReader,
                                                std::string_view aKey)
  {
    auto addresses = aReader.Words(aKey);
    for (const std::string& address : addresses) {
      if (!IsAddress(address)) {
        aReader.Report(aKey, "a list of IPv4:PORT", "'" + address + "'");
      }
    }
    return addresses;
  }

  const IniDocument& document_;
  Faults& faults_;
  Settings settings_;
};

} // namespace

std::variant<Settings, Faults> ParseSettings(std::string_view aText)
{
  Faults faults;
  const IniDocument document = IniDocument::Parse(aText, faults);
  Settings settings = SettingsBuilder(document, faults).Build();
  if (!faults.empty()) {
    std::ranges::stable_sort(faults, {}, &Fault::line);
    return faults;
  }
  return settings;
}

} // namespace gypsum
