#include "core/fleet/leaving_list.h"

#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace gypsum {

namespace {

constexpr std::chrono::seconds kTimeToLive{ 10 }; ///< Without a renewal.
constexpr std::size_t kMaxNames = 2'000;

} // namespace

bool LeavingList::Renew(const std::vector<std::string>& aNames, Instant aNow)
{
  bool isNew = false;
  for (const std::string& name : aNames) {
    isNew |= ExtendExpiry(name, aNow + kTimeToLive);
  }
  RefreshDigest();
  return isNew;
}

bool LeavingList::Merge(const std::vector<LeavingReplica>& aReplicas,
                        Instant aNow)
{
  bool isNew = false;
  for (const LeavingReplica& replica : aReplicas) {
    const Duration remaining =
      std::min<Duration>(replica.remaining, kTimeToLive);
    if (remaining > Duration::zero()) {
      isNew |= ExtendExpiry(replica.name, aNow + remaining);
    }
  }
  RefreshDigest();
  return isNew;
}

bool LeavingList::ExtendExpiry(const std::string& aName, Instant aExpiry)
{
  const auto found = expiryByName_.find(aName);
  if (found != expiryByName_.end()) {
    found->second = std::max(found->second, aExpiry);
    return false;
  }
  if (expiryByName_.size() >= kMaxNames) {
    return false;
  }
  expiryByName_.emplace(aName, aExpiry);
  return true;
}

bool LeavingList::Expire(Instant aNow)
{
  const auto expired = std::erase_if(
    expiryByName_, [&](const auto& aItem) { return aItem.second <= aNow; });
  if (expired == 0) {
    return false;
  }
  RefreshDigest();
  return true;
}

void LeavingList::RefreshDigest()
{
  digest_ = 0;
  for (const auto& [name, expiry] : expiryByName_) {
    digest_ ^= Checksum(name);
  }
}

std::vector<std::string> LeavingList::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, expiry] : expiryByName_) {
    names.push_back(name);
  }
  return names;
}

std::vector<LeavingReplica> LeavingList::Replicas(Instant aNow) const
{
  std::vector<LeavingReplica> replicas;
  for (const auto& [name, expiry] : expiryByName_) {
    if (expiry > aNow) {
      replicas.push_back({ name, expiry - aNow });
    }
  }
  return replicas;
}

} // namespace gypsum
