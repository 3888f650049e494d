#include "core/gateway/send_permissions.h"

#include <cstddef>

namespace gypsum {

std::string_view NameOf(HoldReason aReason)
{
  constexpr std::array<std::string_view, kHoldReasons.size()> kNames{
    "none",    "not-listed", "leaving",      "evacuated",
    "resting", "returning",  "limit-reached"
  };
  return kNames[static_cast<std::size_t>(aReason)];
}

std::string_view NameOf(SendPath aPath)
{
  constexpr std::array<std::string_view, kSendPaths.size()> kNames{ "request",
                                                                    "pieces",
                                                                    "release" };
  return kNames[static_cast<std::size_t>(aPath)];
}

SendPermissions::SendPermissions(const BackendRegistry& aRegistry,
                                 const SendAllowances& aAllowances,
                                 const LimitBlocks& aBlocks,
                                 const BackendRests& aRests)
  : registry_(aRegistry)
  , allowances_(aAllowances)
  , blocks_(aBlocks)
  , rests_(aRests)
{
}

SendPermission SendPermissions::Ask(const BackendRecord& aBackend,
                                    LimitTicket aTicket,
                                    Instant aNow) const
{
  if (!registry_.IsUsable(aBackend)) {
    const HoldReason reason =
      !registry_.IsListed(aBackend)           ? HoldReason::NotListed
      : registry_.IsInEvacuatedZone(aBackend) ? HoldReason::Evacuated
                                              : HoldReason::Leaving;
    return { reason, Instant{} };
  }
  return AskUsable(aBackend, aTicket, aNow);
}

SendPermission SendPermissions::AskUsable(const BackendRecord& aBackend,
                                          LimitTicket aTicket,
                                          Instant aNow) const
{
  const Instant restsUntil = rests_.RestsUntil(aBackend);
  if (aNow < restsUntil) {
    return { HoldReason::Resting, restsUntil };
  }
  const Instant nextStepAt = rests_.NextStepAt(aBackend);
  if (aNow < nextStepAt) {
    return { HoldReason::Returning, nextStepAt };
  }
  if (aTicket.place == LimitPlace::Taken) {
    const bool isStale =
      aNow - aTicket.takenAt >= LimitTicket::kMaxAgeForColdServer &&
      allowances_.IsCold(aBackend, aNow);
    return isStale ? SendPermission{ HoldReason::LimitReached, aNow }
                   : SendPermission{};
  }
  const Instant blockedUntil = blocks_.BlockedUntil(aBackend);
  if (aNow < blockedUntil) {
    return { HoldReason::LimitReached, blockedUntil };
  }
  // A limit that was named meanwhile has places, but none was taken.
  const bool lacksPlace = aTicket.place != LimitPlace::Open &&
                          allowances_.Find(aBackend, aNow).has_value();
  return lacksPlace ? SendPermission{ HoldReason::LimitReached, aNow }
                    : SendPermission{};
}

} // namespace gypsum
