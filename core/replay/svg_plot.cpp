#include "core/replay/svg_plot.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

namespace gypsum {

namespace {

// Sizes in SVG user units.
constexpr double kWidth = 900;
constexpr double kHeight = 300;
constexpr double kMargin = 40;
constexpr double kLegendLineHeight = 16;
constexpr std::array<std::string_view, 6> kColors{ "#1f77b4", "#d62728",
                                                   "#2ca02c", "#9467bd",
                                                   "#ff7f0e", "#17becf" };

std::size_t ArrivalSecond(const TraceArrival& aArrival)
{
  return static_cast<std::size_t>(
    std::chrono::duration_cast<std::chrono::seconds>(aArrival.at).count());
}

/** Returns the share of arrivals served in time, per second of arrival. */
std::vector<double> AttainmentBySecond(const Trace& aTrace,
                                       const ReplayRecord& aRecord)
{
  const std::size_t seconds =
    aTrace.arrivals.empty() ? 0 : ArrivalSecond(aTrace.arrivals.back()) + 1;
  std::vector<double> arrived(seconds);
  std::vector<double> served(seconds);
  for (std::size_t index = 0; index < aTrace.arrivals.size(); ++index) {
    const std::size_t second = ArrivalSecond(aTrace.arrivals[index]);
    arrived[second] += 1;
    served[second] += aRecord.requests[index].IsInTime() ? 1 : 0;
  }
  std::ranges::transform(
    served, arrived, served.begin(), [](double aServed, double aArrived) {
      return aArrived > 0 ? aServed / aArrived : 1;
    });
  return served;
}

void WritePolyline(std::ostream& aOut,
                   std::span<const double> aValues,
                   std::string_view aColor)
{
  const double step =
    (kWidth - 2 * kMargin) /
    static_cast<double>(std::max<std::size_t>(aValues.size(), 1));
  aOut << "<polyline fill=\"none\" stroke=\"" << aColor << "\" points=\"";
  double x = kMargin;
  for (const double value : aValues) {
    aOut << x << ',' << kHeight - kMargin - value * (kHeight - 2 * kMargin)
         << ' ';
    x += step;
  }
  aOut << "\"/>\n";
}

} // namespace

void WriteSvg(std::ostream& aOut,
              const Trace& aTrace,
              std::span<const NamedRecord> aRecords)
{
  aOut << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
       << "\" height=\"" << kHeight << "\" font-size=\"12\">\n"
       << "<text x=\"4\" y=\"" << kMargin << "\">1.0</text>\n<text x=\"4\" y=\""
       << kHeight - kMargin << "\">0.0</text>\n<text x=\"" << kMargin
       << "\" y=\"" << kHeight - kMargin / 2
       << "\">seconds; share of arrivals served in time</text>\n";
  double legend = kMargin;
  for (std::size_t index = 0; index < aRecords.size(); ++index) {
    const std::string_view color = kColors[index % kColors.size()];
    const NamedRecord& named = aRecords[index];
    WritePolyline(aOut, AttainmentBySecond(aTrace, named.record), color);
    aOut << "<text x=\"" << kWidth - 5 * kMargin << "\" y=\"" << legend
         << "\" fill=\"" << color << "\">" << named.policy << "</text>\n";
    legend += kLegendLineHeight;
  }
  aOut << "</svg>\n";
}

} // namespace gypsum
