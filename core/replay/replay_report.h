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

/** One named value of a report. */
struct Figure
{
  std::string name; ///< `attainment`, `p99-ms.chat`, `cost-s./generate.useful`.
  double value = 0;
};

/** Figures computed from one replay, in printing order. */
class ReplayReport
{
public:
  ReplayReport(const Trace& aTrace,
               const Manifest& aManifest,
               const ReplayRecord& aRecord);

  const std::vector<Figure>& Figures() const { return figures_; }
  std::optional<double> Find(std::string_view aName) const;
  /** Returns the expectations that are not met or name an unknown figure. */
  std::vector<TraceExpectation> FindUnmet(
    std::span<const TraceExpectation> aExpectations) const;

private:
  std::vector<Figure> figures_;
};

/** A report with the name of the policy that was replayed. */
struct NamedReport
{
  std::string policy;
  ReplayReport report;
};

/** Writes a table with one row per figure and one column per report. */
void WriteComparison(std::ostream& aOut, std::span<const NamedReport> aReports);

} // namespace gypsum
