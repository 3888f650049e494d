#include "core/routing/retry_budget.h"

#include <algorithm>

namespace gypsum {

namespace {

/** Retries added to the budget by each first attempt. */
constexpr double kRetriesPerStage = 0.08;
constexpr double kMaxRetries = 50;

} // namespace

void RetryBudget::OnFirstAttempt()
{
  remaining_ = std::min(kMaxRetries, remaining_ + kRetriesPerStage);
}

bool RetryBudget::Take()
{
  if (remaining_ < 1) {
    return false;
  }
  remaining_ -= 1;
  return true;
}

} // namespace gypsum
