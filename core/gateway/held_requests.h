#pragma once

#include "core/gateway/service_availability.h"
#include "core/time.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Requests that wait for a rest to end, since all servers of their service are
 * held.
 *
 * Decides from the rests and from the requests that wait already, not from the
 * load of the servers.
 */
class HeldRequests
{
public:
  /** Longest wait for a rest to end. */
  static constexpr Duration kMaxWait = std::chrono::seconds(1);

  /** Position of a request: the urgent ones first, then the older ones. */
  struct Ticket
  {
    std::uint32_t priority = 0;
    std::uint64_t number = 0;

    auto operator<=>(const Ticket&) const = default;
  };

  Ticket Draw(std::uint32_t aPriority) { return { aPriority, ++lastNumber_ }; }
  /** When to try to send a request; empty if its servers are not held, if none
   * of them rests, or if it would be later than `aLatest`. A server that opens
   * takes the requests that wait one after the other. */
  std::optional<Instant> TryAt(std::string_view aService,
                               const ServiceAvailability& aAvailability,
                               const Ticket& aTicket,
                               Instant aLatest) const;

  /** Counts a request as waiting for as long as it exists. */
  class Place
  {
  public:
    Place(HeldRequests& aRequests,
          const std::string& aService,
          const Ticket& aTicket);
    ~Place() { waiting_.erase(ticket_); }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

  private:
    std::set<Ticket>& waiting_;
    Ticket ticket_;
  };

private:
  std::map<std::string, std::set<Ticket>, std::less<>> waiting_;
  std::uint64_t lastNumber_ = 0;
};

} // namespace gypsum
