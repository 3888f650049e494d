#include "core/gateway/prefix_cache_index.h"

#include <algorithm>

namespace gypsum {

namespace {

/** Part of a replica's memory that holds shared parts; running requests and
 * the parts of single requests take the rest. */
constexpr double kSharedPart = 0.5;
/** Bound for a replica whose memory is not known. */
constexpr std::uint64_t kUsualMemory = 500'000;

} // namespace

void PrefixCacheIndex::OnSent(const PrefixRead& aRead,
                              std::uint64_t aMemoryTokens,
                              Instant aNow)
{
  memory_ = aMemoryTokens;
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
  replica.memory = memory_;
  std::uint64_t before = 0;
  for (const PromptPrefix& prefix : aRead.prefixes) {
    Known& known = replica.prefixes[prefix.hash];
    const std::uint64_t own = prefix.tokens - std::min(prefix.tokens, before);
    replica.tokens += own - std::min(own, known.tokens);
    known.tokens = std::max(known.tokens, own);
    known.usedAt = aNow;
    before = prefix.tokens;
  }
  DropOldest(replica);
}

void PrefixCacheIndex::DropOldest(Replica& aReplica)
{
  const std::uint64_t memory =
    aReplica.memory > 0 ? aReplica.memory : kUsualMemory;
  const auto bound =
    static_cast<std::uint64_t>(kSharedPart * static_cast<double>(memory));
  while (aReplica.tokens > bound && aReplica.prefixes.size() > 1) {
    const auto oldest =
      std::ranges::min_element(aReplica.prefixes, {}, [](const auto& aItem) {
        return aItem.second.usedAt;
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
    // A part counts only while all parts before it are there.
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
  while (!recent_.empty() && aNow - recent_.front().at > kTold) {
    recent_.pop_front();
  }
  std::vector<PrefixRead> reads;
  reads.reserve(recent_.size());
  std::ranges::transform(recent_, std::back_inserter(reads), &Told::read);
  return reads;
}

} // namespace gypsum
