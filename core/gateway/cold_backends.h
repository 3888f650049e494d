#pragma once

#include "core/gateway/backend_registry.h"
#include "core/gateway/served_configuration.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace gypsum {

/**
 * Which backend servers are cold, and what they take meanwhile.
 *
 * The load: servers that return together, after a crash of a zone or its
 * evacuation, while requests queue for them. A cold server crashes well above
 * its rate.
 *
 * Words come from the entry of a server in the registry, from its own responses
 * and from the end of an evacuation, after which servers may be cold before
 * their entries say so. The newer word counts; but an entry that is read
 * shortly after another word may have been written before it.
 */
class ColdBackends
{
public:
  using Services = std::map<std::string, ColdStartSpec, std::less<>>;

  /** Longest time from the writing of an entry until it is read: a heartbeat,
   * and the way through the store. */
  static constexpr Duration kEntryLag = std::chrono::seconds(2);
  /** Longest time for which a word beside the registry is kept. */
  static constexpr Duration kMemory = std::chrono::seconds(60);

  /** The registry must outlive this object. */
  explicit ColdBackends(const BackendRegistry& aRegistry)
    : registry_(aRegistry)
  {
  }

  /** Only services with a rate have limits on their cold servers. */
  void SetServices(Services aServices) { services_ = std::move(aServices); }
  /** A response says for how long its server stays cold; zero: it is warm. True
   * if that changes whether it counts as cold. */
  bool OnStatement(const BackendRecord& aBackend,
                   Duration aColdFor,
                   Instant aNow);
  /** The evacuation of the server's zone has ended. */
  void OnZoneReturned(const BackendRecord& aBackend, Instant aNow);
  void Expire(Instant aNow);

  /** Requests a second that the server takes from all gateways together; empty
   * if it is warm, or its service has no rate. */
  std::optional<double> RateOf(const BackendRecord& aBackend,
                               Instant aNow) const;
  bool IsCold(const BackendRecord& aBackend, Instant aNow) const
  {
    return RateOf(aBackend, aNow).has_value();
  }
  /** A time that has passed if the server is warm. */
  Instant ColdUntil(const BackendRecord& aBackend) const;

private:
  using Incarnation = std::pair<std::string, std::uint64_t>;

  const BackendRegistry& registry_;
  Services services_;
  std::map<Incarnation, ColdWord> words_; ///< From outside the registry.
};

} // namespace gypsum
