#pragma once

#include "core/configuration/fault.h"
#include "core/gateway/gateway_retry_budget.h"
#include "core/log_line.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gypsum {

/** Contents of a gateway's settings file. */
struct GatewaySettings
{
  std::string name;
  std::string zone;
  std::string clientAddress;  ///< Serves clients.
  std::string readyAddress;   ///< Serves the load balancer's readiness check.
  std::string controlAddress; ///< Listed by others as a seed; empty: disabled.
  std::string metricsAddress; ///< Empty: disabled.
  std::string peerAddress;    ///< For messages between gateways.
  std::uint16_t peerPort = 0; ///< The same on all VMs.
  std::vector<std::string> seedAddresses; ///< May be outdated or down.
  std::string storeAddress;
  GatewayRetryBudgetOptions retryBudget;
  Duration gracePeriod{};
  double processorShare = 1.0; ///< Available processor time, in cores.
  Severity logLevel = Severity::Info;
  std::uint32_t logLinesPerSecond = 0;

  bool operator==(const GatewaySettings&) const = default;
};

/** Parses and validates a whole settings file; reports every fault. */
std::variant<GatewaySettings, Faults> ParseGatewaySettings(
  std::string_view aText);

} // namespace gypsum
