#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/** The work lately admitted for each customer, fading with time. */
class CustomerUsage
{
public:
  void OnAdmitted(const std::string& aCustomer,
                  std::uint32_t aWeight,
                  Duration aWork,
                  Instant aNow);
  /**
   * The customer's usage for its weight over that of all active customers;
   * below one while it has had less than its share.
   */
  double RelativeUsage(std::string_view aCustomer,
                       std::uint32_t aWeight,
                       Instant aNow);

private:
  struct Usage
  {
    double work = 0; ///< In microseconds, as of the last fading.
    std::uint32_t weight = 1;
  };

  void Decay(Instant aNow);

  std::map<std::string, Usage, std::less<>> usages_;
  double sumOfWork_ = 0;
  double sumOfWeights_ = 0;
  Instant decayedAt_{};
};

} // namespace gypsum
