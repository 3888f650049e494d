#pragma once

#include "core/log_line.h"
#include "core/time.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace gypsum {

/** One `name=value` field of a log line. */
struct LogField
{
  LogField(std::string_view aName, std::string_view aValue);
  LogField(std::string_view aName, std::uint64_t aValue);
  /** Written in milliseconds with one decimal place. */
  LogField(std::string_view aName, Duration aValue);

  std::string_view name;
  std::string value;
};

/** Class of a line; decides which lines are suppressed under load. */
enum class LogClass
{
  Normal,      ///< A step of a request that succeeds.
  Failure,     ///< A step of a request that is refused, retried or fails.
  StateChange, ///< A change of the configuration, registry, peers or process.
};

/**
 * Writes structured lines to standard output, each a list of `name=value`.
 *
 * The number of lines per second is limited. Normal lines may use only part of
 * the limit, so that failures and state changes are still written; the number
 * of suppressed lines is reported in a line of its own. A reader that stops
 * reading never blocks the process: lines go to a bounded buffer, and lines
 * that do not fit are dropped and counted.
 */
class EventLog
{
public:
  /** Starts the sink; `aDescriptor` is standard output except in tests. */
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
  /** Reports suppressed lines and writes the buffered ones. */
  void Flush();

  /** Number of lines suppressed by the rate limit. */
  std::uint64_t SuppressedLines() const { return suppressed_; }
  /** Number of lines dropped because the buffer was full. */
  std::uint64_t DroppedLines() const;

private:
  bool AllowLine(LogClass aClass);

  Severity level_;
  std::uint32_t linesPerSecond_;
  std::uint32_t linesThisSecond_ = 0;
  std::uint32_t normalThisSecond_ = 0;
  std::int64_t second_ = 0;
  std::uint64_t suppressed_ = 0;
  std::uint64_t reportedSuppressed_ = 0;
};

} // namespace gypsum
