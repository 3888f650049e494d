#pragma once

#include "core/time.h"

#include <boost/histogram/accumulators/sum.hpp>
#include <boost/histogram/axis/category.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace gypsum {

/** Label values of one series. */
using LabelValues = std::array<std::string, 3>;

/**
 * A metric family: histogram of durations with three labels.
 *
 * Memory grows with each new label value, so the caller must bound them.
 */
class LatencyHistogram
{
public:
  /** A label with an empty name is omitted; its value must be empty too. */
  LatencyHistogram(std::string aName, std::array<std::string, 3> aLabelNames);

  void Record(const LabelValues& aValues, Duration aDuration);

  /** Appends the family in Prometheus text format, in seconds. */
  void Write(std::string& aText) const;

private:
  using LabelAxis =
    boost::histogram::axis::category<std::string,
                                     boost::histogram::use_default,
                                     boost::histogram::axis::option::growth_t>;
  using SecondsAxis = boost::histogram::axis::variable<
    double,
    boost::histogram::use_default,
    boost::histogram::axis::option::overflow_t>;
  using Counts = boost::histogram::histogram<
    std::tuple<LabelAxis, LabelAxis, LabelAxis, SecondsAxis>,
    boost::histogram::dense_storage<std::uint64_t>>;
  using Sums =
    boost::histogram::histogram<std::tuple<LabelAxis, LabelAxis, LabelAxis>,
                                boost::histogram::dense_storage<
                                  boost::histogram::accumulators::sum<double>>>;

  void WriteSeries(const std::array<int, 3>& aIndices,
                   std::string& aText) const;
  std::string Labels(const std::array<int, 3>& aIndices) const;

  std::string name_;
  std::array<std::string, 3> labelNames_;
  Counts counts_;
  Sums sums_;
};

/** Escapes backslashes, quotes and line feeds of a label value. */
std::string EscapeLabel(std::string_view aValue);

} // namespace gypsum
