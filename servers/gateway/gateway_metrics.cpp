#include "servers/gateway/gateway_metrics.h"

#include <cstdio>

namespace gypsum {

namespace {

/** Name and label of one series in the text format. */
std::string SeriesName(std::string_view aName,
                       std::string_view aSuffix,
                       std::string_view aLabel,
                       std::string_view aValue)
{
  std::string name = "gypsum_";
  name.append(aName).append(aSuffix);
  if (!aLabel.empty()) {
    name.append("{")
      .append(aLabel)
      .append("=\"")
      .append(EscapeLabel(aValue))
      .append("\"}");
  }
  return name;
}

void WriteAll(const std::map<std::string, double, std::less<>>& aSeries,
              std::string& aText)
{
  for (const auto& [name, value] : aSeries) {
    aText.append(name).append(" ").append(std::to_string(value)).append("\n");
  }
}

} // namespace

void GatewayMetrics::RecordResponse(std::string_view aRoute,
                                    std::string_view aCustomer,
                                    std::string_view aOutcome,
                                    Duration aElapsed)
{
  responses_.Record(
    { std::string(aRoute), std::string(aCustomer), std::string(aOutcome) },
    aElapsed);
}

void GatewayMetrics::RecordFirstPart(std::string_view aRoute, Duration aElapsed)
{
  firstParts_.Record({ std::string(aRoute), "", "" }, aElapsed);
}

void GatewayMetrics::RecordEventGap(std::string_view aRoute, Duration aGap)
{
  eventGaps_.Record({ std::string(aRoute), "", "" }, aGap);
}

void GatewayMetrics::RecordAddedLatency(std::string_view aRoute, Duration aTime)
{
  addedLatency_.Record({ std::string(aRoute), "", "" }, aTime);
}

void GatewayMetrics::RecordLoopLag(Duration aLag)
{
  loopLag_.Record({ "", "", "" }, aLag);
}

void GatewayMetrics::RecordStageWait(std::string_view aService, Duration aWait)
{
  stageWaits_.Record({ std::string(aService), "", "" }, aWait);
}

void GatewayMetrics::Count(std::string_view aName,
                           std::string_view aLabel,
                           std::string_view aValue)
{
  std::string name = SeriesName(aName, "_total", aLabel, aValue);
  if (!counters_.contains(name) && counters_.size() >= kMaxSeries) {
    name = SeriesName(aName, "_total", aLabel, "other");
  }
  counters_[name] += 1.0;
}

void GatewayMetrics::Set(std::string_view aName,
                         std::string_view aLabel,
                         std::string_view aValue,
                         double aNumber)
{
  const std::string name = SeriesName(aName, "", aLabel, aValue);
  if (gauges_.contains(name) || gauges_.size() < kMaxSeries) {
    gauges_[name] = aNumber;
  }
}

std::string GatewayMetrics::Text() const
{
  std::string text;
  responses_.Write(text);
  firstParts_.Write(text);
  eventGaps_.Write(text);
  addedLatency_.Write(text);
  stageWaits_.Write(text);
  loopLag_.Write(text);
  WriteAll(counters_, text);
  WriteAll(gauges_, text);
  return text;
}

} // namespace gypsum
