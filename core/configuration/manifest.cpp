#include "core/configuration/manifest.h"

#include "core/configuration/ini_document.h"
#include "core/configuration/section_reader.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <limits>
#include <utility>

namespace gypsum {

namespace {

constexpr std::size_t kMaxTextBytes = 1'048'576;
constexpr std::uint64_t kMaxDeadlineMs = 600'000;
constexpr std::uint64_t kLowestPriority = 7; ///< Largest number, least urgent.
constexpr std::uint64_t kMaxWeight = 1'000'000;
constexpr std::uint64_t kMaxConcurrency = 4096;
constexpr std::string_view kServicePrefix = "service.";
constexpr std::string_view kReplicasPrefix = "replicas.";
constexpr std::string_view kFormerOwnersPrefix = "former.";
constexpr std::string_view kDestroyedSlotsPrefix = "destroyed.";
constexpr std::string_view kPipelinePrefix = "pipeline.";
constexpr std::string_view kStagePrefix = "stage.";

template<typename Map>
auto* FindIn(const Map& aMap, std::string_view aName)
{
  const auto found = aMap.find(aName);
  return found == aMap.end() ? nullptr : &found->second;
}

/** Builds a manifest from the sections of an INI text. */
class ManifestBuilder
{
public:
  ManifestBuilder(const IniDocument& aDocument, Faults& aFaults)
    : document_(aDocument)
    , faults_(aFaults)
  {
  }

  Manifest Build()
  {
    ReadManifestSection();
    ReadZones();
    ReadCustomers();
    for (const IniSection& section : document_.Sections()) {
      ReadSection(section);
    }
    for (const IniSection& section : document_.Sections()) {
      ReadReplicas(section);
      ReadFormerOwners(section);
      ReadDestroyedSlots(section);
      ReadPipeline(section);
    }
    ReportUnusedStages();
    return std::move(manifest_);
  }

private:
  void ReadManifestSection()
  {
    const IniSection* const section = document_.Find("manifest");
    if (!section) {
      faults_.push_back({ 0, "manifest", "a [manifest] section", "none" });
      return;
    }
    SectionReader reader(*section, faults_);
    manifest_.name = reader.RequiredText("name");
    reader.RequiredText("revision");
    manifest_.revision =
      reader.Number("revision", 1, 1, std::numeric_limits<std::int64_t>::max());
    reader.Finish();
  }

  void ReadZones()
  {
    const IniSection* const section = document_.Find("zones");
    if (!section || section->entries.empty()) {
      faults_.push_back(
        { 0, "zones", "a [zones] section with a zone", "none" });
      return;
    }
    for (const IniEntry& entry : section->entries) {
      manifest_.zones.emplace(entry.key, entry.value);
    }
  }

  void ReadCustomers()
  {
    const IniSection* const section = document_.Find("customers");
    if (!section || section->entries.empty()) {
      faults_.push_back(
        { 0, "customers", "a [customers] section with a customer", "none" });
      return;
    }
    for (const IniEntry& entry : section->entries) {
      ReadCustomer(*section, entry);
    }
  }

  void ReadCustomer(const IniSection& aSection, const IniEntry& aEntry)
  {
    const auto weight = ParseNumber(aEntry.value);
    if (!weight || *weight < 1 || *weight > kMaxWeight) {
      faults_.push_back(
        { aEntry.line,
          FaultKey(aSection, aEntry.key),
          "a whole number from 1 to " + std::to_string(kMaxWeight),
          "'" + aEntry.value + "'" });
      return;
    }
    manifest_.customers.emplace(
      aEntry.key, Customer{ aEntry.key, static_cast<std::uint32_t>(*weight) });
  }

  void ReadSection(const IniSection& aSection)
  {
    const std::string_view name = aSection.name;
    if (name.starts_with(kServicePrefix)) {
      ReadService(aSection, name.substr(kServicePrefix.size()));
      return;
    }
    const bool isKnown =
      name == "manifest" || name == "zones" || name == "customers" ||
      name.starts_with(kReplicasPrefix) ||
      name.starts_with(kFormerOwnersPrefix) ||
      name.starts_with(kDestroyedSlotsPrefix) ||
      name.starts_with(kPipelinePrefix) || name.starts_with(kStagePrefix);
    if (!isKnown) {
      faults_.push_back({ aSection.line,
                          aSection.name,
                          "a known section",
                          "[" + aSection.name + "]" });
    }
  }

