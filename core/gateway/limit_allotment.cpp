#include "core/gateway/limit_allotment.h"

#include <algorithm>
#include <cmath>

namespace gypsum {

namespace {

/** A place is kept for more urgent requests if one came within this time. */
constexpr Duration kUrgentInterval = std::chrono::seconds(2);
/** Bounds the priorities that are told apart. */
constexpr std::uint32_t kMaxPriority = 15;
/** Gateways ask this often for each place, so that few places are left over. */
constexpr double kAsksPerPlace = 4.0;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration FromSeconds(double aSeconds)
{
  return Duration(static_cast<std::int64_t>(aSeconds * 1'000'000.0));
}

} // namespace

LimitGrant LimitAllotment::Ask(const Key& aServer,
                               double aPerSecond,
                               std::uint32_t aPriority,
                               Instant aNow)
{
  const std::uint32_t priority = std::min(aPriority, kMaxPriority);
  const auto [found, isNew] = buckets_.try_emplace(aServer);
  Bucket& bucket = found->second;
  // A new bucket is empty: another gateway may have handed out the last places.
  const double elapsed =
    isNew ? 0.0 : Seconds(std::max(Duration{}, Duration(aNow - bucket.at)));
  const double capacity =
    std::max(kMinCapacity, 1.0 + aPerSecond * Seconds(kMaxSaving));
  bucket.places = std::min(capacity, bucket.places + elapsed * aPerSecond);
  bucket.recentAsks = bucket.recentAsks * std::exp2(-elapsed) + 1.0;
  bucket.at = aNow;
  const bool hasUrgent =
    std::ranges::any_of(bucket.askedAt, [&](const auto& aItem) {
      return aItem.first < priority && aNow - aItem.second < kUrgentInterval;
    });
  bucket.askedAt[priority] = aNow;
  const double needed = hasUrgent ? 2.0 : 1.0;
  if (bucket.places >= needed) {
    bucket.places -= 1.0;
    return { true, Duration{} };
  }
  const Duration nextPlace = FromSeconds((needed - bucket.places) / aPerSecond);
  const Duration ownTurn =
    FromSeconds(bucket.recentAsks / (kAsksPerPlace * aPerSecond));
  return { false, std::min(kMaxRetryAfter, std::max(nextPlace, ownTurn)) };
}

void LimitAllotment::Expire(Instant aNow)
{
  std::erase_if(buckets_, [&](const auto& aItem) {
    return aNow - aItem.second.at >= kMemory;
  });
}

} // namespace gypsum
