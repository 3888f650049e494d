#include "core/gateway/zone_evacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsum {

std::vector<ZoneChange> ZoneEvacuations::Apply(
  std::span<const ZoneChange> aChanges)
{
  std::vector<ZoneChange> effective;
  for (const ZoneChange& change : aChanges) {
    if (change.revision <= version_) {
      continue;
    }
    version_ = change.revision;
    const bool isChanged = change.isEvacuated
                             ? zones_.insert(change.zone).second
                             : zones_.erase(change.zone) > 0;
    if (isChanged) {
      effective.push_back(change);
    }
  }
  return effective;
}

std::vector<ZoneChange> ZoneEvacuations::Replace(const EvacuationList& aList)
{
  if (aList.version <= version_) {
    return {};
  }
  std::set<std::string, std::less<>> listed(aList.zones.begin(),
                                            aList.zones.end());
  std::vector<ZoneChange> changes;
  const auto collect = [&](const auto& aFrom, const auto& aOther, bool aIs) {
    std::vector<std::string> zones;
    std::ranges::set_difference(aFrom, aOther, std::back_inserter(zones));
    for (std::string& zone : zones) {
      changes.push_back({ std::move(zone), aList.version, aIs });
    }
  };
  collect(listed, zones_, true);
  collect(zones_, listed, false);
  zones_ = std::move(listed);
  version_ = aList.version;
  return changes;
}

} // namespace gypsum
