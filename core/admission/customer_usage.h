#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/** Recently admitted work of each customer, decaying exponentially. */
class CustomerUsage
{
public:
  void OnAdmitted(const std::string& aCustomer,
                  std::uint32_t aWeight,
                  Duration aWork,
                  Instant aNow);
  /**
   * Usage per weight of a customer, relative to that of all active customers.
   *
   * Below one if the customer used less than its share; one if no customer has
   * used anything recently.
   */
  double RelativeUsage(std::string_view aCustomer,
                       std::uint32_t aWeight,
                       Instant aNow);

private:
  struct Usage
  {
    double work = 0; ///< Decayed service time, in microseconds.
    std::uint32_t weight = 1;
  };

  void Decay(Instant aNow);

  std::map<std::string, Usage, std::less<>> usages_;
  double sumOfWork_ = 0;
  double sumOfWeights_ = 0;
  Instant decayedAt_{};
};

} // namespace gypsum
