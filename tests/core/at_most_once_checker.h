#pragma once

#include "core/agent/agent_events.h"
#include "core/entry/entry_events.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace gypsum::tests {

/** Event counts over one schedule or, summed, over many. */
struct Tally
{
  unsigned executions = 0;
  unsigned complete = 0;
  unsigned notRun = 0;
  unsigned unknown = 0;
  unsigned kills = 0;
  unsigned freezes = 0;
  unsigned adoptions = 0;
  unsigned stops = 0;
};

/** Checks after each step that the at-most-once guarantees hold. */
class AtMostOnceChecker
{
public:
  static constexpr Duration kDeadline = std::chrono::seconds(1);

  /** Time to the deadline of a call; different for each call. */
  static Duration DeadlineOf(std::uint64_t aCall)
  {
    return kDeadline - Duration(aCall);
  }

  std::uint64_t OnSubmitted(const std::string& aEntry, Duration aNow)
  {
    const std::uint64_t number = calls_.size() + 1;
    calls_[number] = { aEntry, aNow, tally_.executions };
    return number;
  }

  /** Time since the first call was submitted; negative if there was none. */
  Duration SinceFirst(Duration aNow) const
  {
    return calls_.empty() ? Duration(-1)
                          : aNow - calls_.begin()->second.submittedAt;
  }

  void OnEntryKilled(const std::string& aEntry)
  {
    for (auto& [number, call] : calls_) {
      call.isEntryKilled = call.isEntryKilled || call.entry == aEntry;
    }
  }

  void OnSent(const std::string& aEntry,
              const StageRequest& aStage,
              Incarnation aTarget,
              Duration aNow)
  {
    callOfInput_[aStage.input] = CallOf(aEntry, aStage.budget, aNow);
    targetOfInput_[aStage.input] = aTarget;
  }

  void OnCallDecided(const CallBackend& aCall, Incarnation aAgent)
  {
    if (aCall.timeout <= Duration::zero()) {
      ReportViolation("an attempt starts after its deadline");
    }
    if (targetOfInput_[aCall.input] != aAgent) {
      ReportViolation(
        "an attempt runs in an incarnation that it was not sent to");
    }
  }

  void OnExecuted(const std::string& aInput)
  {
    ++tally_.executions;
    calls_.at(callOfInput_.at(aInput)).hasExecuted = true;
  }

  void OnAnswer(const AnswerCaller& aAnswer)
  {
    Call& call = calls_.at(aAnswer.call);
    if (call.isAnswered) {
      ReportViolation("a call is answered twice");
    }
    call.isAnswered = true;
    call.outcome = aAnswer.answer.outcome;
    switch (call.outcome) {
      case Outcome::Complete:
        ++tally_.complete;
        if (tally_.executions != 1 || aAnswer.answer.body != "confirmed") {
          ReportViolation("a call is complete without an execution");
        }
        break;
      case Outcome::NotRun:
        ++tally_.notRun;
        if (call.executionsBefore != 0) {
          ReportViolation("a call is answered not run, but the key ran before");
        }
        break;
      case Outcome::Unknown:
        ++tally_.unknown;
        break;
    }
    if (call.outcome != Outcome::Complete &&
        aAnswer.answer.retryAfter <= Duration::zero() &&
        ErrorResponseOf(aAnswer.answer.error).retryAfter > Duration::zero()) {
      ReportViolation("a call that is not complete has no retry-after time");
    }
  }

  void CheckOverdue(Duration aNow,
                    const std::function<bool(const std::string&)>& aIsActive)
  {
    for (const auto& [number, call] : calls_) {
      const bool isOverdue = !call.isAnswered && !call.isEntryKilled &&
                             aIsActive(call.entry) &&
                             aNow - call.submittedAt > kDeadline;
      if (isOverdue) {
        ReportViolation("a call has no answer in time");
      }
    }
  }

  void Check()
  {
    if (tally_.executions > 1) {
      ReportViolation("the key ran twice");
    }
    for (const auto& [number, call] : calls_) {
      if (call.isAnswered && call.outcome == Outcome::NotRun &&
          call.hasExecuted) {
        ReportViolation("a call is not run, but ran");
      }
    }
  }

  /** First violation; empty if there was none. */
  const std::string& Violation() const { return violation_; }
  const Tally& Totals() const { return tally_; }
  Tally& MutableTotals() { return tally_; }

private:
  struct Call
  {
    std::string entry;
    Duration submittedAt{};
    unsigned executionsBefore = 0;
    bool isAnswered = false;
    bool isEntryKilled = false; ///< Its entry was killed before answering.
    Outcome outcome = Outcome::Unknown;
    bool hasExecuted = false;
  };

  /** Each call has its own deadline, so the budget identifies the call. */
  std::uint64_t CallOf(const std::string& aEntry,
                       Duration aBudget,
                       Duration aNow) const
  {
    const auto found = std::ranges::find_if(calls_, [&](const auto& aItem) {
      return aItem.second.entry == aEntry &&
             aItem.second.submittedAt + DeadlineOf(aItem.first) - aNow ==
               aBudget;
    });
    return found == calls_.end() ? 0 : found->first;
  }

  void ReportViolation(std::string aText)
  {
    if (violation_.empty()) {
      violation_ = std::move(aText);
    }
  }

  std::map<std::string, std::uint64_t> callOfInput_;
  std::map<std::string, Incarnation> targetOfInput_;
  std::map<std::uint64_t, Call> calls_;
  Tally tally_;
  std::string violation_;
};

} // namespace gypsum::tests
