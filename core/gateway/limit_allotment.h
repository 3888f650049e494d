#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace gypsum {

/** Answer to a gateway that wants to send a request to a limited server. */
struct LimitGrant
{
  bool isGranted = false;
  Duration retryAfter{}; ///< If not: when to ask again.

  bool operator==(const LimitGrant&) const = default;
};

/** What a gateway knows of its fleet, to hand out its part of a limit. */
struct FleetView
{
  std::size_t live = 1;     ///< Gateways that it hears, with itself.
  std::size_t known = 1;    ///< The same with those that it has heard before.
  bool knowsOwners = false; ///< See `FleetDiscovery::HasOwners`.
  bool hasSeeds = false;    ///< Whether it knows addresses of others.
};

/**
 * The share of a limit that a gateway hands out, by the part of the fleet that
 * it hears: gateways that it has lost hand out the rest. A gateway that has not
 * found its fleet hands out nothing.
 */
double ShareOfLimit(const FleetView& aView);
/** The same for a cold server, to which one that has heard no other gateway
 * sends nothing: it may be one of many, and the server is warm in seconds. */
double ShareOfColdServer(const FleetView& aView);

/** How a limit is handed out. */
struct LimitTerms
{
  double perSecond = 0.0; ///< Of the places that this gateway hands out.
  double maxSaved = 0.0;  ///< Places that are kept while nobody asks.
  /** Gateways ask about this often for each place, so that few are left over.
   */
  double asksPerPlace = 4.0;

  /** The terms of a limit that a server has named. */
  static LimitTerms OfLimit(double aPerSecond, double aShare = 1.0);
  /** Of a cold server, which saves little: two gateways may hand out places
   * while they have lost each other. */
  static LimitTerms OfColdServer(double aPerSecond, double aShare);
};

/** When to ask again after a place was refused; `aSpread` is random, from 0 to
 * 1. Half of the spread lies below the time that was named. */
Duration AskAgainAfter(const LimitGrant& aGrant, double aSpread);

/**
 * Hands out the places in the limits of backend servers, for all gateways.
 *
 * One gateway does so for each server. While more urgent requests come, one
 * place is kept for the next of them.
 */
class LimitAllotment
{
public:
  /** Identifies one incarnation of a backend server. */
  using Key = std::pair<std::string, std::uint64_t>;

  /** Longest time until a gateway asks again. */
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
  static constexpr Duration kMemory = std::chrono::seconds(60);

  /** Priority zero is the most urgent. */
  LimitGrant Ask(const Key& aServer,
                 const LimitTerms& aTerms,
                 std::uint32_t aPriority,
                 Instant aNow);
  LimitGrant Ask(const Key& aServer,
                 double aPerSecond,
                 std::uint32_t aPriority,
                 Instant aNow)
  {
    return Ask(aServer, LimitTerms::OfLimit(aPerSecond), aPriority, aNow);
  }
  void Expire(Instant aNow);

private:
  struct Bucket
  {
    double places = 0.0;
    double recentAsks = 0.0; ///< Decays by half each second.
    Instant at{};
    std::map<std::uint32_t, Instant> askedAt; ///< By priority.
  };

  std::map<Key, Bucket> buckets_;
};

} // namespace gypsum
