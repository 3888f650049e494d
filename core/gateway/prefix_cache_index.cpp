#include "core/gateway/prefix_cache_index.h"

#include <algorithm>
#include <iterator>
#include <numeric>

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
  Add(aRead);
  recent_.push_back({ aRead, aNow });
}

void PrefixCacheIndex::OnPeerRead(const PrefixRead& aRead)
{
  Add(aRead);
}

void PrefixCacheIndex::Add(const PrefixRead& aRead)
{
  auto found = replicas_.find(aRead.backend);
  if (found == replicas_.end()) {
    found = replicas_.emplace(aRead.backend, Replica{}).first;
  }
  Replica& replica = found->second;
  replica.kvCapacityTokens = kvCapacityTokens_;
  // From the last part on, so that it is evicted first: without a part, those
  // after it are of no use.
  for (std::size_t index = aRead.prefixes.size(); index > 0; --index) {
    const PromptPrefix& prefix = aRead.prefixes[index - 1];
    const std::uint64_t precedingTokens =
      index > 1 ? aRead.prefixes[index - 2].tokens : 0;
    const std::uint64_t partTokens =
      prefix.tokens - std::min(prefix.tokens, precedingTokens);
    Use(replica, { prefix.hash, std::max(partTokens, kMinPartTokens) });
  }
  EvictLeastRecentlyUsed(replica);
}

void PrefixCacheIndex::Use(Replica& aReplica, CachedPart aPart)
{
  const auto found = aReplica.prefixes.find(aPart.hash);
  if (found == aReplica.prefixes.end()) {
    aReplica.tokens += aPart.tokens;
    aReplica.byUse.push_back(aPart);
    aReplica.prefixes.emplace(aPart.hash, std::prev(aReplica.byUse.end()));
    return;
  }
  CachedPart& known = *found->second;
  aReplica.tokens += aPart.tokens - std::min(aPart.tokens, known.tokens);
  known.tokens = std::max(known.tokens, aPart.tokens);
  aReplica.byUse.splice(aReplica.byUse.end(), aReplica.byUse, found->second);
}

void PrefixCacheIndex::EvictLeastRecentlyUsed(Replica& aReplica)
{
  const std::uint64_t kvCapacityTokens = aReplica.kvCapacityTokens > 0
                                           ? aReplica.kvCapacityTokens
                                           : kDefaultKvCapacityTokens;
  const auto bound = static_cast<std::uint64_t>(
    kSharedFraction * static_cast<double>(kvCapacityTokens));
  while (aReplica.tokens > bound && aReplica.byUse.size() > 1) {
    const CachedPart oldest = aReplica.byUse.front();
    aReplica.tokens -= std::min(aReplica.tokens, oldest.tokens);
    aReplica.prefixes.erase(oldest.hash);
    aReplica.byUse.pop_front();
  }
}

std::size_t PrefixCacheIndex::KnownParts() const
{
  return std::accumulate(replicas_.begin(),
                         replicas_.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aItem) {
                           return aSum + aItem.second.byUse.size();
                         });
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
