#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gypsum {

/** A prompt from its beginning to the end of one part. */
struct PromptPrefix
{
  std::uint64_t hash = 0;   ///< Hash of all parts up to this one.
  std::uint64_t tokens = 0; ///< Tokens of all parts up to this one.
};

/** A prompt was sent to a model replica, which caches its prefixes. */
struct PrefixRead
{
  std::string backend;
  std::vector<PromptPrefix> prefixes; ///< Shortest first.
};

/**
 * Estimates which prompt prefixes the model replicas hold in their KV caches.
 *
 * It is built from the sends of this gateway and those its peers report. Like
 * a replica, it evicts the least recently used prefixes when the cache is full.
 */
class PrefixCacheIndex
{
public:
  /** How long a read is reported to peers; covers a few status messages. */
  static constexpr Duration kAnnouncePeriod = std::chrono::milliseconds(1'500);
  /** A part of fewer tokens counts as this many, which bounds their number. */
  static constexpr std::uint64_t kMinPartTokens = 64;

  /** `aKvCapacityTokens` is the KV cache capacity of one replica. */
  void OnSent(const PrefixRead& aRead,
              std::uint64_t aKvCapacityTokens,
              Instant aNow);
  void OnPeerRead(const PrefixRead& aRead);
  /** Tokens of the prompt that the replica holds and need not process again. */
  std::uint64_t CachedTokens(std::string_view aBackend,
                             std::span<const PromptPrefix> aPrefixes) const;
  /** The replica restarted or is gone, so that its cache is lost. */
  void RemoveReplica(std::string_view aBackend);
  /** Reads of this gateway within `kAnnouncePeriod`, to report to its peers. */
  std::vector<PrefixRead> RecentReads(Instant aNow);
  /** Parts that are kept, of all replicas. */
  std::size_t KnownParts() const;

private:
  struct CachedPart
  {
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0; ///< Of this part alone, at least the minimum.
  };
  using Parts = std::list<CachedPart>;
  struct Replica
  {
    Parts byUse; ///< Least recently used first.
    std::unordered_map<std::uint64_t, Parts::iterator> prefixes;
    std::uint64_t tokens = 0;
    std::uint64_t kvCapacityTokens = 0; ///< Zero: unknown.
  };
  struct RecentRead
  {
    PrefixRead read;
    Instant at{};
  };

  void Add(const PrefixRead& aRead);
  /** Makes a part the most recently used one. */
  static void Use(Replica& aReplica, CachedPart aPart);
  static void EvictLeastRecentlyUsed(Replica& aReplica);

  std::map<std::string, Replica, std::less<>> replicas_;
  std::deque<RecentRead> recent_;
  std::uint64_t kvCapacityTokens_ = 0;
};

} // namespace gypsum
