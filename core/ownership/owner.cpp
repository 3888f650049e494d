#include "core/ownership/owner.h"

#include <functional>

namespace gypsum {

std::string_view OwnerOf(const ServiceSpec& aService, const RequestId& aId)
{
  if (aService.replicas.empty()) {
    return {};
  }
  return OwnerAmong(aService.replicas, aId, std::identity{});
}

} // namespace gypsum
