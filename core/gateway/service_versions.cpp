#include "core/gateway/service_versions.h"

#include <algorithm>

namespace gypsum {

void ServiceVersions::Observe(const std::set<ServiceVersion>& aListed,
                              Instant aNow)
{
  for (const ServiceVersion& version : aListed) {
    lastListedAt_[version] = aNow;
    observedSince_ = std::min(observedSince_, aNow);
  }
  std::erase_if(lastListedAt_, [&](const auto& aItem) {
    return aItem.second + kMemory < aNow;
  });
}

std::vector<std::string> ServiceVersions::ListedSince(std::string_view aService,
                                                      Instant aThen) const
{
  std::vector<std::string> versions;
  for (const auto& [version, listedAt] : lastListedAt_) {
    if (version.service == aService && listedAt >= aThen) {
      versions.push_back(version.version);
    }
  }
  return versions;
}

bool ServiceVersions::Covers(Instant aThen, Instant aNow) const
{
  return observedSince_ <= aThen && aNow - aThen <= kMemory;
}

} // namespace gypsum
