#include "core/gateway/gateway_retry_budget.h"

#include <algorithm>

namespace gypsum {

namespace {

void DropBefore(std::deque<Instant>& aTimes, Instant aOldest)
{
  while (!aTimes.empty() && aTimes.front() < aOldest) {
    aTimes.pop_front();
  }
}

} // namespace

GatewayRetryBudget::GatewayRetryBudget(GatewayRetryBudgetOptions aOptions)
  : options_(aOptions)
{
}

void GatewayRetryBudget::SetGatewayCount(std::size_t aCount)
{
  gatewayCount_ = std::max(kMinGateways, static_cast<double>(aCount));
}

GatewayRetryBudget::Counts& GatewayRetryBudget::CurrentCounts(
  std::string_view aService,
  Instant aNow)
{
  auto found = services_.find(aService);
  if (found == services_.end()) {
    found = services_.emplace(std::string(aService), Counts{}).first;
  }
  DropBefore(found->second.requests, aNow - options_.window);
  DropBefore(found->second.retries, aNow - options_.window);
  return found->second;
}

void GatewayRetryBudget::OnRequest(std::string_view aService, Instant aNow)
{
  CurrentCounts(aService, aNow).requests.push_back(aNow);
}

double GatewayRetryBudget::Remaining(std::string_view aService, Instant aNow)
{
  const Counts& counts = CurrentCounts(aService, aNow);
  return options_.ratio * static_cast<double>(counts.requests.size()) +
         kFixedPartShare * options_.fixedRetries / gatewayCount_ -
         static_cast<double>(counts.retries.size());
}

bool GatewayRetryBudget::Take(std::string_view aService, Instant aNow)
{
  if (Remaining(aService, aNow) < 1.0) {
    return false;
  }
  CurrentCounts(aService, aNow).retries.push_back(aNow);
  return true;
}

} // namespace gypsum
