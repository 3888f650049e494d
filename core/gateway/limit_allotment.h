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

  /** Places that nobody asks for are kept for this time's worth, beside one,
   * but at least `kMinCapacity`. */
  static constexpr Duration kMaxSaving = std::chrono::milliseconds(500);
  static constexpr double kMinCapacity = 2.0;
  /** Longest time until a gateway asks again. */
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
  static constexpr Duration kMemory = std::chrono::seconds(60);

  /** `aPerSecond` must be positive; priority zero is the most urgent. */
  LimitGrant Ask(const Key& aServer,
                 double aPerSecond,
                 std::uint32_t aPriority,
                 Instant aNow);
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
