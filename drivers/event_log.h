#pragma once

#include "core/log_line.h"
#include "core/time.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace gypsum {

/** One `name=value` of a log line. */
struct LogField
{
  LogField(std::string_view aName, std::string_view aValue);
  LogField(std::string_view aName, std::uint64_t aValue);
  /** In milliseconds with one digit after the point. */
  LogField(std::string_view aName, Duration aValue);

  std::string_view name;
  std::string value;
};

/** What kind of line an event is; it decides what is left out under load. */
enum class LogClass
{
  Normal,      ///< A step of a request on its good way.
  Failure,     ///< A step of a request that is refused, repeated or fails.
  StateChange, ///< What the process believes has changed.
};

/**
 * Structured lines on standard output, one `name=value` list a line.
 *
 * At most so many lines a second: normal ones may use a part of them, so that
 * failures and changes of belief find room; what was left out is counted in a
 * line of its own. A reader that stops reading never blocks the process: lines
 * go to a bounded buffer, and what does not fit is counted.
 */
class EventLog
{
public:
  /** Starts the sink; `aDescriptor` is standard output but for tests. */
  EventLog(std::string_view aProcess,
           Severity aLevel,
           std::uint32_t aLinesPerSecond,
           int aDescriptor);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(LogClass aClass,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields);
  /** Tells what was left out and writes what a slow reader left behind. */
  void Flush();

  std::uint64_t LeftOut() const { return leftOut_; }
  std::uint64_t Lost() const;

private:
  bool TakeRoom(LogClass aClass);

  Severity level_;
  std::uint32_t linesPerSecond_;
  std::uint32_t linesThisSecond_ = 0;
  std::uint32_t normalThisSecond_ = 0;
  std::int64_t second_ = 0;
  std::uint64_t leftOut_ = 0;
  std::uint64_t leftOutTold_ = 0;
};

} // namespace gypsum