  void ReadService(const IniSection& aSection, std::string_view aName)
  {
    SectionReader reader(aSection, faults_);
    ServiceSpec service;
    service.name = aName;
    reader.RequiredText("kind");
    service.kind =
      reader.Choice("kind", "plain", { "engine", "plain" }) == "engine"
        ? ServiceKind::Engine
        : ServiceKind::Plain;
    service.concurrency = static_cast<std::uint32_t>(
      reader.Number("concurrency", 1, 1, kMaxConcurrency));
    service.model = reader.Text("model", "");
    reader.Finish();
    manifest_.services.emplace(service.name, std::move(service));
  }

  void ReadReplicas(const IniSection& aSection)
  {
    const std::string_view name = aSection.name;
    if (!name.starts_with(kReplicasPrefix)) {
      return;
    }
    ServiceSpec* const service =
      FindOrReportService(aSection, name.substr(kReplicasPrefix.size()));
    if (!service) {
      return;
    }
    for (const IniEntry& entry : aSection.entries) {
      ReadReplica(aSection, entry, *service);
    }
  }

  /** Reports a fault and returns null if the manifest has no such service. */
  ServiceSpec* FindOrReportService(const IniSection& aSection,
                                   std::string_view aName)
  {
    const auto service = manifest_.services.find(aName);
    if (service != manifest_.services.end()) {
      return &service->second;
    }
    faults_.push_back({ aSection.line,
                        aSection.name,
                        "a [service." + std::string(aName) + "] section",
                        "none" });
    return nullptr;
  }

  void ReadFormerOwners(const IniSection& aSection)
  {
    std::string_view name = aSection.name;
    if (!name.starts_with(kFormerOwnersPrefix)) {
      return;
    }
    name.remove_prefix(kFormerOwnersPrefix.size());
    const std::size_t dot = std::min(name.rfind('.'), name.size());
    ServiceSpec* const service =
      FindOrReportService(aSection, name.substr(0, dot));
    if (!service) {
      return;
    }
    const std::string_view number = name.substr(std::min(dot + 1, name.size()));
    OwnerSet owners;
    const char* const last = number.data() + number.size();
    const auto [end, code] =
      std::from_chars(number.data(), last, owners.revision);
    if (code != std::errc() || end != last || owners.revision == 0 ||
        owners.revision >= manifest_.revision) {
      faults_.push_back({ aSection.line,
                          aSection.name,
                          "[former.SERVICE.REVISION] of an earlier revision",
                          "'" + std::string(number) + "'" });
      return;
    }
    owners.slots = ReadSlots(aSection);
    service->formerOwners.push_back(std::move(owners));
  }

  void ReadDestroyedSlots(const IniSection& aSection)
  {
    const std::string_view name = aSection.name;
    if (!name.starts_with(kDestroyedSlotsPrefix)) {
      return;
    }
    ServiceSpec* const service =
      FindOrReportService(aSection, name.substr(kDestroyedSlotsPrefix.size()));
    if (service) {
      service->destroyedSlots = ReadSlots(aSection);
    }
  }

  std::vector<Slot> ReadSlots(const IniSection& aSection)
  {
    std::vector<Slot> slots;
    for (const IniEntry& entry : aSection.entries) {
      if (!IsAddress(entry.value)) {
        faults_.push_back({ entry.line,
                            FaultKey(aSection, entry.key),
                            "IPv4:PORT",
                            "'" + entry.value + "'" });
      }
      slots.push_back({ entry.key, entry.value });
    }
    return slots;
  }

  void ReadReplica(const IniSection& aSection,
                   const IniEntry& aEntry,
                   ServiceSpec& aService)
  {
    const std::string key = FaultKey(aSection, aEntry.key);
    const auto words = SplitWords(aEntry.value);
    if (words.size() != 2) {
      faults_.push_back(
        { aEntry.line, key, "ZONE IPv4:PORT", "'" + aEntry.value + "'" });
      return;
    }
    if (!manifest_.zones.contains(words[0])) {
      faults_.push_back(
        { aEntry.line, key, "a zone of [zones]", "'" + words[0] + "'" });
    }
    if (!IsAddress(words[1])) {
      faults_.push_back(
        { aEntry.line, key, "IPv4:PORT", "'" + words[1] + "'" });
    }
    Replica replica{ aEntry.key, aService.name, words[0], words[1] };
    const bool isNew =
      manifest_.replicas.emplace(aEntry.key, std::move(replica)).second;
    if (!isNew) {
      faults_.push_back({ aEntry.line,
                          key,
                          "a replica name used once",
                          "'" + aEntry.key + "' again" });
      return;
    }
    aService.replicas.push_back(aEntry.key);
  }

