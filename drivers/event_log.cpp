#include "drivers/event_log.h"

#include "drivers/clock.h"
#include "drivers/log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <climits>
#include <cstdio>

namespace gypsum {

namespace {

namespace log = boost::log;
namespace sinks = boost::log::sinks;
namespace expressions = boost::log::expressions;

/** Buffer for a reader that does not read; holds about a second of lines under
 * load. */
constexpr std::size_t kMaxPendingBytes = 65'536;
/** Share of the line limit that normal lines may use. */
constexpr std::uint32_t kNormalPercent = 60;
constexpr std::string_view kComponent = "event";

/** Writes complete lines in order without ever blocking on the reader. */
class BoundedBackend
  : public sinks::basic_formatted_sink_backend<char,
                                               sinks::synchronized_feeding>
{
public:
  explicit BoundedBackend(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }

  void consume(const log::record_view& /*aRecord*/, // NOLINT: library name
               const std::string& aLine)
  {
    if (pending_.size() + aLine.size() + 1 > kMaxPendingBytes) {
      ++dropped_;
      return;
    }
    pending_.append(aLine).push_back('\n');
    WritePending();
  }

  void WritePending()
  {
    while (!pending_.empty()) {
      pollfd item{ descriptor_, POLLOUT, 0 };
      if (poll(&item, 1, 0) != 1 || (item.revents & POLLOUT) == 0) {
        return;
      }
      // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
      const auto count =
        write(descriptor_,
              pending_.data(),
              std::min<std::size_t>(pending_.size(), PIPE_BUF));
      if (count <= 0) {
        return;
      }
      pending_.erase(0, static_cast<std::size_t>(count));
    }
  }

  std::uint64_t DroppedLines() const { return dropped_; }

private:
  int descriptor_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

using Sink = sinks::synchronous_sink<BoundedBackend>;

/** The process has one sink, since the log library has one core. */
boost::shared_ptr<Sink>& CurrentSink()
{
  static boost::shared_ptr<Sink> sink;
  return sink;
}

void AppendValue(std::string& aLine, std::string_view aValue)
{
  const bool isPlain =
    !aValue.empty() && std::ranges::none_of(aValue, [](char aCharacter) {
      return aCharacter <= ' ' || aCharacter == '"' || aCharacter == '=';
    });
  if (isPlain) {
    aLine.append(aValue);
    return;
  }
  aLine.push_back('"');
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      aLine.push_back('\\');
    }
    aLine.push_back(character < ' ' ? ' ' : character);
  }
  aLine.push_back('"');
}

Severity SeverityOf(LogClass aClass)
{
  return aClass == LogClass::Failure ? Severity::Warning : Severity::Info;
}

} // namespace

LogField::LogField(std::string_view aName, std::string_view aValue)
  : name(aName)
  , value(aValue)
{
}

LogField::LogField(std::string_view aName, std::uint64_t aValue)
  : name(aName)
  , value(std::to_string(aValue))
{
}

LogField::LogField(std::string_view aName, Duration aValue)
  : name(aName)
{
  std::array<char, 32> text{};
  const auto result =
    std::to_chars(text.data(),
                  text.data() + text.size(),
                  static_cast<double>(aValue.count()) / 1'000.0,
                  std::chars_format::fixed,
                  1);
  value.assign(text.data(), result.ptr);
}

EventLog::EventLog(std::string_view aProcess,
                   Severity aLevel,
                   std::uint32_t aLinesPerSecond,
                   int aDescriptor)
  : level_(aLevel)
  , linesPerSecond_(aLinesPerSecond)
{
  log::add_common_attributes();
  auto sink =
    boost::make_shared<Sink>(boost::make_shared<BoundedBackend>(aDescriptor));
  sink->set_formatter(expressions::stream << "node=" << std::string(aProcess)
                                          << " " << expressions::smessage);
  sink->set_filter(expressions::attr<Severity>("Severity") >= aLevel);
  CurrentSink() = sink;
  log::core::get()->add_sink(sink);
}

EventLog::~EventLog()
{
  Flush();
  log::core::get()->remove_sink(CurrentSink());
  CurrentSink().reset();
}

bool EventLog::AllowLine(LogClass aClass)
{
  const std::int64_t second =
    Now().steady.time_since_epoch() / std::chrono::seconds(1);
  if (second != second_) {
    second_ = second;
    linesThisSecond_ = 0;
    normalThisSecond_ = 0;
  }
  const bool isNormal = aClass == LogClass::Normal;
  if (linesThisSecond_ >= linesPerSecond_ ||
      (isNormal &&
       normalThisSecond_ >= linesPerSecond_ * kNormalPercent / 100)) {
    ++suppressed_;
    return false;
  }
  ++linesThisSecond_;
  normalThisSecond_ += isNormal ? 1 : 0;
  return true;
}

void EventLog::Write(LogClass aClass,
                     std::string_view aEvent,
                     std::initializer_list<LogField> aFields)
{
  if (SeverityOf(aClass) < level_ || !AllowLine(aClass)) {
    return;
  }
  const ClockReading now = Now();
  std::string line = "t=";
  line.append(std::to_string(now.wall.time_since_epoch().count()));
  line.append(" event=").append(aEvent);
  for (const LogField& field : aFields) {
    line.append(" ").append(field.name).append("=");
    AppendValue(line, field.value);
  }
  Log(SeverityOf(aClass), kComponent, line);
}

void EventLog::Flush()
{
  if (suppressed_ != reportedSuppressed_) {
    const std::uint64_t count = suppressed_ - reportedSuppressed_;
    reportedSuppressed_ = suppressed_;
    Log(Severity::Warning,
        kComponent,
        "event=lines-left-out count=" + std::to_string(count));
  }
  if (const auto sink = CurrentSink()) {
    sink->locked_backend()->WritePending();
  }
}

std::uint64_t EventLog::DroppedLines() const
{
  const auto sink = CurrentSink();
  return sink ? sink->locked_backend()->DroppedLines() : 0;
}

} // namespace gypsum
