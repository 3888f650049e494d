#pragma once

#include "core/time.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/** Limits on the retries of one service by the whole fleet of gateways. */
struct GatewayRetryBudgetOptions
{
  double ratio = 0.2;        ///< Retries per request for the service.
  double fixedRetries = 0.0; ///< Retries per window, added to the ratio's.
  Duration window = std::chrono::seconds(10);

  bool operator==(const GatewayRetryBudgetOptions&) const = default;
};

/**
 * One gateway's share of the fleet's retry budget, by service.
 *
 * The ratio is applied to this gateway's own requests, so that the fleet as a
 * whole keeps to it without coordination. The fixed part is divided by the
 * number of known gateways, but at least by `kMinGateways`, so that a gateway
 * that is cut off from its peers does not take all of it.
 */
class GatewayRetryBudget
{
public:
  /** Twice the size of a small fleet. */
  static constexpr double kMinGateways = 8.0;
  /** Share of the fixed part in use; the rest is a margin for gateways that
   * disagree on the number of gateways. */
  static constexpr double kFixedPartShare = 0.7;

  explicit GatewayRetryBudget(GatewayRetryBudgetOptions aOptions);

  void SetOptions(GatewayRetryBudgetOptions aOptions) { options_ = aOptions; }
  void SetGatewayCount(std::size_t aCount);
  void OnRequest(std::string_view aService, Instant aNow);
  /** Takes one retry off the budget; false if none is left. */
  bool Take(std::string_view aService, Instant aNow);
  /** Retries still allowed in the window that ends now. */
  double Remaining(std::string_view aService, Instant aNow);

private:
  struct Counts
  {
    std::deque<Instant> requests;
    std::deque<Instant> retries;
  };

  /** Counts within the window that ends now. */
  Counts& CurrentCounts(std::string_view aService, Instant aNow);

  GatewayRetryBudgetOptions options_;
  double gatewayCount_ = kMinGateways;
  std::map<std::string, Counts, std::less<>> services_;
};

} // namespace gypsum
