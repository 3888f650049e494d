#pragma once

#include "drivers/processor_time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/** Processor time of one kind of work. */
struct WorkDone
{
  std::uint64_t times = 0;
  ProcessorTime time{};
};

/** `KIND:MS/TIMES`. */
std::string ToText(std::string_view aKind, const WorkDone& aWork);

/**
 * Counts the processor time of the event loop by kind of work.
 *
 * A kind that begins inside another one is not counted for that one. What no
 * scope measures is the difference to the time of the thread.
 */
class WorkMeter
{
public:
  /** Measures until its end. It must not live across a `co_await`. */
  class Scope
  {
  public:
    Scope(WorkMeter& aMeter, std::string_view aKind);
    ~Scope();
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    WorkMeter& meter_;
    WorkDone* const outer_;
  };

  /** By kind. The keys are literals. */
  const std::map<std::string_view, WorkDone>& All() const { return works_; }
  /** The kinds that have taken most time since the last call, for the log.
   */
  std::string TakeLargest();

private:
  /** Charges the time since the last change of kind to the current one. */
  void SwitchTo(WorkDone* aWork);

  std::map<std::string_view, WorkDone> works_;
  std::map<std::string_view, WorkDone> reported_;
  WorkDone* current_ = nullptr; ///< Null outside of all scopes.
  ProcessorTime since_{};
};

} // namespace gypsum
