#pragma once

#include "core/gateway/backend_registry.h"
#include "core/time.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Software versions of each service that the registry has listed lately. */
class ServiceVersions
{
public:
  /** How long a version is remembered after it was last listed: longer than
   * clients wait for a stream. */
  static constexpr Duration kMemory = std::chrono::seconds(60);

  /** Takes in the listed versions; call before and after each change. */
  void Observe(const std::set<ServiceVersion>& aListed, Instant aNow);
  /** Versions of a service that were listed at some time since then. */
  std::vector<std::string> ListedSince(std::string_view aService,
                                       Instant aThen) const;
  /** Whether versions have been listed, and are remembered, since then. */
  bool Covers(Instant aThen, Instant aNow) const;

private:
  std::map<ServiceVersion, Instant> lastListedAt_;
  Instant observedSince_ = Instant::max();
};

} // namespace gypsum
