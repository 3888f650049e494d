#pragma once

#include "core/gateway/backend_registry.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace gypsum {

/** Servers whose limits have no place for this gateway for some time. */
class LimitBlocks
{
public:
  void Block(const BackendRecord& aBackend, Instant aUntil);
  /** End of the block; a time that has passed if there is none. */
  Instant BlockedUntil(const BackendRecord& aBackend) const;
  bool IsBlocked(const BackendRecord& aBackend, Instant aNow) const
  {
    return aNow < BlockedUntil(aBackend);
  }
  void Expire(Instant aNow);

private:
  std::map<std::pair<std::string, std::uint64_t>, Instant> until_;
};

} // namespace gypsum
