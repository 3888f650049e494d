#include "core/membership/service_subset.h"

#include "core/hash.h"

#include <algorithm>
#include <functional>

namespace gypsum {

std::vector<std::string> SelectSubset(const ServiceSpec& aService,
                                      std::string_view aProcess)
{
  std::vector<std::string> names = aService.replicas;
  if (names.size() <= kMaxTrackedPerService) {
    return names;
  }
  const std::uint64_t seed = Checksum(aProcess);
  const auto end = names.begin() + kMaxTrackedPerService;
  std::ranges::partial_sort(
    names, end, std::greater<>{}, [&](const std::string& aName) {
      return RendezvousWeight(seed, aName);
    });
  names.erase(end, names.end());
  return names;
}

} // namespace gypsum
