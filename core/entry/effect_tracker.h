#pragma once

#include "core/configuration/manifest.h"
#include "core/error_kind.h"

#include <cstddef>
#include <optional>

namespace gypsum {

/** Whether a pipeline has a stage that must not be repeated. */
bool HasNonRepeatableStage(const Pipeline& aPipeline);

/** Tracks the outcomes of the non-repeatable stages of one request. */
class EffectTracker
{
public:
  EffectTracker() = default;
  /** An earlier attempt, if there was one, may have run any stage. */
  EffectTracker(const Pipeline& aPipeline, bool aIsFirstAttempt);

  /** A non-repeatable stage was sent; its outcome is unknown until a reply. */
  void OnSent();
  /** The owner reported the outcome of a stage that was sent. */
  void OnOutcome(Outcome aOutcome);
  /** Outcome of all stages together; nothing if all are repeatable. */
  std::optional<Outcome> Summary() const;

private:
  std::size_t stages_ = 0;
  std::size_t complete_ = 0;
  bool hasUnknownOutcome_ = false; ///< A stage may have run.
};

} // namespace gypsum
