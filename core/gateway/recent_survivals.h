#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace gypsum {

/** Traits of requests that backend servers have survived lately. */
class RecentSurvivals
{
public:
  static constexpr Duration kMemory = std::chrono::seconds(10);
  /** Some of each request, at tens of requests a second. */
  static constexpr std::size_t kMaxTraits = 8'192;

  void Add(std::string_view aTrait, Instant aNow);
  /** Whether servers have survived the trait after a time, and lately. */
  bool HasSince(std::string_view aTrait, Instant aEarliest, Instant aNow) const;
  void Expire(Instant aNow);

private:
  std::map<std::string, Instant, std::less<>> lastAt_;
};

} // namespace gypsum
