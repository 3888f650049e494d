#pragma once

namespace gypsum {

/** Keeps repeated stages to a share of the stages sent. */
class RetryBudget
{
public:
  /** A stage was sent for the first time. */
  void OnFirstAttempt();
  /** Whether a stage may be repeated now; takes it off the budget. */
  bool Take();
  /** Repeats that may be sent now. */
  double Remaining() const { return remaining_; }

private:
  double remaining_ = 10; ///< Enough for the first failures after a start.
};

} // namespace gypsum