  void ReadPipeline(const IniSection& aSection)
  {
    const std::string_view sectionName = aSection.name;
    if (!sectionName.starts_with(kPipelinePrefix)) {
      return;
    }
    SectionReader reader(aSection, faults_);
    Pipeline pipeline;
    pipeline.name = sectionName.substr(kPipelinePrefix.size());
    reader.RequiredText("deadline_ms");
    pipeline.deadline = std::chrono::milliseconds(
      reader.Number("deadline_ms", 1, 1, kMaxDeadlineMs));
    pipeline.priority = static_cast<std::uint32_t>(
      reader.Number("priority", 1, 0, kLowestPriority));
    reader.RequiredText("stages");
    for (const std::string& stageName : reader.Words("stages")) {
      ReadStage(reader, pipeline, stageName);
    }
    reader.Finish();
    manifest_.pipelines.emplace(pipeline.name, std::move(pipeline));
  }

  void ReadStage(SectionReader& aPipelineReader,
                 Pipeline& aPipeline,
                 const std::string& aStageName)
  {
    const std::string name =
      std::string(kStagePrefix) + aPipeline.name + "." + aStageName;
    const IniSection* const section = document_.Find(name);
    if (!section) {
      aPipelineReader.Report(
        "stages", "a [" + name + "] section", "'" + aStageName + "'");
      return;
    }
    usedStages_.push_back(name);
    SectionReader reader(*section, faults_);
    StageSpec stage;
    stage.name = aStageName;
    stage.service = reader.RequiredText("service");
    stage.operation = reader.RequiredText("operation");
    stage.isRepeatable = reader.Flag("repeatable", true);
    if (!stage.service.empty() && !manifest_.FindService(stage.service)) {
      reader.Report("service", "a service of this file", stage.service);
    }
    if (!stage.operation.empty() && !stage.operation.starts_with('/')) {
      reader.Report("operation", "a path that starts with /", stage.operation);
    }
    reader.Finish();
    aPipeline.stages.push_back(std::move(stage));
  }

  void ReportUnusedStages()
  {
    for (const IniSection& section : document_.Sections()) {
      const bool isUnused =
        section.name.starts_with(kStagePrefix) &&
        std::ranges::find(usedStages_, section.name) == usedStages_.end();
      if (isUnused) {
        faults_.push_back({ section.line,
                            section.name,
                            "a pipeline that names this stage",
                            "none" });
      }
    }
  }

  const IniDocument& document_;
  Faults& faults_;
  Manifest manifest_;
  std::vector<std::string> usedStages_;
};

} // namespace

const ServiceSpec* Manifest::FindService(std::string_view aName) const
{
  return FindIn(services, aName);
}

const Replica* Manifest::FindReplica(std::string_view aName) const
{
  return FindIn(replicas, aName);
}

const Pipeline* Manifest::FindPipeline(std::string_view aName) const
{
  return FindIn(pipelines, aName);
}

const Customer* Manifest::FindCustomer(std::string_view aName) const
{
  return FindIn(customers, aName);
}

OwnerSet CurrentOwners(const Manifest& aManifest, const ServiceSpec& aService)
{
  OwnerSet owners{ aManifest.revision, {} };
  std::ranges::transform(aService.replicas,
                         std::back_inserter(owners.slots),
                         [&](const std::string& aName) {
                           const Replica& replica =
                             *aManifest.FindReplica(aName);
                           return Slot{ aName, replica.address };
                         });
  return owners;
}

std::variant<ManifestPtr, Faults> ParseManifest(std::string_view aText)
{
  Faults faults;
  if (aText.size() > kMaxTextBytes) {
    faults.push_back({ 0,
                       "manifest",
                       "at most " + std::to_string(kMaxTextBytes) + " bytes",
                       std::to_string(aText.size()) + " bytes" });
    return faults;
  }
  const IniDocument document = IniDocument::Parse(aText, faults);
  Manifest manifest = ManifestBuilder(document, faults).Build();
  if (!faults.empty()) {
    std::ranges::stable_sort(faults, {}, &Fault::line);
    return faults;
  }
  manifest.text = aText;
  return std::make_shared<const Manifest>(std::move(manifest));
}

} // namespace gypsum
