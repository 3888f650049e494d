#include "core/agent/customer_shares.h"

#include <algorithm>

namespace gypsum {

namespace {

/** Number of customers above which idle ones are removed. */
constexpr std::size_t kCleanupThreshold = 1'000;

} // namespace

double CustomerShares::VirtualStartOf(std::string_view aCustomer) const
{
  const auto found = virtualFinish_.find(aCustomer);
  return found == virtualFinish_.end() ? virtualTime_
                                       : std::max(virtualTime_, found->second);
}

void CustomerShares::OnStarted(const std::string& aCustomer,
                               std::uint32_t aWeight,
                               Duration aExpectedTime)
{
  const double start = VirtualStartOf(aCustomer);
  virtualTime_ = std::max(virtualTime_, start);
  virtualFinish_[aCustomer] =
    start + static_cast<double>(aExpectedTime.count()) / std::max(1U, aWeight);
  if (virtualFinish_.size() > kCleanupThreshold) {
    RemoveIdle();
  }
}

void CustomerShares::RemoveIdle()
{
  std::erase_if(virtualFinish_, [&](const auto& aItem) {
    return aItem.second <= virtualTime_;
  });
}

} // namespace gypsum
