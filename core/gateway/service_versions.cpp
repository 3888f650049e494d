#include "core/gateway/service_versions.h"

#include <algorithm>

namespace gypsum {

void ServiceVersions::Observe(const RegistrySnapshot& aRegistry, Instant aNow)
{
  for (const RegistryChange& entry : aRegistry.entries) {
    if (entry.record) {
      lastListedAt_[{ entry.record->service, entry.record->version }] = aNow;
      observedSince_ = std::min(observedSince_, aNow);
    }
  }
  std::erase_if(lastListedAt_, [&](const auto& aItem) {
    return aItem.second + kWindow < aNow;
  });
}

std::vector<std::string> ServiceVersions::Recent(std::string_view aService,
                                                 Instant aNow) const
{
  std::vector<std::string> versions;
  for (const auto& [version, listedAt] : lastListedAt_) {
    if (version.service == aService && listedAt + kWindow >= aNow) {
      versions.push_back(version.version);
    }
  }
  return versions;
}

bool ServiceVersions::CoversWindow(Instant aNow) const
{
  return observedSince_ != Instant::max() && observedSince_ + kWindow <= aNow;
}

} // namespace gypsum
