#pragma once

#include "servers/common/metrics.h"
#include "tests/core/sample_manifest.h"

#include <boost/json/object.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace gypsum::tests {

class MetricsFixture
{
protected:
  MetricsFixture() { metrics_.SetManifest(SampleManifest()); }

  bool HasLine(const std::string& aLine) const
  {
    const std::string text = MetricsText(metrics_.Families(), state_);
    const bool isFound = text.find(aLine + "\n") != std::string::npos;
    if (!isFound) {
      MESSAGE("expected '" << aLine << "' in: " << text);
    }
    return isFound;
  }

  Metrics metrics_;
  boost::json::object state_;
};

TEST_CASE_FIXTURE(MetricsFixture,
                  "[Metrics] samples are counted in cumulative buckets")
{
  using std::chrono::milliseconds;
  for (const auto elapsed : { milliseconds(3), milliseconds(700'000) }) {
    metrics_.RecordRequest(
      { "hold", "atelier", Outcome::Complete, ErrorKind::None, elapsed });
  }
  metrics_.RecordStage(
    { "hold", "draft", Outcome::Complete, {}, milliseconds(5) });
  const std::string series = "gypsum_request_duration_seconds_bucket{"
                             "pipeline=\"hold\",outcome=\"complete\","
                             "error=\"none\",le=";
  CHECK(HasLine(series + "\"0.002\"} 0"));
  CHECK(HasLine(series + "\"0.005\"} 1"));
  CHECK(HasLine(series + "\"600\"} 1"));
  CHECK(HasLine(series + "\"+Inf\"} 2"));
  CHECK(HasLine("gypsum_request_duration_seconds_sum{pipeline=\"hold\","
                "outcome=\"complete\",error=\"none\"} 700.003"));
  CHECK(HasLine("gypsum_customer_request_duration_seconds_count{"
                "customer=\"atelier\",outcome=\"complete\"} 2"));
  CHECK(HasLine("gypsum_stage_service_seconds_count{pipeline=\"hold\","
                "stage=\"draft\",outcome=\"complete\"} 1"));
}

TEST_CASE_FIXTURE(
  MetricsFixture,
  "[Metrics] names that are not in the manifest share one series")
{
  for (int number = 0; number < 1'000; ++number) {
    const std::string name = "made-up-" + std::to_string(number);
    metrics_.RecordRequest(
      { name, name, Outcome::NotRun, ErrorKind::UnknownPipeline, {} });
  }
  CHECK(HasLine("gypsum_request_duration_seconds_count{pipeline=\"other\","
                "outcome=\"not-run\",error=\"unknown-pipeline\"} 1000"));
  const std::string text = MetricsText(metrics_.Families(), state_);
  CHECK(text.find("made-up") == std::string::npos);
}

TEST_CASE(
  "[Metrics] with 5,200 customers only the largest have their own series")
{
  auto manifest = std::make_shared<Manifest>();
  for (std::uint32_t number = 0; number < 5'200; ++number) {
    const std::string name = "customer-" + std::to_string(number);
    manifest->customers.emplace(name, Customer{ name, number + 1 });
  }
  Metrics metrics;
  metrics.SetManifest(manifest);
  for (const auto& [name, customer] : manifest->customers) {
    metrics.RecordRequest(
      { "p", name, Outcome::Complete, ErrorKind::None, {} });
  }
  const std::string text = MetricsText(metrics.Families(), {});
  CHECK(text.find("customer=\"customer-5199\"") != std::string::npos);
  CHECK(text.find("customer=\"customer-5100\"") != std::string::npos);
  CHECK(text.find("customer=\"customer-5099\"") == std::string::npos);
  CHECK(text.find("customer=\"other\",outcome=\"complete\"} 5100") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(MetricsFixture,
                  "[Metrics] numbers in the state tree become metrics")
{
  state_["caller-api"] = { { "prefix", "/v1" }, { "calls", 3 } };
  state_["entry"] = { { "ready", true }, { "members", { { "a", 1 } } } };
  CHECK(HasLine("gypsum_caller_api_calls 3"));
  CHECK(HasLine("gypsum_entry_ready 1"));
  CHECK(MetricsText(metrics_.Families(), state_).find("members") ==
        std::string::npos);
  CHECK(EscapeLabel("a\"b\\c\nd") == "a\\\"b\\\\c\\nd");
}

} // namespace gypsum::tests
