#include "core/gateway/prefix_cache_index.h"

#include <algorithm>

namespace gypsum {

namespace {

/** Fraction of a replica's KV cache that holds shared parts; running requests
 * and the parts of single requests take the rest. */
constexpr double kSharedFraction = 0.5;
/** Used while the capacity of a replica is unknown. */
constexpr std::uint64_t kDefaultKvCapacityTokens = 500'000;

} // namespace

void PrefixCacheIndex::OnSent(const PrefixRead& aRead,
                              std::uint64_t aKvCapacityTokens,
                              Instant aNow)
{
  kvCapacityTokens_ = aKvCapacityTokens;
  if (aRead.prefixes.empty()) {
    return;
  }
  Add(aRead, aNow);
  recent_.push_back({ aRead, aNow });
}

void PrefixCacheIndex::OnPeerRead(const PrefixRead& aRead, Instant aNow)
{
  Add(aRead, aNow);
}

void PrefixCacheIndex::Add(const PrefixRead& aRead, Instant aNow)
{
  auto found = replicas_.find(aRead.backend);
  if (found == replicas_.end()) {
    found = replicas_.emplace(aRead.backend, Replica{}).first;
  }
  Replica& replica = found->second;
  replica.kvCapacityTokens = kvCapacityTokens_;
  std::uint64_t precedingTokens = 0;
  for (const PromptPrefix& prefix : aRead.prefixes) {
    CachedPart& part = replica.prefixes[prefix.hash];
    const std::uint64_t partTokens =
      prefix.tokens - std::min(prefix.tokens, precedingTokens);
    replica.tokens += partTokens - std::min(partTokens, part.tokens);
    part.tokens = std::max(part.tokens, partTokens);
    part.lastUsedAt = aNow;
    precedingTokens = prefix.tokens;
  }
  EvictLeastRecentlyUsed(replica);
}

void PrefixCacheIndex::EvictLeastRecentlyUsed(Replica& aReplica)
{
  const std::uint64_t kvCapacityTokens = aReplica.kvCapacityTokens > 0
                                           ? aReplica.kvCapacityTokens
                                           : kDefaultKvCapacityTokens;
  const auto bound = static_cast<std::uint64_t>(
    kSharedFraction * static_cast<double>(kvCapacityTokens));
  while (aReplica.tokens > bound && aReplica.prefixes.size() > 1) {
    const auto oldest =
      std::ranges::min_element(aReplica.prefixes, {}, [](const auto& aItem) {
        return aItem.second.lastUsedAt;
      });
    aReplica.tokens -= std::min(aReplica.tokens, oldest->second.tokens);
    aReplica.prefixes.erase(oldest);
  }
}

std::uint64_t PrefixCacheIndex::CachedTokens(
  std::string_view aBackend,
  std::span<const PromptPrefix> aPrefixes) const
{
  const auto found = replicas_.find(aBackend);
  if (found == replicas_.end()) {
    return 0;
  }
  std::uint64_t cached = 0;
  for (const PromptPrefix& prefix : aPrefixes) {
    // A cached part is usable only if all parts before it are cached too.
    if (!found->second.prefixes.contains(prefix.hash)) {
      break;
    }
    cached = prefix.tokens;
  }
  return cached;
}

void PrefixCacheIndex::RemoveReplica(std::string_view aBackend)
{
  const auto found = replicas_.find(aBackend);
  if (found != replicas_.end()) {
    replicas_.erase(found);
  }
}

std::vector<PrefixRead> PrefixCacheIndex::RecentReads(Instant aNow)
{
  while (!recent_.empty() && aNow - recent_.front().at > kAnnouncePeriod) {
    recent_.pop_front();
  }
  std::vector<PrefixRead> reads;
  reads.reserve(recent_.size());
  std::ranges::transform(recent_, std::back_inserter(reads), &RecentRead::read);
  return reads;
}

} // namespace gypsum
