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

/** What a gateway learns from its own settings file. */
struct GatewaySettings
{
  std::string name;
  std::string zone;
  std::string clientAddress;  ///< For clients.
  std::string readyAddress;   ///< For the balancer's question.
  std::string controlAddress; ///< What seeds name; empty: not served.
  std::string metricsAddress; ///< Empty: not served.
  std::string peerAddress;    ///< Of the exchange between gateways.
  std::uint16_t peerPort = 0; ///< The same on all machines.
  std::vector<std::string> seedAddresses; ///< May be stale or down.
  std::string storeAddress;
  GatewayRetryBudgetOptions retryBudget;
  Duration gracePeriod{};
  double processorShare = 1.0; ///< Of one core.
  Severity logLevel = Severity::Info;
  std::uint32_t logLinesPerSecond = 0;

  bool operator==(const GatewaySettings&) const = default;
};

/** Parses and validates a whole settings file; reports every fault. */
std::variant<GatewaySettings, Faults> ParseGatewaySettings(
  std::string_view aText);

} // namespace gypsum
