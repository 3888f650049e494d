#include "core/gateway/backend_rests.h"

#include <algorithm>

namespace gypsum {

bool BackendRests::Binds(const std::pair<const Incarnation, Rest>& aRest,
                         const BackendRecord& aBackend)
{
  const std::uint64_t startedMs = aRest.first.second;
  return startedMs == aBackend.startedMs ||
         (startedMs < aBackend.startedMs &&
          aBackend.startedMs <= aRest.second.askedMs);
}

template<typename Rests, typename Function>
void BackendRests::ForEach(Rests& aRests,
                           const BackendRecord& aBackend,
                           Function aFunction)
{
  if (aRests.empty()) {
    return;
  }
  for (auto rest = aRests.lower_bound({ aBackend.id, 0 });
       rest != aRests.end() && rest->first.first == aBackend.id;
       ++rest) {
    if (Binds(*rest, aBackend)) {
      aFunction(rest->second);
    }
  }
}

bool BackendRests::OnStatement(const BackendRecord& aBackend,
                               const RestStatement& aStatement,
                               const ClockReading& aNow,
                               double aSpread)
{
  if (aStatement.kind == RestStatement::Kind::None) {
    return false;
  }
  const Duration length = aStatement.kind == RestStatement::Kind::Rest
                            ? aStatement.length
                            : kUnreadableLength;
  const Duration spread = std::min(kMaxReturnSpread, length / 4);
  const Instant until = aNow.steady + length +
                        Duration(static_cast<std::int64_t>(
                          static_cast<double>(spread.count()) * aSpread));
  Rest& known = rests_[{ aBackend.id, aBackend.startedMs }];
  known.askedMs = static_cast<std::uint64_t>(
    (aNow.wall.time_since_epoch() + kClockTolerance).count());
  if (until <= known.until) {
    return false;
  }
  known.until = until;
  return true;
}

void BackendRests::OnSent(const BackendRecord& aBackend, Instant aNow)
{
  ForEach(rests_, aBackend, [&](Rest& aRest) {
    if (aNow >= aRest.until) {
      aRest.lastSentAt = aNow;
    }
  });
}

Instant BackendRests::RestsUntil(const BackendRecord& aBackend) const
{
  Instant until{};
  ForEach(rests_, aBackend, [&](const Rest& aRest) {
    until = std::max(until, aRest.until);
  });
  return until;
}

Instant BackendRests::NextStepAt(const BackendRecord& aBackend) const
{
  Instant next{};
  ForEach(rests_, aBackend, [&](const Rest& aRest) {
    const Instant step =
      std::min(aRest.lastSentAt + kReturnGap, aRest.until + kReturnTime);
    if (aRest.lastSentAt >= aRest.until) {
      next = std::max(next, step);
    }
  });
  return next;
}

void BackendRests::Expire(Instant aNow)
{
  std::erase_if(rests_, [&](const auto& aItem) {
    return aNow >= aItem.second.until + kReturnTime;
  });
}

} // namespace gypsum
