#pragma once

#include "core/gateway/served_configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * The routes of one configuration version, by host.
 *
 * Immutable; a new version replaces the whole table. A request keeps the table
 * with which it started.
 */
class RouteTable
{
public:
  explicit RouteTable(ServedConfigurationPtr aConfiguration);

  /**
   * The route of the host with the longest matching path prefix, or null.
   *
   * `aTarget` may contain a query and `aHost` a port.
   */
  const RouteSpec* Find(std::string_view aHost, std::string_view aTarget) const;

  /** The customer that owns an API key, or null. */
  const CustomerSpec* FindCustomer(std::string_view aKey) const;

  /** The service of that name, or null. */
  const BackendServiceSpec* FindService(std::string_view aName) const;

  const ServedConfiguration& Configuration() const { return *configuration_; }

private:
  using ByPrefix = std::map<std::string_view, const RouteSpec*>;

  ServedConfigurationPtr configuration_;
  std::map<std::string_view, ByPrefix> byHost_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/**
 * Urgency of a request; lower values are more urgent, zero is the highest.
 *
 * The rank is the sum of the route's and the customer's priority: the
 * customer's shifts all of its requests, the route's orders them among each
 * other.
 */
std::uint32_t UrgencyRank(const RouteSpec& aRoute,
                          const CustomerSpec* aCustomer);

/** The target of a request with this hash, by weight; null if none has any. */
const RouteTarget* ChooseTarget(const RouteSpec& aRoute, std::uint64_t aHash);

} // namespace gypsum
