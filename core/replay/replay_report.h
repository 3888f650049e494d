#pragma once

#include "core/configuration/manifest.h"
#include "core/replay/replay_record.h"

#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** One figure of a report. */
struct Figure
{
  std::string name; ///< `attainment`, `p99-ms.chat`, `cost-s./generate.useful`.
  double value = 0;
};

/** All figures of one replay, in the order of printing. */
class ReplayReport
{
public:
  ReplayReport(const Trace& aTrace,
               const Manifest& aManifest,
               const ReplayRecord& aRecord);

  const std::vector<Figure>& Figures() const { return figures_; }
  std::optional<double> Find(std::string_view aName) const;
  /** The expectations that the figures do not keep. */
  std::vector<TraceExpectation> FindUnmet(
    std::span<const TraceExpectation> aExpectations) const;

private:
  std::vector<Figure> figures_;
};

/** A report under the name of the policy that it is about. */
struct NamedReport
{
  std::string policy;
  ReplayReport report;
};

/** Writes the figures of all reports side by side. */
void WriteComparison(std::ostream& aOut, std::span<const NamedReport> aReports);

} // namespace gypsum
