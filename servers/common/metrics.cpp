#include "servers/common/metrics.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <vector>

namespace gypsum {

namespace {

constexpr std::string_view kOtherLabel = "other";

/**
 * Series remain until the process ends, so customers of later manifests get new
 * ones only up to this limit.
 */
constexpr std::size_t kMaxCustomerSeriesTotal = 2 * Metrics::kMaxCustomerSeries;

std::vector<const Customer*> LargestCustomers(const Manifest& aManifest)
{
  std::vector<const Customer*> all;
  std::ranges::transform(aManifest.customers,
                         std::back_inserter(all),
                         [](const auto& aItem) { return &aItem.second; });
  std::ranges::stable_sort(all, std::ranges::greater(), &Customer::weight);
  all.resize(std::min(all.size(), Metrics::kMaxCustomerSeries));
  return all;
}

std::string MetricName(std::string_view aService, std::string_view aName)
{
  std::string name =
    "gypsum_" + std::string(aService) + "_" + std::string(aName);
  std::ranges::replace(name, '-', '_');
  return name;
}

bool IsNumeric(const boost::json::value& aValue)
{
  return aValue.is_number() || aValue.is_bool();
}

std::string FormatValue(const boost::json::value& aValue)
{
  if (aValue.is_bool()) {
    return aValue.get_bool() ? "1" : "0";
  }
  return boost::json::serialize(aValue);
}

} // namespace

void Metrics::SetManifest(const ManifestPtr& aManifest)
{
  manifest_ = aManifest;
  for (const Customer* const customer : LargestCustomers(*manifest_)) {
    if (customersWithSeries_.size() < kMaxCustomerSeriesTotal) {
      customersWithSeries_.insert(customer->name);
    }
  }
}

void Metrics::RecordRequest(const RequestSample& aSample)
{
  const std::string outcome(NameOf(aSample.outcome));
  families_.requests.Record(
    { PipelineLabel(aSample.pipeline),
      outcome,
      std::string(ErrorResponseOf(aSample.error).name) },
    aSample.elapsed);
  families_.customers.Record({ CustomerLabel(aSample.customer), outcome, {} },
                             aSample.elapsed);
}

void Metrics::RecordStage(const StageSample& aSample)
{
  const LabelValues labels{ PipelineLabel(aSample.pipeline),
                            std::string(aSample.stage),
                            std::string(NameOf(aSample.outcome)) };
  families_.stageQueue.Record(labels, aSample.queueTime);
  families_.stageService.Record(labels, aSample.serviceTime);
}

std::string Metrics::PipelineLabel(std::string_view aName) const
{
  const bool isKnown = manifest_ && manifest_->FindPipeline(aName);
  return std::string(isKnown ? aName : kOtherLabel);
}

std::string Metrics::CustomerLabel(std::string_view aName) const
{
  return std::string(customersWithSeries_.contains(aName) ? aName
                                                          : kOtherLabel);
}

void Metrics::Start(Kernel& /*aKernel*/) {}

void Metrics::Stop() {}

void Metrics::Describe(boost::json::object& aState) const
{
  aState["customers_with_series"] = customersWithSeries_.size();
}

std::string MetricsText(const MetricFamilies& aFamilies,
                        const boost::json::object& aState)
{
  std::string text;
  aFamilies.requests.Write(text);
  aFamilies.customers.Write(text);
  aFamilies.stageQueue.Write(text);
  aFamilies.stageService.Write(text);
  for (const auto& [service, values] : aState) {
    if (!values.is_object()) {
      continue;
    }
    for (const auto& [name, value] : values.get_object()) {
      if (IsNumeric(value)) {
        text += MetricName(service, name) + " " + FormatValue(value) + "\n";
      }
    }
  }
  return text;
}

} // namespace gypsum
