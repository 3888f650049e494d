#pragma once

#include "core/gateway/send_permissions.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace gypsum {

/** How many servers of a service may get requests, and when more may. */
struct ServiceAvailability
{
  std::size_t open = 0; ///< Servers that may get one now.
  std::size_t held = 0; ///< Servers whose hold ends by itself.
  /** Of the first hold that ends; not set while none is held. */
  HoldReason hold = HoldReason::None;
  Instant opensAt{};
  std::vector<Instant> restEnds; ///< Of the servers that rest, in no order.

  bool IsHeld() const { return open == 0 && held > 0; }
  /** When a request may be sent at the earliest. */
  Instant EarliestSend(Instant aNow) const { return IsHeld() ? opensAt : aNow; }
};

/** Of servers that `BackendRegistry::Usable` has just returned; only those of a
 * software version count, if one is given. */
ServiceAvailability AvailabilityOf(std::span<const BackendPtr> aServers,
                                   std::optional<std::string_view> aVersion,
                                   const SendPermissions& aPermissions,
                                   Instant aNow);

/**
 * `Retry-After` of a request for which all servers are held.
 *
 * It lies after the first hold that ends. `aSpread`, a random number from 0 to
 * 1, spreads the callers; more urgent ones may come first.
 */
Duration RetryAfterHold(const ServiceAvailability& aAvailability,
                        std::uint32_t aPriority,
                        double aSpread,
                        Instant aNow);

/**
 * `Retry-After` of a request whose servers all lie in evacuated zones. Nobody
 * tells when they are taken back; `aSpread` is as above.
 */
Duration RetryAfterEvacuation(double aSpread);

} // namespace gypsum
