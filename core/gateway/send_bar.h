#pragma once

#include "core/time.h"

#include <cstdint>
#include <string_view>

namespace gypsum {

/** Why a request can't be sent to a server now. */
enum class SendBar
{
  None,
  ClientLeft,
  Stopping,       ///< The gateway stops and sends nothing any more.
  InputsReleased, ///< The results that it reads are gone.
  SuspectTrait,   ///< A trait of it may crash servers.
  SendsUsed,      ///< The route allows no further send.
  TooLate,
  NoServer, ///< None, or only such as had it or are of another version.
  RetryBudgetUsed,
};

std::string_view NameOf(SendBar aBar);

/** What decides whether a request can be sent to a server. */
struct SendOutlook
{
  bool hasClientLeft = false;
  bool isStopping = false;
  bool areInputsReleased = false;
  bool hasSuspectTrait = false;
  std::uint32_t sends = 0; ///< So far, the one that runs included.
  std::uint32_t maxSends = 1;
  Duration timeLeft{};      ///< Until the response must be complete.
  bool hasServer = false;   ///< That may get it now or soon.
  double retriesLeft = 0.0; ///< Of the service's retry budget.
};

/** No send starts with less time left than this. */
inline constexpr Duration kMinSendTime = std::chrono::milliseconds(20);

/** The first reason that keeps the request from another server; the first send
 * draws on no retry budget. */
SendBar FindSendBar(const SendOutlook& aOutlook);

} // namespace gypsum
