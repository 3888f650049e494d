#include "core/gateway/backend_limits.h"

#include <algorithm>

namespace gypsum {

bool BackendLimits::OnStatement(const BackendRecord& aBackend,
                                const LimitStatement& aStatement,
                                Instant aNow)
{
  const Key key{ aBackend.id, aBackend.startedMs };
  const bool isLimited = aStatement.kind == LimitStatement::Kind::Limit;
  if (aStatement.kind == LimitStatement::Kind::Nothing ||
      (!isLimited && !entries_.contains(key))) {
    return false;
  }
  return Update(key, { isLimited, aStatement.perSecond, aNow });
}

bool BackendLimits::Merge(const BackendLimit& aLimit, Instant aNow)
{
  return Update({ aLimit.backend, aLimit.startedMs },
                { aLimit.isLimited, aLimit.perSecond, aNow - aLimit.age });
}

bool BackendLimits::Update(const Key& aKey, const Entry& aEntry)
{
  const auto [found, isNew] = entries_.try_emplace(aKey, aEntry);
  if (isNew) {
    return aEntry.isLimited;
  }
  Entry& known = found->second;
  const Entry before = known;
  const auto isLower = [](const Entry& aOne, const Entry& aOther) {
    return aOne.isLimited &&
           (!aOther.isLimited || aOne.perSecond < aOther.perSecond);
  };
  const bool isSameTime = aEntry.at < before.at + kAgeTolerance &&
                          before.at < aEntry.at + kAgeTolerance;
  const bool isTaken =
    isSameTime ? !isLower(before, aEntry) : aEntry.at > before.at;
  if (isTaken) {
    known = { aEntry.isLimited,
              aEntry.perSecond,
              std::max(aEntry.at, before.at) };
  }
  return known.isLimited != before.isLimited ||
         (known.isLimited && known.perSecond != before.perSecond);
}

std::optional<double> BackendLimits::Find(std::string_view aBackend,
                                          std::uint64_t aStartedMs) const
{
  if (entries_.empty()) {
    return std::nullopt;
  }
  const auto found = entries_.find({ std::string(aBackend), aStartedMs });
  return found != entries_.end() && found->second.isLimited
           ? std::optional(std::max(kMinPerSecond, found->second.perSecond))
           : std::nullopt;
}

BackendLimit BackendLimits::WordOf(std::string_view aBackend,
                                   std::uint64_t aStartedMs,
                                   Instant aNow) const
{
  const Key key{ std::string(aBackend), aStartedMs };
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return { key.first, key.second, false, 0.0, kMemory };
  }
  const Entry& entry = found->second;
  return {
    key.first, key.second, entry.isLimited, entry.perSecond, aNow - entry.at
  };
}

std::vector<BackendLimit> BackendLimits::All(Instant aNow) const
{
  std::vector<BackendLimit> all;
  for (const auto& [key, entry] : entries_) {
    all.push_back(WordOf(key.first, key.second, aNow));
  }
  return all;
}

} // namespace gypsum
