#pragma once

#include "core/gateway/backend_registry.h"
#include "core/time.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum {

/** What a response says of the requests that its server takes. */
struct LimitStatement
{
  enum class Kind
  {
    Nothing, ///< The response can't tell, or its limit can't be read.
    None,    ///< The server has no limit.
    Limit,
  };

  Kind kind = Kind::Nothing;
  double perSecond = 0.0; ///< From all gateways together.

  bool operator==(const LimitStatement&) const = default;
};

/** The last word of one incarnation of a backend server on its limit. */
struct BackendLimit
{
  std::string backend;
  std::uint64_t startedMs = 0; ///< Identifies the incarnation.
  bool isLimited = false;
  double perSecond = 0.0;
  Duration age{}; ///< Time since the response.

  bool operator==(const BackendLimit&) const = default;
};

/**
 * The limits that backend servers have named to any gateway.
 *
 * The latest response counts, also one without a limit. Of two that came at
 * nearly the same time the lower limit does, since ages that peers report are
 * off by the time of a message.
 */
class BackendLimits
{
public:
  /** Words on a server that is not listed are kept for this long: the word of a
   * peer may come before the registry. */
  static constexpr Duration kMemory = std::chrono::seconds(60);
  static constexpr Duration kAgeTolerance = std::chrono::milliseconds(100);
  /** A server that takes nothing is asked now and then whether that holds. */
  static constexpr double kMinPerSecond = 0.1;

  /** True if the limit that is in force has changed. */
  bool OnStatement(const BackendRecord& aBackend,
                   const LimitStatement& aStatement,
                   Instant aNow);
  /** The word that a peer has heard; true as above. */
  bool Merge(const BackendLimit& aLimit, Instant aNow);
  /** Requests a second, at least `kMinPerSecond`; empty: no limit. */
  std::optional<double> Find(std::string_view aBackend,
                             std::uint64_t aStartedMs) const;
  std::optional<double> Find(const BackendRecord& aBackend) const
  {
    return Find(aBackend.id, aBackend.startedMs);
  }
  /** The last word of an incarnation; if none is known, that it has no limit,
   * as a word that is older than all others. */
  BackendLimit WordOf(std::string_view aBackend,
                      std::uint64_t aStartedMs,
                      Instant aNow) const;
  /** All words, also of limits that have ended. */
  std::vector<BackendLimit> All(Instant aNow) const;
  /** Drops old words on servers that are not listed. */
  template<std::predicate<std::string_view> IsListed>
  void Retain(IsListed aIsListed, Instant aNow)
  {
    std::erase_if(entries_, [&](const auto& aItem) {
      return aNow - aItem.second.at >= kMemory && !aIsListed(aItem.first.first);
    });
  }

private:
  using Key = std::pair<std::string, std::uint64_t>;

  struct Entry
  {
    bool isLimited = false;
    double perSecond = 0.0;
    Instant at{};
  };

  bool Update(const Key& aKey, const Entry& aEntry);

  std::map<Key, Entry> entries_;
};

} // namespace gypsum
