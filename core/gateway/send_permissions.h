#pragma once

#include "core/gateway/backend_registry.h"
#include "core/gateway/backend_rests.h"
#include "core/gateway/limit_blocks.h"
#include "core/gateway/send_allowances.h"
#include "core/time.h"

#include <array>
#include <string_view>

namespace gypsum {

/** Why a backend server may not get a request from this gateway. */
enum class HoldReason
{
  None,
  NotListed,    ///< The registry does not list this incarnation.
  Leaving,      ///< It leaves, by the store's word or its own.
  Evacuated,    ///< Its zone is evacuated.
  Resting,      ///< It has asked this gateway for rest.
  Returning,    ///< Its rest has just ended; requests return in steps.
  LimitReached, ///< Its limit has no place for this gateway.
};

inline constexpr std::array kHoldReasons{
  HoldReason::None,        HoldReason::NotListed, HoldReason::Leaving,
  HoldReason::Evacuated,   HoldReason::Resting,   HoldReason::Returning,
  HoldReason::LimitReached
};

std::string_view NameOf(HoldReason aReason);

/** Kinds of requests that gateways send to backend servers. */
enum class SendPath
{
  Request, ///< First sends, retries, resumes and trials.
  Pieces,
  Release, ///< Of results.
};

inline constexpr std::array kSendPaths{ SendPath::Request,
                                        SendPath::Pieces,
                                        SendPath::Release };

std::string_view NameOf(SendPath aPath);

/** The place of a request in the limit that its server may have named. */
enum class LimitPlace
{
  Open,      ///< Not asked for yet.
  NotNeeded, ///< The server had no limit when it was asked for.
  Taken,
  Refused, ///< There is none now.
};

/** The place of a request, and when it was taken. */
struct LimitTicket
{
  /** What was taken longer ago would arrive together with later places. */
  static constexpr Duration kMaxAgeForColdServer =
    std::chrono::milliseconds(100);

  LimitPlace place = LimitPlace::Open;
  Instant takenAt{};
};

/** Whether a server may get a request; if not, why and until when. */
struct SendPermission
{
  HoldReason hold = HoldReason::None;
  Instant until{}; ///< Set if the hold ends by itself.

  bool IsGranted() const { return hold == HoldReason::None; }
  bool EndsByItself() const
  {
    return hold == HoldReason::Resting || hold == HoldReason::Returning ||
           hold == HoldReason::LimitReached;
  }

  bool operator==(const SendPermission&) const = default;
};

/**
 * Answers whether this gateway may send to an incarnation of a backend server.
 *
 * Each path asks when it chooses a server, and again right before the first
 * byte of the request, since what it waits for meanwhile (a turn, a place in a
 * limit, a connection) takes time. A new condition is added here, and thereby
 * for all paths.
 */
class SendPermissions
{
public:
  /** The arguments must outlive this object. */
  SendPermissions(const BackendRegistry& aRegistry,
                  const SendAllowances& aAllowances,
                  const LimitBlocks& aBlocks,
                  const BackendRests& aRests);

  SendPermission Ask(const BackendRecord& aBackend,
                     LimitTicket aTicket,
                     Instant aNow) const;
  SendPermission Ask(const BackendRecord& aBackend,
                     LimitPlace aPlace,
                     Instant aNow) const
  {
    return Ask(aBackend, LimitTicket{ aPlace, aNow }, aNow);
  }
  /** The same for a server that `BackendRegistry::Usable` has just returned,
   * to choose from many at little cost. */
  SendPermission AskUsable(const BackendRecord& aBackend,
                           LimitTicket aTicket,
                           Instant aNow) const;
  SendPermission AskUsable(const BackendRecord& aBackend,
                           LimitPlace aPlace,
                           Instant aNow) const
  {
    return AskUsable(aBackend, LimitTicket{ aPlace, aNow }, aNow);
  }
  /** Whether a server is cold, and takes few requests meanwhile. */
  bool IsCold(const BackendRecord& aBackend, Instant aNow) const
  {
    return allowances_.IsCold(aBackend, aNow);
  }

private:
  const BackendRegistry& registry_;
  const SendAllowances& allowances_;
  const LimitBlocks& blocks_;
  const BackendRests& rests_;
};

} // namespace gypsum
