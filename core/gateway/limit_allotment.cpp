#include "core/gateway/limit_allotment.h"

#include <algorithm>
#include <cmath>

namespace gypsum {

namespace {

/** A place is kept for more urgent requests if one came within this time. */
constexpr Duration kUrgentInterval = std::chrono::seconds(2);
/** Bounds the priorities that are told apart. */
constexpr std::uint32_t kMaxPriority = 15;
/** Few places of a cold server are kept, so that gateways ask more often. */
constexpr double kAsksPerColdPlace = 12.0;

/** Places that nobody asks for are kept for this time's worth, beside one, but
 * at least `kMinSaved`. */
constexpr Duration kMaxSaving = std::chrono::milliseconds(500);
constexpr double kMinSaved = 2.0;
/** Of a cold server. */
constexpr double kColdSaved = 2.0;
/** A gateway finds its fleet within a few times this. */
constexpr Duration kNoShareRetryAfter = std::chrono::milliseconds(100);

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration FromSeconds(double aSeconds)
{
  return Duration(static_cast<std::int64_t>(aSeconds * 1'000'000.0));
}

} // namespace

double ShareOfLimit(const FleetView& aView)
{
  return aView.knowsOwners ? std::min(1.0,
                                      static_cast<double>(aView.live) /
                                        static_cast<double>(aView.known))
                           : 0.0;
}

double ShareOfColdServer(const FleetView& aView)
{
  const bool mayBeOneOfMany = aView.known == 1 && aView.hasSeeds;
  return mayBeOneOfMany ? 0.0 : ShareOfLimit(aView);
}

LimitTerms LimitTerms::OfLimit(double aPerSecond, double aShare)
{
  const double perSecond = aPerSecond * aShare;
  return { perSecond,
           std::max(kMinSaved, 1.0 + perSecond * Seconds(kMaxSaving)) };
}

LimitTerms LimitTerms::OfColdServer(double aPerSecond, double aShare)
{
  return { aPerSecond * aShare, kColdSaved, kAsksPerColdPlace };
}

Duration AskAgainAfter(const LimitGrant& aGrant, double aSpread)
{
  constexpr double kLeast = 0.7;
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aGrant.retryAfter.count()) * kLeast * (1.0 + aSpread)));
}

LimitGrant LimitAllotment::Ask(const Key& aServer,
                               const LimitTerms& aTerms,
                               std::uint32_t aPriority,
                               Instant aNow)
{
  if (aTerms.perSecond <= 0.0) {
    return { false, kNoShareRetryAfter };
  }
  const double perSecond = aTerms.perSecond;
  const std::uint32_t priority = std::min(aPriority, kMaxPriority);
  const auto [found, isNew] = buckets_.try_emplace(aServer);
  Bucket& bucket = found->second;
  // A new bucket is empty: another gateway may have handed out the last places.
  const double elapsed =
    isNew ? 0.0 : Seconds(std::max(Duration{}, Duration(aNow - bucket.at)));
  bucket.places =
    std::min(aTerms.maxSaved, bucket.places + elapsed * perSecond);
  bucket.recentAsks = bucket.recentAsks * std::exp2(-elapsed) + 1.0;
  bucket.at = aNow;
  const bool hasUrgent =
    std::ranges::any_of(bucket.askedAt, [&](const auto& aItem) {
      return aItem.first < priority && aNow - aItem.second < kUrgentInterval;
    });
  bucket.askedAt[priority] = aNow;
  const double needed = hasUrgent ? std::min(2.0, aTerms.maxSaved) : 1.0;
  if (bucket.places >= needed) {
    bucket.places -= 1.0;
    return { true, Duration{} };
  }
  const Duration nextPlace = FromSeconds((needed - bucket.places) / perSecond);
  const Duration ownTurn =
    FromSeconds(bucket.recentAsks / (aTerms.asksPerPlace * perSecond));
  return { false, std::min(kMaxRetryAfter, std::max(nextPlace, ownTurn)) };
}

void LimitAllotment::Expire(Instant aNow)
{
  std::erase_if(buckets_, [&](const auto& aItem) {
    return aNow - aItem.second.at >= kMemory;
  });
}

} // namespace gypsum
