#include "core/gateway/held_requests.h"

#include "core/gateway/backend_rests.h"

#include <cstddef>
#include <functional>
#include <iterator>
#include <queue>
#include <span>
#include <vector>

namespace gypsum {

namespace {

/** When a request with so many others ahead is sent, if each server takes one
 * in each step from the end of its rest on. */
Instant TurnOf(std::size_t aAhead, std::span<const Instant> aRestEnds)
{
  std::priority_queue<Instant, std::vector<Instant>, std::greater<>> next(
    aRestEnds.begin(), aRestEnds.end());
  for (std::size_t taken = 0; taken < aAhead; ++taken) {
    const Instant at = next.top();
    next.pop();
    next.push(at + BackendRests::kReturnGap);
  }
  return next.top();
}

} // namespace

std::optional<Instant> HeldRequests::TryAt(
  std::string_view aService,
  const ServiceAvailability& aAvailability,
  const Ticket& aTicket,
  Instant aLatest) const
{
  // The end of a block by a limit does not promise a place.
  if (!aAvailability.IsHeld() || aAvailability.restEnds.empty()) {
    return std::nullopt;
  }
  const auto found = waiting_.find(aService);
  const auto ahead = found == waiting_.end()
                       ? std::ptrdiff_t{ 0 }
                       : std::distance(found->second.begin(),
                                       found->second.lower_bound(aTicket));
  const Instant at =
    TurnOf(static_cast<std::size_t>(ahead), aAvailability.restEnds);
  return at <= aLatest ? std::optional(at) : std::nullopt;
}

HeldRequests::Place::Place(HeldRequests& aRequests,
                           const std::string& aService,
                           const Ticket& aTicket)
  : waiting_(aRequests.waiting_[aService])
  , ticket_(aTicket)
{
  waiting_.insert(aTicket);
}

} // namespace gypsum
