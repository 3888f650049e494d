#pragma once

#include "core/gateway/served_configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * The routes of one version by host.
 *
 * Immutable and replaced whole; a request keeps the one that it began with.
 */
class RouteTable
{
public:
  explicit RouteTable(ServedConfigurationPtr aConfiguration);

  /**
   * The route of that host with the longest prefix of the path, or nothing.
   *
   * `aTarget` may carry a query; `aHost` may carry a port.
   */
  const RouteSpec* Find(std::string_view aHost, std::string_view aTarget) const;

  /** The customer that holds a key, or nothing. */
  const CustomerSpec* FindCustomer(std::string_view aKey) const;

  const BackendServiceSpec* FindService(std::string_view aName) const;

  const ServedConfiguration& Configuration() const { return *configuration_; }

private:
  using ByPrefix = std::map<std::string_view, const RouteSpec*>;

  ServedConfigurationPtr configuration_;
  std::map<std::string_view, ByPrefix> byHost_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/**
 * How urgent a request is: zero is first.
 *
 * A customer's priority shifts all of its requests; among them the routes'
 * priorities still tell the urgent from the rest.
 */
std::uint32_t UrgencyRank(const RouteSpec& aRoute,
                          const CustomerSpec* aCustomer);

/** The target that a request with this hash goes to, by weight. */
const RouteTarget* ChooseTarget(const RouteSpec& aRoute, std::uint64_t aHash);

} // namespace gypsum
