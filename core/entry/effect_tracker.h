#pragma once

#include "core/configuration/manifest.h"
#include "core/error_kind.h"

#include <cstddef>
#include <optional>

namespace gypsum {

/** Whether some stage of a pipeline may not be repeated. */
bool HasNonRepeatableStage(const Pipeline& aPipeline);

/** What one request knows of the effects of its non-repeatable stages. */
class EffectTracker
{
public:
  EffectTracker() = default;
  /** Without a first attempt, an earlier one may have run any stage. */
  EffectTracker(const Pipeline& aPipeline, bool aIsFirstAttempt);

  /** A non-repeatable stage was sent; its outcome is open. */
  void OnSent();
  /** The owner told the outcome of a stage that was sent. */
  void OnOutcome(Outcome aOutcome);
  /** All stages together; nothing if the pipeline repeats freely. */
  std::optional<Outcome> Summary() const;

private:
  std::size_t stages_ = 0;
  std::size_t complete_ = 0;
  bool hasUnknownOutcome_ = false; ///< Some stage may have run, unknown to us.
};

} // namespace gypsum
