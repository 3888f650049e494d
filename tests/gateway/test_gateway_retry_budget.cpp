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

TEST_CASE(
  "[GatewayRetryBudget] a service without requests gets the fixed part only")
{
  GatewayRetryBudget budget(kOptions);
  const Instant now{ seconds(100) };
  int taken = 0;
  while (budget.Take("s", now)) {
    ++taken;
  }
  // 0.7 * 58, divided by eight gateways.
  CHECK(taken == 5);
}

TEST_CASE("[GatewayRetryBudget] each service has its own budget")
{
  GatewayRetryBudget budget(kOptions);
  const Instant now{ seconds(100) };
  while (budget.Take("a", now)) {
  }
  CHECK(budget.Take("b", now));
}

TEST_CASE(
  "[GatewayRetryBudget] taken retries are available again after the window")
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

TEST_CASE("[GatewayRetryBudget] gateways that know no peers stay within the "
          "fleet's budget in every window")
{
  // The budget is divided by eight. Each gateway retries whenever it may, and
  // none receives messages from a peer.
  constexpr int kGateways = 8;
  std::mt19937 random(7);
  std::vector<GatewayRetryBudget> fleet(kGateways,
                                        GatewayRetryBudget(kOptions));
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  for (Instant now{ seconds(100) }; now < Instant{ seconds(160) };
       now += milliseconds(5)) {
    for (GatewayRetryBudget& gateway : fleet) {
      if (random() % 20 == 0) {
        gateway.OnRequest("s", now);
        requests.push_back(now);
      }
      if (gateway.Take("s", now)) {
        retries.push_back(now);
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
    // A retry is allowed by the requests of the window that ends with it, which
    // may lie in this window or in the one before: take the larger count.
    const double counted = std::max(countIn(requests, end),
                                    countIn(requests, end - kOptions.window));
    CHECK(countIn(retries, end) <=
          kOptions.ratio * counted + kOptions.fixedRetries);
  }
}

} // namespace gypsum::tests
