#include "core/replay/trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <sstream>
#include <utility>

namespace gypsum {

namespace {

constexpr std::string_view kFormatLine = "gypsumstream-trace 1";

/** Name and operands of a fault kind in the text format. */
struct FaultName
{
  TraceFaultKind kind;
  std::string_view name;
  bool hasTarget;
  bool hasValue;
};

constexpr std::array kFaultNames{
  FaultName{ TraceFaultKind::Slow, "slow", true, true },
  FaultName{ TraceFaultKind::Failing, "failing", true, false },
  FaultName{ TraceFaultKind::Dead, "dead", true, false },
  FaultName{ TraceFaultKind::Frozen, "frozen", true, false },
  FaultName{ TraceFaultKind::Healthy, "healthy", true, false },
  FaultName{ TraceFaultKind::Mute, "mute", true, false },
  FaultName{ TraceFaultKind::Lag, "lag", false, true },
  FaultName{ TraceFaultKind::ZoneLost, "zone-lost", true, false },
};

using Words = std::vector<std::string>;

Words SplitLine(const std::string& aLine)
{
  std::istringstream in(aLine);
  Words words;
  for (std::string word; in >> word;) {
    words.push_back(std::move(word));
  }
  return words;
}

template<typename Number>
std::optional<Number> ParseNumber(std::string_view aText)
{
  Number number{};
  const char* const last = aText.data() + aText.size();
  const auto [end, code] = std::from_chars(aText.data(), last, number);
  return code == std::errc() && end == last ? std::optional(number)
                                            : std::nullopt;
}

/** Parser of the text format. */
class TraceReader
{
public:
  std::variant<Trace, Faults> Read(std::string_view aText)
  {
    std::istringstream in{ std::string(aText) };
    std::string line;
    if (!std::getline(in, line) || line != kFormatLine) {
      AddFault("first line", std::string(kFormatLine), line);
    }
    for (line_ = 2; std::getline(in, line); ++line_) {
      const Words words = SplitLine(line);
      if (!words.empty() && words[0][0] != '#') {
        ReadLine(words);
      }
    }
    if (trace_.manifest.empty()) {
      AddFault("manifest", "a line 'manifest FILE'", "none");
    }
    if (!faults_.empty()) {
      return faults_;
    }
    return std::move(trace_);
  }

private:
  void ReadLine(const Words& aWords)
  {
    if (aWords[0] == "manifest" && aWords.size() == 2) {
      trace_.manifest = aWords[1];
    } else if (aWords[0] == "entries" && aWords.size() == 2) {
      trace_.entries = ReadNumber<std::uint32_t>(aWords[1]);
    } else if (aWords[0] == "seed" && aWords.size() == 2) {
      trace_.seed = ReadNumber<std::uint64_t>(aWords[1]);
    } else if (aWords[0] == "expect" && aWords.size() == 4) {
      ReadExpectation(aWords);
    } else if (aWords.size() == 7 && aWords[1] == "ask") {
      ReadArrival(aWords);
    } else {
      ReadFault(aWords);
    }
  }

  void ReadExpectation(const Words& aWords)
  {
    if (aWords[2] != ">=" && aWords[2] != "<=") {
      AddFault("expect", ">= or <=", aWords[2]);
    }
    trace_.expectations.push_back(
      { aWords[1], aWords[2] == ">=", ReadNumber<double>(aWords[3]) });
  }

  void ReadArrival(const Words& aWords)
  {
    TraceArrival arrival;
    arrival.at = ReadTime(aWords[0]);
    arrival.customer = aWords[2];
    arrival.pipeline = aWords[3];
    arrival.inputBytes = ReadNumber<std::uint32_t>(aWords[4]);
    arrival.outputTokens = ReadNumber<std::uint32_t>(aWords[5]);
    arrival.prefix = ReadNumber<std::uint32_t>(aWords[6]);
    trace_.arrivals.push_back(std::move(arrival));
  }

  void ReadFault(const Words& aWords)
  {
    const std::string_view name = aWords.size() > 1 ? aWords[1] : aWords[0];
    const auto found = std::ranges::find(kFaultNames, name, &FaultName::name);
    if (found == kFaultNames.end() ||
        aWords.size() !=
          2U + unsigned(found->hasTarget) + unsigned(found->hasValue)) {
      AddFault("event", "MS ask ... or MS FAULT [TARGET] [VALUE]", aWords[0]);
      return;
    }
    TraceFault fault{ ReadTime(aWords[0]), found->kind, {}, 0 };
    if (found->hasTarget) {
      fault.target = aWords[2];
    }
    if (found->hasValue) {
      fault.value = ReadNumber<std::uint32_t>(aWords.back());
    }
    trace_.faults.push_back(std::move(fault));
  }

  Duration ReadTime(const std::string& aText)
  {
    const Duration at =
      std::chrono::milliseconds(ReadNumber<std::uint32_t>(aText));
    if (at < lastTime_) {
      AddFault("time", "events in order of time", aText);
    }
    lastTime_ = at;
    return at;
  }

  template<typename T>
  T ReadNumber(const std::string& aText)
  {
    const auto number = ParseNumber<T>(aText);
    if (!number) {
      AddFault("number", "a number", "'" + aText + "'");
    }
    return number.value_or(T{});
  }

  void AddFault(std::string aKey, std::string aExpected, std::string aActual)
  {
    faults_.push_back(
      { line_, std::move(aKey), std::move(aExpected), std::move(aActual) });
  }

  Trace trace_;
  Faults faults_;
  unsigned line_ = 1;
  Duration lastTime_{};
};

long MillisecondsOf(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

void Write(std::ostream& aOut, const TraceArrival& aArrival)
{
  aOut << MillisecondsOf(aArrival.at) << " ask " << aArrival.customer << ' '
       << aArrival.pipeline << ' ' << aArrival.inputBytes << ' '
       << aArrival.outputTokens << ' ' << aArrival.prefix << '\n';
}

void Write(std::ostream& aOut, const TraceFault& aFault)
{
  aOut << MillisecondsOf(aFault.at) << ' ' << NameOf(aFault.kind);
  if (!aFault.target.empty()) {
    aOut << ' ' << aFault.target;
  }
  if (aFault.value != 0) {
    aOut << ' ' << aFault.value;
  }
  aOut << '\n';
}

} // namespace

std::variant<Trace, Faults> ParseTrace(std::string_view aText)
{
  return TraceReader().Read(aText);
}

std::string ToText(const Trace& aTrace)
{
  std::ostringstream out;
  out << kFormatLine << "\nmanifest " << aTrace.manifest << "\nentries "
      << aTrace.entries << "\nseed " << aTrace.seed << '\n';
  for (const TraceExpectation& expectation : aTrace.expectations) {
    out << "expect " << expectation.figure
        << (expectation.isAtLeast ? " >= " : " <= ") << expectation.bound
        << '\n';
  }
  auto fault = aTrace.faults.begin();
  for (const TraceArrival& arrival : aTrace.arrivals) {
    for (; fault != aTrace.faults.end() && fault->at <= arrival.at; ++fault) {
      Write(out, *fault);
    }
    Write(out, arrival);
  }
  std::for_each(fault, aTrace.faults.end(), [&](const TraceFault& aFault) {
    Write(out, aFault);
  });
  return out.str();
}

std::string_view NameOf(TraceFaultKind aKind)
{
  return std::ranges::find(kFaultNames, aKind, &FaultName::kind)->name;
}

} // namespace gypsum
