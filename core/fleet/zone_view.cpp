#include "core/fleet/zone_view.h"

#include "core/hash.h"

#include <algorithm>
#include <iterator>

namespace gypsum {

namespace {

constexpr std::size_t kFanOut = 4;
/** Fixed, so that the reader ranks do not change with the revision. */
constexpr std::uint64_t kReaderSeed = 0x7265616465727300;

template<typename Nodes>
void SortByWeight(Nodes& aNodes, std::uint64_t aSeed)
{
  std::ranges::sort(aNodes, std::ranges::greater{}, [&](const auto& aNode) {
    return RendezvousWeight(aSeed, aNode.name);
  });
}

} // namespace

ZoneView::ZoneView(const Manifest& aManifest, std::string_view aZone)
{
  for (const auto& [name, replica] : aManifest.replicas) {
    if (replica.zone == aZone) {
      tree_.push_back({ name, replica.address });
    }
  }
  SortByWeight(tree_, kReaderSeed);
  for (const Node& node : tree_) {
    namesByReaderRank_.push_back(node.name);
    addresses_.push_back(node.address);
  }
  // Each revision has another tree, so that the work of forwarding updates is
  // not always on the same agents.
  SortByWeight(tree_, aManifest.revision);
}

std::optional<std::size_t> ZoneView::ReaderRankOf(std::string_view aName) const
{
  const auto found = std::ranges::find(namesByReaderRank_, aName);
  if (found == namesByReaderRank_.end()) {
    return std::nullopt;
  }
  return std::distance(namesByReaderRank_.begin(), found);
}

std::vector<std::string> ZoneView::ChildrenOf(std::string_view aName) const
{
  const auto found = std::ranges::find(tree_, aName, &Node::name);
  if (found == tree_.end()) {
    return {};
  }
  const std::size_t index = std::distance(tree_.begin(), found);
  return AddressesIn(index * kFanOut + 1, kFanOut);
}

std::vector<std::string> ZoneView::TopAddresses() const
{
  return AddressesIn(0, kFanOut);
}

std::vector<std::string> ZoneView::AddressesIn(std::size_t aFirst,
                                               std::size_t aCount) const
{
  std::vector<std::string> addresses;
  const std::size_t last = std::min(tree_.size(), aFirst + aCount);
  for (std::size_t index = aFirst; index < last; ++index) {
    addresses.push_back(tree_[index].address);
  }
  return addresses;
}

} // namespace gypsum
