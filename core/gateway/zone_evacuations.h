#pragma once

#include "core/gateway/store_revision.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Change of one zone's entry in the store. */
struct ZoneChange
{
  std::string zone;
  StoreRevision revision;
  bool isEvacuated = false;

  bool operator==(const ZoneChange&) const = default;
};

/** All evacuated zones at one revision of the store. */
struct EvacuationList
{
  StoreRevision version;
  std::vector<std::string> zones; ///< Sorted.

  bool operator==(const EvacuationList&) const = default;
};

/**
 * Availability zones whose backend servers are to get nothing, by the word of
 * the operators in the store.
 *
 * The newest revision counts, whether it comes from the store or from a peer.
 */
class ZoneEvacuations
{
public:
  /** Takes in changes in the order of their revisions, all since the last one;
   * returns those that change the state of a zone. */
  std::vector<ZoneChange> Apply(std::span<const ZoneChange> aChanges);
  /** Replaces the whole list unless it is older; returns the changes. */
  std::vector<ZoneChange> Replace(const EvacuationList& aList);

  StoreRevision Version() const { return version_; }
  const std::set<std::string, std::less<>>& Zones() const { return zones_; }
  EvacuationList List() const
  {
    return { version_, { zones_.begin(), zones_.end() } };
  }

private:
  StoreRevision version_;
  std::set<std::string, std::less<>> zones_;
};

} // namespace gypsum
