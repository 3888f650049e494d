#include "tests/support/deployment.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <string>

namespace gypsum::tests {

std::uint64_t Deployment::ExecutionsAt(const ReplicaHost& aHost,
                                       const std::string& aKey) const
{
  std::istringstream lines(Get(aHost.backendAddress, "/control/executions"));
  std::uint64_t sum = 0;
  std::string key;
  std::uint64_t count = 0;
  while (lines >> key >> count) {
    sum += key.find(aKey) == std::string::npos ? 0 : count;
  }
  return sum;
}

std::uint64_t Deployment::Executions(const std::string& aService,
                                     const std::string& aKey) const
{
  std::uint64_t sum = 0;
  for (const auto& replica : replicas_) {
    sum += replica->service == aService ? ExecutionsAt(*replica, aKey) : 0;
  }
  return sum;
}

std::uint64_t Deployment::MaxExecutions(const std::string& aService) const
{
  std::map<std::string, std::uint64_t> sums;
  for (const auto& replica : replicas_) {
    if (replica->service != aService) {
      continue;
    }
    std::istringstream lines(
      Get(replica->backendAddress, "/control/executions"));
    std::string key;
    std::uint64_t count = 0;
    while (lines >> key >> count) {
      sums[key] += count;
    }
  }
  std::uint64_t maxCount = 0;
  for (const auto& [key, sum] : sums) {
    maxCount = std::max(maxCount, sum);
  }
  return maxCount;
}

std::set<std::string> Deployment::ExecutedKeys(
  const std::string& aService) const
{
  std::set<std::string> keys;
  for (const auto& replica : replicas_) {
    if (replica->service != aService) {
      continue;
    }
    std::istringstream lines(
      Get(replica->backendAddress, "/control/executions"));
    // Each line is `CUSTOMER/KEY/OPERATION COUNT`.
    std::string path;
    std::uint64_t count = 0;
    while (lines >> path >> count) {
      const std::size_t first = path.find('/') + 1;
      keys.insert(path.substr(first, path.rfind('/') - first));
    }
  }
  return keys;
}

} // namespace gypsum::tests
