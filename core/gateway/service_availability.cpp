#include "core/gateway/service_availability.h"

#include <algorithm>
#include <chrono>

namespace gypsum {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(250);
/** Callers are spread over the wait that is left, within these bounds. */
constexpr Duration kMinSpread = std::chrono::milliseconds(250);
constexpr Duration kMaxSpread = std::chrono::seconds(1);
constexpr Duration kPriorityStep = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaxPriority = 9;
/** A zone is empty for seconds at least. */
constexpr Duration kMinEvacuationRetryAfter = std::chrono::seconds(1);

Duration Scaled(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

ServiceAvailability AvailabilityOf(std::span<const BackendPtr> aServers,
                                   std::optional<std::string_view> aVersion,
                                   const SendPermissions& aPermissions,
                                   Instant aNow)
{
  ServiceAvailability availability;
  for (const BackendPtr& server : aServers) {
    if (aVersion && server->version != *aVersion) {
      continue;
    }
    const SendPermission permission =
      aPermissions.AskUsable(*server, LimitPlace::Open, aNow);
    if (permission.IsGranted()) {
      ++availability.open;
      continue;
    }
    if (!permission.EndsByItself()) {
      continue;
    }
    if (availability.held == 0 || permission.until < availability.opensAt) {
      availability.hold = permission.hold;
      availability.opensAt = permission.until;
    }
    ++availability.held;
    if (permission.hold != HoldReason::LimitReached) {
      availability.restEnds.push_back(permission.until);
    }
  }
  return availability;
}

Duration RetryAfterHold(const ServiceAvailability& aAvailability,
                        std::uint32_t aPriority,
                        double aSpread,
                        Instant aNow)
{
  const Duration wait =
    std::max(kMinRetryAfter, Duration(aAvailability.opensAt - aNow));
  const Duration spread = std::clamp(wait, kMinSpread, kMaxSpread);
  return wait + kPriorityStep * std::min(aPriority, kMaxPriority) +
         Scaled(spread, aSpread);
}

Duration RetryAfterEvacuation(double aSpread)
{
  return kMinEvacuationRetryAfter + Scaled(kMaxSpread, aSpread);
}

} // namespace gypsum
