#include "core/routing/retry_budget.h"

#include <algorithm>

namespace gypsum {

namespace {

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
