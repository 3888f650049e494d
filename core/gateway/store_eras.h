#pragma once

#include <cstdint>
#include <optional>

namespace gypsum {

/**
 * Decides to which era of the store a response belongs, and whether the store
 * has begun a new one.
 *
 * The era only rises. A new one is adopted when two lists in a row name it, so
 * that a single odd response does not make all later ones look old.
 */
class StoreEras
{
public:
  enum class Verdict
  {
    Current,
    Older,   ///< Of an earlier era: to be ignored.
    Changed, ///< Of another era than the current one: list again.
  };

  /** Judges a watch that goes on in an era; a missing era is the current one.
   */
  static Verdict OfWatch(std::uint64_t aEra,
                         std::optional<std::uint64_t> aNamed);
  /** Judges a list; the first one decides the era of a gateway that knows none.
   */
  Verdict OnList(std::optional<std::uint64_t> aNamed);
  /** A peer has entries of that era. */
  void OnPeer(std::uint64_t aEra);

  std::uint64_t Current() const { return current_; }

private:
  std::uint64_t current_ = 0;
  std::optional<std::uint64_t> candidate_;
};

} // namespace gypsum
