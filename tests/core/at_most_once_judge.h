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

/** What the judge has seen over one schedule or, added up, over many. */
struct Tally
{
  unsigned executions = 0;
  unsigned complete = 0;
  unsigned notRun = 0;
  unsigned unknown = 0;
  unsigned kills = 0;
  unsigned freezes = 0;
  unsigned moves = 0;
  unsigned stops = 0;
};

/** Checks after each step that nothing that was promised is broken. */
class AtMostOnceJudge
{
public:
  static constexpr Duration kDeadline = std::chrono::seconds(1);

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

  /** Time since the first call; negative if there was none. */
  Duration SinceFirst(Duration aNow) const
  {
    return calls_.empty() ? Duration(-1)
                          : aNow - calls_.begin()->second.submittedAt;
  }

  void OnEntryLost(const std::string& aEntry)
  {
    for (auto& [number, call] : calls_) {
      call.isLost = call.isLost || call.entry == aEntry;
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

  void OnDecided(const CallBackend& aCall, Incarnation aAgent)
  {
    if (aCall.timeout <= Duration::zero()) {
      Break("an attempt starts after its deadline");
    }
    if (targetOfInput_[aCall.input] != aAgent) {
      Break("an attempt runs in an incarnation that it was not sent to");
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
      Break("a call is answered twice");
    }
    call.isAnswered = true;
    call.outcome = aAnswer.answer.outcome;
    switch (call.outcome) {
      case Outcome::Complete:
        ++tally_.complete;
        if (tally_.executions != 1 || aAnswer.answer.body != "confirmed") {
          Break("a call is complete without an execution");
        }
        break;
      case Outcome::NotRun:
        ++tally_.notRun;
        if (call.executionsBefore != 0) {
          Break("a call is answered not run, but the key ran before");
        }
        break;
      case Outcome::Unknown:
        ++tally_.unknown;
        break;
    }
    if (call.outcome != Outcome::Complete &&
        aAnswer.answer.retryAfter <= Duration::zero() &&
        ErrorResponseOf(aAnswer.answer.error).retryAfter > Duration::zero()) {
      Break("a call is not told when to come back");
    }
  }

  void CheckOverdue(Duration aNow,
                    const std::function<bool(const std::string&)>& aIsActive)
  {
    for (const auto& [number, call] : calls_) {
      const bool isOverdue = !call.isAnswered && !call.isLost &&
                             aIsActive(call.entry) &&
                             aNow - call.submittedAt > kDeadline;
      if (isOverdue) {
        Break("a call has no answer in time");
      }
    }
  }

  void Check()
  {
    if (tally_.executions > 1) {
      Break("the key ran twice");
    }
    for (const auto& [number, call] : calls_) {
      if (call.isAnswered && call.outcome == Outcome::NotRun &&
          call.hasExecuted) {
        Break("a call is not run, but ran");
      }
    }
  }

  /** What was broken first; empty if nothing was. */
  const std::string& Violation() const { return violation_; }
  const Tally& Seen() const { return tally_; }
  Tally& Count() { return tally_; }

private:
  struct Call
  {
    std::string entry;
    Duration submittedAt{};
    unsigned executionsBefore = 0;
    bool isAnswered = false;
    bool isLost = false; ///< Its entry died with it.
    Outcome outcome = Outcome::Unknown;
    bool hasExecuted = false;
  };

  /** No two calls have the same deadline, so the budget names the call. */
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

  void Break(std::string aText)
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
