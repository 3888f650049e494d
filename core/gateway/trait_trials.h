#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum {

/** One request with suspect traits that a gateway has sent. */
struct TraitTrial
{
  std::uint64_t gateway = 0; ///< Incarnation of the gateway.
  std::uint64_t number = 0;  ///< Unique in that incarnation.
  std::vector<std::string> traits;
  bool hasEnded = false;

  bool operator==(const TraitTrial&) const = default;
};

/** The trials under way in the fleet, as far as this gateway was told. */
class TraitTrials
{
public:
  /** A trial whose end was not told counts no longer than this. */
  static constexpr Duration kMaxDuration = std::chrono::seconds(3);

  void OnTrial(const TraitTrial& aTrial, Instant aNow);
  bool IsUnderWay(std::string_view aTrait, Instant aNow) const;
  void Expire(Instant aNow);

private:
  struct Entry
  {
    std::vector<std::string> traits;
    Instant until{};
  };

  std::map<std::pair<std::uint64_t, std::uint64_t>, Entry> trials_;
};

} // namespace gypsum
