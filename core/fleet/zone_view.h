#pragma once

#include "core/configuration/manifest.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Number of agents of a zone that read the platform for the others. */
constexpr std::size_t kReadersPerZone = 3;

/**
 * The agents of a zone, ordered by reader rank and arranged in the tree that
 * distributes updates.
 *
 * A pure function of the manifest: processes with the same revision have the
 * same view without exchanging messages.
 */
class ZoneView
{
public:
  ZoneView() = default;
  ZoneView(const Manifest& aManifest, std::string_view aZone);

  std::size_t Size() const { return namesByReaderRank_.size(); }
  /**
   * Rank of a process in the order in which agents become readers; none for an
   * entry.
   */
  std::optional<std::size_t> ReaderRankOf(std::string_view aName) const;
  /** Addresses of the agents, by reader rank. */
  const std::vector<std::string>& Addresses() const { return addresses_; }
  /** Addresses that a process notifies of the revision; none for an entry. */
  std::vector<std::string> ChildrenOf(std::string_view aName) const;
  /** Addresses that the readers notify of the revision. */
  std::vector<std::string> TopAddresses() const;

private:
  struct Node
  {
    std::string name;
    std::string address;
  };

  std::vector<std::string> AddressesIn(std::size_t aFirst,
                                       std::size_t aCount) const;

  std::vector<Node> tree_; ///< Node i notifies nodes i*kFanOut+1 and following.
  std::vector<std::string> namesByReaderRank_;
  std::vector<std::string> addresses_;
};

} // namespace gypsum
