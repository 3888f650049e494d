#include "core/admission/customer_usage.h"

#include <algorithm>

namespace gypsum {

namespace {

constexpr Duration kDecayPeriod = std::chrono::milliseconds(250);
constexpr double kDecayFactor = 0.9;
/** Customers with less decayed work, in microseconds, are removed. */
constexpr double kMinWorkUs = 1'000;

} // namespace

void CustomerUsage::OnAdmitted(const std::string& aCustomer,
                               std::uint32_t aWeight,
                               Duration aWork,
                               Instant aNow)
{
  Decay(aNow);
  const auto [found, isNew] = usages_.emplace(aCustomer, Usage{});
  Usage& usage = found->second;
  sumOfWeights_ += isNew ? aWeight : double(aWeight) - usage.weight;
  usage.weight = aWeight;
  const auto work = static_cast<double>(aWork.count());
  usage.work += work;
  sumOfWork_ += work;
}

double CustomerUsage::RelativeUsage(std::string_view aCustomer,
                                    std::uint32_t aWeight,
                                    Instant aNow)
{
  Decay(aNow);
  const auto found = usages_.find(aCustomer);
  if (sumOfWork_ <= 0) {
    return 1;
  }
  if (found == usages_.end()) {
    return 0;
  }
  const double own = found->second.work / std::max(1U, aWeight);
  return own / (sumOfWork_ / sumOfWeights_);
}

void CustomerUsage::Decay(Instant aNow)
{
  if (aNow - decayedAt_ < kDecayPeriod) {
    return;
  }
  const auto periods =
    std::min<Duration::rep>((aNow - decayedAt_) / kDecayPeriod, 100);
  decayedAt_ = aNow;
  sumOfWork_ = 0;
  sumOfWeights_ = 0;
  for (auto& [name, usage] : usages_) {
    for (Duration::rep period = 0; period < periods; ++period) {
      usage.work *= kDecayFactor;
    }
  }
  std::erase_if(
    usages_, [](const auto& aItem) { return aItem.second.work < kMinWorkUs; });
  for (const auto& [name, usage] : usages_) {
    sumOfWork_ += usage.work;
    sumOfWeights_ += usage.weight;
  }
}

} // namespace gypsum
