#include "core/routing/preferred_replica.h"

#include "core/hash.h"

namespace gypsum {

std::size_t PreferredReplica(std::span<const Member* const> aCandidates,
                             std::uint64_t aPrefixHash)
{
  std::size_t preferred = kNoPreferredReplica;
  std::uint64_t heaviest = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const std::uint64_t weight =
      RendezvousWeight(aPrefixHash, aCandidates[index]->name);
    if (preferred == kNoPreferredReplica || weight > heaviest) {
      preferred = index;
      heaviest = weight;
    }
  }
  return preferred;
}

} // namespace gypsum
