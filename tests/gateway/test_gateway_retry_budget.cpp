#include "core/gateway/gateway_retry_budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GatewayRetryBudgetOptions kOptions{ 0.2, 58.0, seconds(10) };

} // namespace

TEST_CASE("[RepeatBudget] a service without requests gets the fixed part only")
{
  GatewayRetryBudget budget(kOptions);
  const Instant now{ seconds(100) };
  int taken = 0;
  while (budget.Take("s", now)) {
    ++taken;
  }
  // 0.7 of 58, shared by eight gateways.
  CHECK(taken == 5);
}

TEST_CASE("[RepeatBudget] services have budgets of their own")
{
  GatewayRetryBudget budget(kOptions);
  const Instant now{ seconds(100) };
  while (budget.Take("a", now)) {
  }
  CHECK(budget.Take("b", now));
}

TEST_CASE("[RepeatBudget] what was taken comes back after the window")
{
  GatewayRetryBudget budget(kOptions);
  Instant now{ seconds(100) };
  while (budget.Take("s", now)) {
  }
  now += milliseconds(9'900);
  CHECK_FALSE(budget.Take("s", now));
  now += milliseconds(200);
  CHECK(budget.Take("s", now));
}

TEST_CASE(
  "[RepeatBudget] gateways that know nothing of each other keep the fleet's "
  "budget in every window")
{
  // As many gateways as share the budget, each greedy, none hears a peer.
  constexpr int kGateways = 8;
  std::mt19937 random(7);
  std::vector<GatewayRetryBudget> fleet(kGateways,
                                        GatewayRetryBudget(kOptions));
  std::vector<Instant> requests;
  std::vector<Instant> repeats;
  for (Instant now{ seconds(100) }; now < Instant{ seconds(160) };
       now += milliseconds(5)) {
    for (GatewayRetryBudget& gateway : fleet) {
      if (random() % 20 == 0) {
        gateway.OnRequest("s", now);
        requests.push_back(now);
      }
      if (gateway.Take("s", now)) {
        repeats.push_back(now);
      }
    }
  }
  const auto countIn = [](const std::vector<Instant>& aTimes, Instant aEnd) {
    return static_cast<double>(
      std::ranges::count_if(aTimes, [&](Instant aTime) {
        return aTime <= aEnd && aTime > aEnd - kOptions.window;
      }));
  };
  for (Instant end{ seconds(111) }; end < Instant{ seconds(160) };
       end += milliseconds(100)) {
    // Requests count in this window or the one before it, whichever has most.
    const double counted = std::max(countIn(requests, end),
                                    countIn(requests, end - kOptions.window));
    CHECK(countIn(repeats, end) <= kOptions.ratio * counted + kOptions.extra);
  }
}

} // namespace gypsum::tests
