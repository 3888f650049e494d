#pragma once

#include "core/time.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/** How many sends beyond the first of each request a service may get. */
struct GatewayRetryBudgetOptions
{
  double ratio = 0.2; ///< Of the requests for the service.
  double extra = 0.0; ///< Of the whole fleet, in one window.
  Duration window = std::chrono::seconds(10);

  bool operator==(const GatewayRetryBudgetOptions&) const = default;
};

/**
 * One gateway's part of the fleet's budget of repeats, by service.
 *
 * The ratio is taken of this gateway's own requests, so that the sum over the
 * fleet keeps it without exchange. The fixed part is divided by the gateways
 * that are known, and never by less than `kLeastGateways`: a gateway that is
 * cut off from its peers must not take the whole.
 */
class GatewayRetryBudget
{
public:
  static constexpr double kLeastGateways = 8.0; ///< Twice a small fleet.
  /** Part of the fixed budget in use; the rest is for unequal views. */
  static constexpr double kShare = 0.7;

  explicit GatewayRetryBudget(GatewayRetryBudgetOptions aOptions);

  void SetOptions(GatewayRetryBudgetOptions aOptions) { options_ = aOptions; }
  void SetGatewayCount(std::size_t aCount);
  void OnRequest(std::string_view aService, Instant aNow);
  /** Whether one repeat may be sent now; takes it off the budget. */
  bool Take(std::string_view aService, Instant aNow);
  /** Repeats left in the window that ends now. */
  double Left(std::string_view aService, Instant aNow);

private:
  struct Counts
  {
    std::deque<Instant> requests;
    std::deque<Instant> repeats;
  };

  Counts& Trimmed(std::string_view aService, Instant aNow);

  GatewayRetryBudgetOptions options_;
  double gateways_ = kLeastGateways;
  std::map<std::string, Counts, std::less<>> services_;
};

} // namespace gypsum
