#pragma once

#include "core/time.h"
#include "servers/common/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Counters and histograms of one gateway, in the Prometheus text format.
 *
 * Label values come from the configuration or from fixed sets. Counters and
 * gauges are limited to `kMaxSeries` each: further counters count under the
 * label value `other`, further gauges are dropped.
 */
class GatewayMetrics
{
public:
  static constexpr std::size_t kMaxSeries = 400;

  void RecordResponse(std::string_view aRoute,
                      std::string_view aCustomer,
                      std::string_view aOutcome,
                      Duration aElapsed);
  void RecordFirstPart(std::string_view aRoute, Duration aElapsed);
  void RecordEventGap(std::string_view aRoute, Duration aGap);
  /** Time from the arrival of an event to the end of its write. */
  void RecordAddedLatency(std::string_view aRoute, Duration aTime);
  /** How late a timer of the event loop was handled. */
  void RecordLoopLag(Duration aLag);
  void RecordStageWait(std::string_view aService, Duration aWait);
  /** Increments `gypsum_NAME_total`; an empty `aLabel` means no label. */
  void Count(std::string_view aName,
             std::string_view aLabel,
             std::string_view aValue);
  /** Sets a gauge `gypsum_NAME`; an empty `aLabel` means no label. */
  void Set(std::string_view aName,
           std::string_view aLabel,
           std::string_view aValue,
           double aNumber);

  std::string Text() const;

private:
  LatencyHistogram responses_{ "gypsum_answer_seconds",
                               { "route", "customer", "outcome" } };
  LatencyHistogram firstParts_{ "gypsum_first_part_seconds",
                                { "route", "", "" } };
  LatencyHistogram eventGaps_{ "gypsum_event_gap_seconds",
                               { "route", "", "" } };
  LatencyHistogram addedLatency_{ "gypsum_added_seconds", { "route", "", "" } };
  LatencyHistogram stageWaits_{ "gypsum_stage_wait_seconds",
                                { "service", "", "" } };
  LatencyHistogram loopLag_{ "gypsum_loop_lag_seconds", { "", "", "" } };
  std::map<std::string, double, std::less<>> counters_;
  std::map<std::string, double, std::less<>> gauges_;
};

} // namespace gypsum
