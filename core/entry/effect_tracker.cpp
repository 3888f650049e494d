#include "core/entry/effect_tracker.h"

#include <algorithm>

namespace gypsum {

bool HasNonRepeatableStage(const Pipeline& aPipeline)
{
  return !std::ranges::all_of(aPipeline.stages, &StageSpec::isRepeatable);
}

EffectTracker::EffectTracker(const Pipeline& aPipeline, bool aIsFirstAttempt)
  : stages_(static_cast<std::size_t>(
      std::ranges::count(aPipeline.stages, false, &StageSpec::isRepeatable)))
  , hasUnknownOutcome_(!aIsFirstAttempt)
{
}

void EffectTracker::OnSent()
{
  hasUnknownOutcome_ = true;
}

void EffectTracker::OnOutcome(Outcome aOutcome)
{
  // The owner records every attempt, so its reply also resolves the unknown
  // outcomes of earlier attempts.
  hasUnknownOutcome_ = aOutcome == Outcome::Unknown;
  complete_ += aOutcome == Outcome::Complete ? 1 : 0;
}

std::optional<Outcome> EffectTracker::Summary() const
{
  if (stages_ == 0) {
    return std::nullopt;
  }
  if (complete_ == stages_) {
    return Outcome::Complete;
  }
  return hasUnknownOutcome_ || complete_ > 0 ? Outcome::Unknown
                                             : Outcome::NotRun;
}

} // namespace gypsum
