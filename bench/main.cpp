#include "bench/agent_bench.h"
#include "bench/entry_bench.h"
#include "bench/linear_fit.h"
#include "bench/meter.h"

#include <array>
#include <cstdio>
#include <functional>
#include <string_view>
#include <vector>

// Prints the measured costs and slopes on which docs/CAPACITY.md is based.

namespace {

using gypsum::bench::AgentCost;
using gypsum::bench::EntryCost;
using gypsum::bench::FleetSize;
using gypsum::bench::Sample;

constexpr std::size_t kReplicas = 6'100;
constexpr std::size_t kCustomers = 5'200;
constexpr std::size_t kEntries = 40;
constexpr std::array<std::size_t, 4> kDivisors{ 8, 4, 2, 1 };
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kMillisecondsPerSecond = 1e3;

/** Prints a table row: the measured costs, the slope and the fit error. */
void PrintRow(std::string_view aName,
              std::string_view aUnit,
              const std::vector<Sample>& aSamples)
{
  const auto fit = gypsum::bench::FitLine(aSamples);
  std::printf("| %s | %s |", aName.data(), aUnit.data());
  for (const Sample& sample : aSamples) {
    std::printf(" %.4g |", sample.cost);
  }
  std::printf(" %.3g | %.0f%% |\n", fit.slope, fit.worstError * 100);
}

/** Measures at an eighth, a quarter, a half and the whole of a size. */
template<typename Cost, typename Measure>
std::vector<std::pair<double, Cost>> Sweep(std::size_t aFullSize,
                                           Measure aMeasure)
{
  std::vector<std::pair<double, Cost>> costs;
  for (const std::size_t divisor : kDivisors) {
    const std::size_t size = aFullSize / divisor;
    costs.emplace_back(static_cast<double>(size), aMeasure(size));
  }
  return costs;
}

template<typename Cost>
std::vector<Sample> Column(const std::vector<std::pair<double, Cost>>& aCosts,
                           double Cost::*aMember,
                           double aUnit = 1)
{
  std::vector<Sample> samples;
  samples.reserve(aCosts.size());
  for (const auto& [size, cost] : aCosts) {
    samples.push_back({ size, cost.*aMember / aUnit });
  }
  return samples;
}

void PrintHeading(std::string_view aVaried)
{
  std::printf("\n%s\n\n| cost | unit | 1x | 2x | 4x | 8x | slope | error |\n"
              "|---|---|---|---|---|---|---|---|\n",
              aVaried.data());
}

void PrintEntry(std::string_view aVaried,
                const std::vector<std::pair<double, EntryCost>>& aCosts)
{
  PrintHeading(aVaried);
  PrintRow("entry heap",
           "MB",
           Column(aCosts, &EntryCost::heapBytes, kBytesPerMegabyte));
  PrintRow("entry idle control",
           "% core",
           Column(aCosts, &EntryCost::controlCorePercent));
  PrintRow("entry control messages",
           "B/s",
           Column(aCosts, &EntryCost::controlBytesPerSecond));
  PrintRow("entry decisions of a request",
           "us",
           Column(aCosts, &EntryCost::microsecondsPerRequest));
}

void PrintAgent(std::string_view aVaried,
                const std::vector<std::pair<double, AgentCost>>& aCosts)
{
  PrintHeading(aVaried);
  PrintRow("agent heap",
           "MB",
           Column(aCosts, &AgentCost::heapBytes, kBytesPerMegabyte));
  PrintRow("agent idle control",
           "% core",
           Column(aCosts, &AgentCost::controlCorePercent));
  PrintRow("agent control messages",
           "B/s",
           Column(aCosts, &AgentCost::controlBytesPerSecond));
  PrintRow("execution record", "B", Column(aCosts, &AgentCost::bytesPerRecord));
  PrintRow("agent decisions of a booking",
           "us",
           Column(aCosts, &AgentCost::microsecondsPerBooking));
}

void PrintManifest()
{
  struct ManifestCost
  {
    double parseSeconds = 0;
    double textBytes = 0;
  };
  const auto costs = Sweep<ManifestCost>(kReplicas, [](std::size_t aReplicas) {
    const FleetSize size{ aReplicas, kCustomers * aReplicas / kReplicas };
    ManifestCost cost;
    cost.textBytes =
      static_cast<double>(gypsum::bench::FleetManifestText(size, 1).size());
    cost.parseSeconds =
      gypsum::bench::SecondsOf([&] { gypsum::bench::FleetManifest(size, 1); });
    return cost;
  });
  PrintHeading("Manifest, by replicas (customers in proportion)");
  PrintRow(
    "manifest parse",
    "ms",
    Column(costs, &ManifestCost::parseSeconds, 1 / kMillisecondsPerSecond));
  PrintRow("manifest text", "B", Column(costs, &ManifestCost::textBytes));
}

} // namespace

int main()
{
  using gypsum::bench::MeasureAgent;
  using gypsum::bench::MeasureEntry;
  PrintManifest();
  PrintEntry("Entry, by replicas",
             Sweep<EntryCost>(kReplicas, [](std::size_t aReplicas) {
               return MeasureEntry({ aReplicas, kCustomers });
             }));
  PrintEntry("Entry, by customers",
             Sweep<EntryCost>(kCustomers, [](std::size_t aCustomers) {
               return MeasureEntry({ kReplicas, aCustomers });
             }));
  PrintAgent("Agent, by replicas",
             Sweep<AgentCost>(kReplicas, [](std::size_t aReplicas) {
               return MeasureAgent({ aReplicas, kCustomers }, kEntries);
             }));
  PrintAgent("Agent, by entries that request its reports",
             Sweep<AgentCost>(kEntries, [](std::size_t aEntries) {
               return MeasureAgent({ kReplicas, kCustomers }, aEntries);
             }));
  return 0;
}
