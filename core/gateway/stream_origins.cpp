#include "core/gateway/stream_origins.h"

#include "core/hash.h"

#include <array>
#include <utility>

namespace gypsum {

namespace {

/** The attempt itself, or a hash of a long one; peers use the same. */
std::string NameOfAttempt(std::string_view aAttempt)
{
  return aAttempt.size() <= StreamOrigins::kMaxNameBytes
           ? std::string(aAttempt)
           : "#" + LongChecksum(std::array{ aAttempt });
}

} // namespace

bool StreamOrigins::Add(ExpiringOrigin aOrigin, Instant aNow)
{
  std::string attempt = NameOfAttempt(aOrigin.origin.attempt);
  if (attempt.empty() || aOrigin.expiresIn.count() <= 0 ||
      origins_.contains(attempt)) {
    return true;
  }
  if (origins_.size() >= kMaxOrigins) {
    RemoveExpired(aNow);
  }
  if (origins_.size() >= kMaxOrigins) {
    return false;
  }
  aOrigin.origin.attempt = attempt;
  origins_.emplace(
    std::move(attempt),
    Entry{ std::move(aOrigin.origin), aNow + aOrigin.expiresIn });
  return true;
}

std::optional<ExpiringOrigin> StreamOrigins::Find(std::string_view aAttempt,
                                                  Instant aNow) const
{
  const auto found = origins_.find(NameOfAttempt(aAttempt));
  if (found == origins_.end() || found->second.expiresAt <= aNow) {
    return std::nullopt;
  }
  return ExpiringOrigin{ found->second.origin, found->second.expiresAt - aNow };
}

void StreamOrigins::RemoveExpired(Instant aNow)
{
  std::erase_if(origins_, [&](const auto& aItem) {
    return aItem.second.expiresAt <= aNow;
  });
}

std::vector<ExpiringOrigin> StreamOrigins::All(Instant aNow) const
{
  std::vector<ExpiringOrigin> all;
  for (const auto& [attempt, entry] : origins_) {
    if (entry.expiresAt > aNow) {
      all.push_back({ entry.origin, entry.expiresAt - aNow });
    }
  }
  return all;
}

} // namespace gypsum
