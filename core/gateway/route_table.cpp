#include "core/gateway/route_table.h"

#include <numeric>
#include <utility>

namespace gypsum {

namespace {

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string_view WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

} // namespace

RouteTable::RouteTable(ServedConfigurationPtr aConfiguration)
  : configuration_(std::move(aConfiguration))
{
  for (const RouteSpec& route : configuration_->routes) {
    byHost_[route.host][route.prefix] = &route;
  }
}

const RouteSpec* RouteTable::Find(std::string_view aHost,
                                  std::string_view aTarget) const
{
  auto host = byHost_.find(aHost);
  if (host == byHost_.end()) {
    host = byHost_.find(WithoutPort(aHost));
  }
  if (host == byHost_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so a match can only end at a slash of the path.
  const std::string_view path = PathOf(aTarget);
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto route = host->second.find(path.substr(0, end + 1));
    if (route != host->second.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const CustomerSpec* RouteTable::FindCustomer(std::string_view aKey) const
{
  const auto found = configuration_->customersByKey.find(aKey);
  return found == configuration_->customersByKey.end() ? nullptr
                                                       : &found->second;
}

const BackendServiceSpec* RouteTable::FindService(std::string_view aName) const
{
  const auto found = configuration_->services.find(aName);
  return found == configuration_->services.end() ? nullptr : &found->second;
}

std::uint32_t UrgencyRank(const RouteSpec& aRoute,
                          const CustomerSpec* aCustomer)
{
  // If nearly all customers have the same priority, it cannot rank requests
  // by itself.
  return aRoute.priority + (aCustomer ? aCustomer->priority.value_or(0) : 0);
}

const RouteTarget* ChooseTarget(const RouteSpec& aRoute, std::uint64_t aHash)
{
  const double sum =
    std::accumulate(aRoute.targets.begin(),
                    aRoute.targets.end(),
                    0.0,
                    [](double aSum, const RouteTarget& aTarget) {
                      return aSum + aTarget.weight;
                    });
  if (aRoute.targets.empty() || sum <= 0.0) {
    return nullptr;
  }
  constexpr std::uint64_t kSteps = 1 << 20;
  double remaining = sum * static_cast<double>(aHash % kSteps) / kSteps;
  for (const RouteTarget& target : aRoute.targets) {
    remaining -= target.weight;
    if (remaining < 0.0) {
      return &target;
    }
  }
  return &aRoute.targets.back();
}

} // namespace gypsum
