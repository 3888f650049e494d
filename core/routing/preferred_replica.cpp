#include "core/routing/preferred_replica.h"

#include "core/hash.h"

namespace gypsum {

std::size_t PreferredReplica(std::span<const Member* const> aCandidates,
                             std::uint64_t aPrefixHash)
{
  std::size_t preferred = kNoReplica;
  std::uint64_t maxWeight = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const std::uint64_t weight =
      RendezvousWeight(aPrefixHash, aCandidates[index]->name);
    if (preferred == kNoReplica || weight > maxWeight) {
      preferred = index;
      maxWeight = weight;
    }
  }
  return preferred;
}

} // namespace gypsum
