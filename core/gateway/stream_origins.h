#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** The backend software that began a stream; it may go on only there. */
struct StreamOrigin
{
  std::string attempt; ///< The client's attempt that brought the first event.
  std::string service;
  std::string version; ///< Of the backend server's software.

  bool operator==(const StreamOrigin&) const = default;
};

/** An origin, and how long the client may still resume the stream. */
struct ExpiringOrigin
{
  StreamOrigin origin;
  Duration expiresIn{};

  bool operator==(const ExpiringOrigin&) const = default;
};

/** Origins of streams that clients may still resume, by attempt. */
class StreamOrigins
{
public:
  /** Bounds the memory to a few MB; a fleet begins some hundred streams a
   * second. */
  static constexpr std::size_t kMaxOrigins = 20'000;
  /** Clients may choose longer ids; such an attempt is stored by a hash. */
  static constexpr std::size_t kMaxNameBytes = 64;

  /** Stores an origin; a known attempt keeps its first one. Returns false if
   * there is no room. */
  bool Add(ExpiringOrigin aOrigin, Instant aNow);
  /** The origin of an attempt; empty if unknown or expired. */
  std::optional<ExpiringOrigin> Find(std::string_view aAttempt,
                                     Instant aNow) const;
  void RemoveExpired(Instant aNow);
  std::vector<ExpiringOrigin> All(Instant aNow) const;
  std::size_t Size() const { return origins_.size(); }

private:
  struct Entry
  {
    StreamOrigin origin;
    Instant expiresAt{};
  };

  std::map<std::string, Entry, std::less<>> origins_;
};

} // namespace gypsum
