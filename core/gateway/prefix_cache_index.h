#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** The beginning of a prompt up to the end of one part. */
struct PromptPrefix
{
  std::uint64_t hash = 0;   ///< Of all parts up to this one.
  std::uint64_t tokens = 0; ///< Of all parts up to this one.
};

/** A model replica was asked to read the shared beginning of a prompt. */
struct PrefixRead
{
  std::string backend;
  std::vector<PromptPrefix> prefixes; ///< From the shortest on.
};

/**
 * What the model replicas have read, as far as the gateways told each other.
 *
 * A replica that is full drops what was used least recently; so does this.
 */
class PrefixCacheIndex
{
public:
  /** A read is told to peers for so long, a few rounds of news. */
  static constexpr Duration kTold = std::chrono::milliseconds(1'500);

  void OnSent(const PrefixRead& aRead,
              std::uint64_t aMemoryTokens,
              Instant aNow);
  void OnPeerRead(const PrefixRead& aRead, Instant aNow);
  /** Tokens of the prompt that the replica need not read again. */
  std::uint64_t CachedTokens(std::string_view aBackend,
                             std::span<const PromptPrefix> aPrefixes) const;
  /** The replica restarted or is gone, with all that it had read. */
  void RemoveReplica(std::string_view aBackend);
  /** Own reads of the last moments, for the peers. */
  std::vector<PrefixRead> RecentReads(Instant aNow);

private:
  struct Known
  {
    std::uint64_t tokens = 0; ///< Of this part alone.
    Instant usedAt{};
  };
  struct Replica
  {
    std::map<std::uint64_t, Known> prefixes;
    std::uint64_t tokens = 0;
    std::uint64_t memory = 0; ///< Zero: not known yet.
  };
  struct Told
  {
    PrefixRead read;
    Instant at{};
  };

  void Add(const PrefixRead& aRead, Instant aNow);
  static void DropOldest(Replica& aReplica);

  std::map<std::string, Replica, std::less<>> replicas_;
  std::deque<Told> recent_;
  std::uint64_t memory_ = 0;
};

} // namespace gypsum
