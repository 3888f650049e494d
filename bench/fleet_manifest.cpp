#include "bench/fleet_manifest.h"

#include <sstream>
#include <stdexcept>

namespace gypsum::bench {

namespace {

constexpr std::size_t kEngines = 9;
constexpr std::size_t kServices = 11;
constexpr std::size_t kPipelines = 11;
constexpr std::size_t kAddressesPerBlock = 250;

std::string ServiceName(std::size_t aIndex)
{
  return (aIndex < kEngines ? "engine-" : "plain-") + std::to_string(aIndex);
}

std::string AddressOf(std::size_t aReplica)
{
  return "10.0." + std::to_string(aReplica / kAddressesPerBlock) + "." +
         std::to_string(aReplica % kAddressesPerBlock + 1) + ":7000";
}

void WriteService(std::ostream& aOut,
                  const FleetSize& aSize,
                  std::size_t aService)
{
  const std::string name = ServiceName(aService);
  aOut << "[service." << name
       << "]\nkind = " << (aService < kEngines ? "engine" : "plain")
       << "\nconcurrency = 16\n[replicas." << name << "]\n";
  for (std::size_t replica = aService; replica < aSize.replicas;
       replica += kServices) {
    aOut << "r-" << replica << " = z-" << replica % aSize.zones << " "
         << AddressOf(replica) << "\n";
  }
}

void WritePipeline(std::ostream& aOut, std::size_t aPipeline)
{
  const std::string name = "p-" + std::to_string(aPipeline);
  aOut << "[pipeline." << name
       << "]\ndeadline_ms = 4000\npriority = " << aPipeline % 3
       << "\nstages = encode retrieve generate book\n";
  std::size_t service = aPipeline;
  for (const char* const stage : { "encode", "retrieve", "generate" }) {
    aOut << "[stage." << name << "." << stage
         << "]\nservice = " << ServiceName(service++ % kEngines)
         << "\noperation = /" << stage << "\n";
  }
  aOut << "[stage." << name << ".book]\nservice = "
       << ServiceName(kEngines + aPipeline % (kServices - kEngines))
       << "\noperation = /book\nrepeatable = false\n";
}

} // namespace

std::string FleetManifestText(const FleetSize& aSize, Revision aRevision)
{
  std::ostringstream out;
  out << "[manifest]\nname = fleet\nrevision = " << aRevision << "\n[zones]\n";
  for (std::size_t zone = 0; zone < aSize.zones; ++zone) {
    out << "z-" << zone << " = region-" << zone % 3 << "\n";
  }
  out << "[customers]\n";
  for (std::size_t customer = 0; customer < aSize.customers; ++customer) {
    out << "customer-" << customer << " = " << 1 + customer % 4 << "\n";
  }
  for (std::size_t service = 0; service < kServices; ++service) {
    WriteService(out, aSize, service);
  }
  for (std::size_t pipeline = 0; pipeline < kPipelines; ++pipeline) {
    WritePipeline(out, pipeline);
  }
  return out.str();
}

ManifestPtr FleetManifest(const FleetSize& aSize, Revision aRevision)
{
  auto parsed = ParseManifest(FleetManifestText(aSize, aRevision));
  if (const auto* const faults = std::get_if<Faults>(&parsed)) {
    throw std::runtime_error("expected a valid manifest, got " +
                             ToText("fleet", faults->front()));
  }
  return std::get<ManifestPtr>(std::move(parsed));
}

} // namespace gypsum::bench
