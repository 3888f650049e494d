#include "servers/common/latency_histogram.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace gypsum {

namespace {

using Seconds = std::chrono::duration<double>;

/** From 1 ms to the longest deadline that a manifest may set. */
const std::vector<double> kBucketBoundsSeconds{ 0.0,  0.001, 0.002, 0.005,
                                                0.01, 0.02,  0.05,  0.1,
                                                0.2,  0.5,   1.0,   2.0,
                                                4.0,  8.0,   60.0,  600.0 };

std::string FormatNumber(double aValue)
{
  std::array<char, 32> text{};
  const auto result =
    std::to_chars(text.data(), text.data() + text.size(), aValue);
  return { text.data(), result.ptr };
}

} // namespace

std::string EscapeLabel(std::string_view aValue)
{
  std::string text;
  for (const char character : aValue) {
    if (character == '\n') {
      text.append("\\n");
      continue;
    }
    if (character == '\\' || character == '"') {
      text.push_back('\\');
    }
    text.push_back(character);
  }
  return text;
}

LatencyHistogram::LatencyHistogram(std::string aName,
                                   std::array<std::string, 3> aLabelNames)
  : name_(std::move(aName))
  , labelNames_(std::move(aLabelNames))
  , counts_(std::tuple(
      LabelAxis(),
      LabelAxis(),
      LabelAxis(),
      SecondsAxis(kBucketBoundsSeconds.begin(), kBucketBoundsSeconds.end())))
  , sums_(std::tuple(LabelAxis(), LabelAxis(), LabelAxis()))
{
}

void LatencyHistogram::Record(const LabelValues& aValues, Duration aDuration)
{
  const double seconds = std::max(Seconds(aDuration).count(), 0.0);
  // A histogram bin excludes its upper bound; a Prometheus bucket includes it.
  const double binValue = std::nextafter(seconds, 0.0);
  counts_(aValues[0], aValues[1], aValues[2], binValue);
  sums_(aValues[0], aValues[1], aValues[2], boost::histogram::weight(seconds));
}

void LatencyHistogram::Write(std::string& aText) const
{
  aText.append("# TYPE ").append(name_).append(" histogram\n");
  for (int first = 0; first < counts_.axis<0>().size(); ++first) {
    for (int second = 0; second < counts_.axis<1>().size(); ++second) {
      for (int third = 0; third < counts_.axis<2>().size(); ++third) {
        WriteSeries({ first, second, third }, aText);
      }
    }
  }
}

void LatencyHistogram::WriteSeries(const std::array<int, 3>& aIndices,
                                   std::string& aText) const
{
  const auto [first, second, third] = aIndices;
  const SecondsAxis& axis = counts_.axis<3>();
  const std::string labels = Labels(aIndices);
  std::string buckets;
  std::uint64_t cumulativeCount = 0;
  for (int bin = 0; bin <= axis.size(); ++bin) {
    cumulativeCount += counts_.at(first, second, third, bin);
    const std::string bound =
      bin < axis.size() ? FormatNumber(axis.value(bin + 1)) : "+Inf";
    buckets.append(name_).append("_bucket{").append(labels);
    buckets.append(",le=\"").append(bound).append("\"} ");
    buckets.append(std::to_string(cumulativeCount)).append("\n");
  }
  // Omit label combinations that never occurred.
  if (cumulativeCount == 0) {
    return;
  }
  aText += buckets;
  aText += name_ + "_sum{" + labels + "} " +
           FormatNumber(sums_.at(first, second, third).value()) + "\n";
  aText +=
    name_ + "_count{" + labels + "} " + std::to_string(cumulativeCount) + "\n";
}

std::string LatencyHistogram::Labels(const std::array<int, 3>& aIndices) const
{
  const std::array<std::string, 3> values{ counts_.axis<0>().value(aIndices[0]),
                                           counts_.axis<1>().value(aIndices[1]),
                                           counts_.axis<2>().value(
                                             aIndices[2]) };
  std::string text;
  for (std::size_t label = 0; label < values.size(); ++label) {
    if (labelNames_[label].empty()) {
      continue;
    }
    text += text.empty() ? "" : ",";
    text += labelNames_[label] + "=\"" + EscapeLabel(values[label]) + "\"";
  }
  return text;
}

} // namespace gypsum
