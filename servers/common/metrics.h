#pragma once

#include "core/configuration/manifest.h"
#include "core/error_kind.h"
#include "core/time.h"
#include "servers/common/latency_histogram.h"

#include <boost/json/fwd.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace gypsum {

class Kernel;

/** Metrics of one answered request. */
struct RequestSample
{
  std::string_view pipeline;
  std::string_view customer;
  Outcome outcome = Outcome::Unknown;
  ErrorKind error = ErrorKind::None;
  Duration elapsed{};
};

/** Metrics of one reply to an attempt at a stage. */
struct StageSample
{
  std::string_view pipeline;
  std::string_view stage;
  Outcome outcome = Outcome::Unknown;
  Duration queueTime{};
  Duration serviceTime{};
};

/** Histograms by pipeline, stage and customer; copied for each scrape. */
struct MetricFamilies
{
  LatencyHistogram requests{ "gypsum_request_duration_seconds",
                             { "pipeline", "outcome", "error" } };
  LatencyHistogram customers{ "gypsum_customer_request_duration_seconds",
                              { "customer", "outcome", "" } };
  LatencyHistogram stageQueue{ "gypsum_stage_queue_seconds",
                               { "pipeline", "stage", "outcome" } };
  LatencyHistogram stageService{ "gypsum_stage_service_seconds",
                                 { "pipeline", "stage", "outcome" } };
};

/**
 * Collects the histograms for `/metrics`; use on the control thread only.
 *
 * Names that are not in the manifest get the label value `other`, so callers
 * cannot add series. Only the customers with the largest weights have a series
 * of their own.
 */
class Metrics
{
public:
  /** Maximum number of customers per manifest with their own series. */
  static constexpr std::size_t kMaxCustomerSeries = 100;

  void SetManifest(const ManifestPtr& aManifest);
  void RecordRequest(const RequestSample& aSample);
  void RecordStage(const StageSample& aSample);

  const MetricFamilies& Families() const { return families_; }

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  std::string PipelineLabel(std::string_view aName) const;
  std::string CustomerLabel(std::string_view aName) const;

  MetricFamilies families_;
  ManifestPtr manifest_;
  std::set<std::string, std::less<>>
    customersWithSeries_; ///< Never shrinks; bounded.
};

/**
 * Writes metrics in Prometheus text format: the histograms, then each number of
 * the state tree as `gypsum_SERVICE_NAME`. Objects nested deeper, such as
 * members, are omitted.
 */
std::string MetricsText(const MetricFamilies& aFamilies,
                        const boost::json::object& aState);

} // namespace gypsum
