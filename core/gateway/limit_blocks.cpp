#include "core/gateway/limit_blocks.h"

namespace gypsum {

void LimitBlocks::Block(const BackendRecord& aBackend, Instant aUntil)
{
  until_[{ aBackend.id, aBackend.startedMs }] = aUntil;
}

Instant LimitBlocks::BlockedUntil(const BackendRecord& aBackend) const
{
  if (until_.empty()) {
    return {};
  }
  const auto found = until_.find({ aBackend.id, aBackend.startedMs });
  return found == until_.end() ? Instant{} : found->second;
}

void LimitBlocks::Expire(Instant aNow)
{
  std::erase_if(until_,
                [&](const auto& aItem) { return aNow >= aItem.second; });
}

} // namespace gypsum
