#include "core/gateway/backend_rests.h"

#include <algorithm>

namespace gypsum {

bool BackendRests::OnStatement(const BackendRecord& aBackend,
                               const RestStatement& aStatement,
                               const ClockReading& aNow)
{
  if (aStatement.kind == RestStatement::Kind::None) {
    return false;
  }
  const bool isReadable = aStatement.kind == RestStatement::Kind::Rest;
  const Instant until =
    aNow.steady + (isReadable ? aStatement.length : kUnreadableLength);
  Rest& known = rests_[{ aBackend.id, aBackend.startedMs }];
  known.askedMs = static_cast<std::uint64_t>(
    (aNow.wall.time_since_epoch() + kClockTolerance).count());
  if (until <= known.until) {
    return false;
  }
  known.until = until;
  return true;
}

Instant BackendRests::RestsUntil(const BackendRecord& aBackend) const
{
  if (rests_.empty()) {
    return {};
  }
  Instant until{};
  for (auto rest = rests_.lower_bound({ aBackend.id, 0 });
       rest != rests_.end() && rest->first.first == aBackend.id &&
       rest->first.second <= aBackend.startedMs;
       ++rest) {
    const bool isItsOwn = rest->first.second == aBackend.startedMs;
    if (isItsOwn || aBackend.startedMs <= rest->second.askedMs) {
      until = std::max(until, rest->second.until);
    }
  }
  return until;
}

void BackendRests::Expire(Instant aNow)
{
  std::erase_if(rests_,
                [&](const auto& aItem) { return aNow >= aItem.second.until; });
}

} // namespace gypsum
