#include "core/gateway/store_knowledge.h"

#include "core/hash.h"

#include <algorithm>

namespace gypsum {

StoreKnowledge::StoreKnowledge(std::string_view aOwnAddress)
  : ownWeight_(WeightOf(aOwnAddress))
{
}

std::uint64_t StoreKnowledge::WeightOf(std::string_view aAddress)
{
  static const std::uint64_t kKey = Checksum("store-readers");
  return RendezvousWeight(kKey, aAddress);
}

void StoreKnowledge::OnClaim(const std::string& aPeer,
                             const KnowledgeClaim& aClaim)
{
  const auto [found, isNew] = peers_.try_emplace(aPeer);
  if (isNew) {
    found->second.weight = WeightOf(aPeer);
  }
  found->second.claim = aClaim;
}

void StoreKnowledge::RemovePeer(std::string_view aPeer)
{
  const auto found = peers_.find(aPeer);
  if (found != peers_.end()) {
    peers_.erase(found);
  }
}

bool StoreKnowledge::IsReader(std::span<const std::string> aLive) const
{
  const auto before =
    std::ranges::count_if(aLive, [&](const std::string& aAddress) {
      const auto found = peers_.find(aAddress);
      // A peer that gets no response from the store does not count as a reader.
      return found != peers_.end() && found->second.weight > ownWeight_ &&
             found->second.claim.readAge < kReaderTimeout;
    });
  return static_cast<std::size_t>(before) < kMaxReaders;
}

std::optional<std::string> StoreKnowledge::ChooseSource(
  std::span<const std::string> aLive) const
{
  std::uint64_t newest = version_;
  std::optional<std::string> source;
  for (const std::string& address : aLive) {
    const auto found = peers_.find(address);
    if (found != peers_.end() && found->second.claim.version > newest) {
      newest = found->second.claim.version;
      source = address;
    }
  }
  return source;
}

} // namespace gypsum
