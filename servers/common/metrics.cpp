#include "servers/common/metrics.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <vector>

namespace gypsum {

namespace {

constexpr std::string_view kOther = "other";

/** Series stay until the process ends, so new manifests add a few only. */
constexpr std::size_t kMostSeriesEver = 2 * Metrics::kMostCustomers;

std::vector<const Customer*> LargestCustomers(const Manifest& aManifest)
{
  std::vector<const Customer*> all;
  std::ranges::transform(aManifest.customers,
                         std::back_inserter(all),
                         [](const auto& aItem) { return &aItem.second; });
  std::ranges::stable_sort(all, std::ranges::greater(), &Customer::weight);
  all.resize(std::min(all.size(), Metrics::kMostCustomers));
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

std::string ValueText(const boost::json::value& aValue)
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
    if (ownSeries_.size() < kMostSeriesEver) {
      ownSeries_.insert(customer->name);
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
  return std::string(isKnown ? aName : kOther);
}

std::string Metrics::CustomerLabel(std::string_view aName) const
{
  return std::string(ownSeries_.contains(aName) ? aName : kOther);
}

void Metrics::Start(Kernel& /*aKernel*/) {}

void Metrics::Stop() {}

void Metrics::Describe(boost::json::object& aState) const
{
  aState["customers_with_series"] = ownSeries_.size();
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
        text += MetricName(service, name) + " " + ValueText(value) + "\n";
      }
    }
  }
  return text;
}

} // namespace gypsum
