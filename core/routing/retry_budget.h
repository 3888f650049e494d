#pragma once

namespace gypsum {

/** Limits retries to a share of the stages sent. */
class RetryBudget
{
public:
  /** A stage was sent for the first time; adds to the budget. */
  void OnFirstAttempt();
  /** Takes one retry from the budget; false if none is available. */
  bool Take();
  /** Number of retries that may be sent now. */
  double Remaining() const { return remaining_; }

private:
  double remaining_ = 10; ///< Allows retries right after a start.
};

} // namespace gypsum
