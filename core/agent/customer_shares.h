#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Start-time fair queueing over customers: the customer that has used the least
 * service time per weight is served next.
 *
 * A customer that returns after a pause starts at the current virtual time, so
 * it accumulates no credit for the time in which it sent nothing.
 */
class CustomerShares
{
public:
  /** Virtual time at which the customer's next stage would start. */
  double VirtualStartOf(std::string_view aCustomer) const;
  /** Charges the customer for a stage with this expected service time. */
  void OnStarted(const std::string& aCustomer,
                 std::uint32_t aWeight,
                 Duration aExpectedTime);

private:
  /** Removes customers whose virtual finish is not after the virtual time. */
  void RemoveIdle();

  /** In microseconds of service time per unit of weight. */
  std::map<std::string, double, std::less<>> virtualFinish_;
  double virtualTime_ = 0; ///< Virtual start of the latest stage; same unit.
};

} // namespace gypsum
