#pragma once

#include "core/configuration/manifest.h"
#include "core/hash.h"
#include "core/identity.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Returns the slot with the highest rendezvous weight for a key.
 *
 * Entries and agents both use this function, since they must agree on the
 * owner. `aName` projects a slot to its name; the range must not be empty.
 */
template<typename Slots, typename Name>
const auto& OwnerAmong(const Slots& aSlots, const RequestId& aId, Name aName)
{
  const std::uint64_t keyHash = Checksum(ToText(aId));
  return *std::ranges::max_element(aSlots, {}, [&](const auto& aSlot) {
    return RendezvousWeight(keyHash, std::invoke(aName, aSlot));
  });
}

/**
 * Name of the only replica that may run non-repeatable stages of a key.
 *
 * The owner is a rendezvous hash of the key over the slots of the manifest:
 * every process with the same revision computes the same owner, which changes
 * only with a new revision. Empty if the service has no replica.
 */
std::string_view OwnerOf(const ServiceSpec& aService, const RequestId& aId);

} // namespace gypsum
