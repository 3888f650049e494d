#include "core/gateway/gateway_settings.h"

#include "core/configuration/ini_document.h"
#include "core/configuration/section_reader.h"

#include <algorithm>
#include <array>

namespace gypsum {

namespace {

constexpr std::array<std::string_view, 6> kSections{ "file",    "gateway",
                                                     "network", "repeats",
                                                     "log",     "end" };

/** Builds gateway settings out of the sections of one INI text. */
class GatewaySettingsBuilder
{
public:
  GatewaySettingsBuilder(const IniDocument& aDocument, Faults& aFaults)
    : document_(aDocument)
    , faults_(aFaults)
  {
  }

  GatewaySettings Build()
  {
    for (const IniSection& section : document_.Sections()) {
      if (std::ranges::find(kSections, section.name) == kSections.end()) {
        faults_.push_back({ section.line,
                            section.name,
                            "file, gateway, network, repeats, log or end",
                            "[" + section.name + "]" });
      }
    }
    ReadGateway(SectionOf("gateway"));
    ReadNetwork(SectionOf("network"));
    ReadRetries(SectionOf("repeats"));
    ReadLog(SectionOf("log"));
    CheckEnd();
    return std::move(settings_);
  }

private:
  IniSection SectionOf(std::string_view aName) const
  {
    const IniSection* const section = document_.Find(aName);
    return section ? *section : IniSection{ std::string(aName), 0, {} };
  }

  void ReadGateway(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    settings_.name = reader.RequiredText("name");
    settings_.zone = reader.RequiredText("zone");
    settings_.gracePeriod =
      std::chrono::seconds(reader.Number("grace_s", 8, 1, 600));
    settings_.processorShare =
      reader.Decimal("processor_share", 1.0, 0.001, 1'024.0);
    reader.Finish();
  }

  void ReadNetwork(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    settings_.clientAddress = Address(reader, "clients", true);
    settings_.readyAddress = Address(reader, "ready", true);
    settings_.controlAddress = Address(reader, "control", false);
    settings_.metricsAddress = Address(reader, "metrics", false);
    settings_.storeAddress = Address(reader, "store", true);
    settings_.peerPort =
      static_cast<std::uint16_t>(reader.Number("peer_port", 7740, 1, 65535));
    settings_.peerAddress =
      settings_.clientAddress.substr(0, settings_.clientAddress.rfind(':')) +
      ":" + std::to_string(settings_.peerPort);
    settings_.seedAddresses = reader.Words("seeds");
    for (const std::string& seed : settings_.seedAddresses) {
      if (!IsAddress(seed)) {
        reader.Report("seeds", "a list of IPv4:PORT", "'" + seed + "'");
      }
    }
    reader.Finish();
  }

  void ReadRetries(const IniSection& aSection)
  {
    SectionReader reader(aSection, faults_);
    settings_.retryBudget.ratio = reader.Decimal("ratio", 0.2, 0.0, 10.0);
    settings_.retryBudget.fixedRetries =
      reader.Decimal("extra", 0.0, 0.0, 1'000'000.0);
    settings_.retryBudget.window =
      std::chrono::seconds(reader.Number("window_s", 10, 1, 3'600));
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
    settings_.logLinesPerSecond = static_cast<std::uint32_t>(
      reader.Number("lines_per_s", 200, 1, 1'000'000));
    reader.Finish();
  }

  /** Reports a file that was cut before the end that its begin tells of. */
  void CheckEnd()
  {
    const IniSection file = SectionOf("file");
    const IniSection end = SectionOf("end");
    SectionReader fileReader(file, faults_);
    SectionReader endReader(end, faults_);
    const bool isComplete = endReader.Flag("complete", false);
    if (fileReader.Flag("has_end", false) && !isComplete) {
      endReader.Report("complete", "true at the end of the file", "none");
    }
    fileReader.Finish();
    endReader.Finish();
  }

  static std::string Address(SectionReader& aReader,
                             std::string_view aKey,
                             bool aIsRequired)
  {
    std::string address =
      aIsRequired ? aReader.RequiredText(aKey) : aReader.Text(aKey, "");
    if (!address.empty() && !IsAddress(address)) {
      aReader.Report(aKey, "IPv4:PORT", "'" + address + "'");
    }
    return address;
  }

  const IniDocument& document_;
  Faults& faults_;
  GatewaySettings settings_;
};

} // namespace

std::variant<GatewaySettings, Faults> ParseGatewaySettings(
  std::string_view aText)
{
  Faults faults;
  const IniDocument document = IniDocument::Parse(aText, faults);
  GatewaySettings settings = GatewaySettingsBuilder(document, faults).Build();
  if (!faults.empty()) {
    std::ranges::stable_sort(faults, {}, &Fault::line);
    return faults;
  }
  return settings;
}

} // namespace gypsum
