#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace gypsum {

/**
 * A point in the history of the store.
 *
 * When the store comes back from a copy, a new era begins: revisions go back
 * and are given out again. A revision of a later era is always the newer one.
 */
struct StoreRevision
{
  std::uint64_t era = 0; ///< Zero if the store names none.
  std::uint64_t revision = 0;

  friend auto operator<=>(const StoreRevision&, const StoreRevision&) = default;
};

/** For the log and the dump: `era.revision`, without an era of zero. */
inline std::string TextOf(const StoreRevision& aRevision)
{
  const std::string text = std::to_string(aRevision.revision);
  return aRevision.era == 0 ? text : std::to_string(aRevision.era) + "." + text;
}

} // namespace gypsum
