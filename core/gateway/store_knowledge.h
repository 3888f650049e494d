#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gypsum {

/** The parts of the store that a gateway follows. */
enum class StorePart
{
  Configuration,
  Backends,
};

constexpr std::string_view NameOf(StorePart aPart)
{
  return aPart == StorePart::Configuration ? "configuration" : "backends";
}

/** Stands for the age of what is not known at all. */
inline constexpr Duration kUnknownAge = std::chrono::hours(1);

/** What a gateway says of its knowledge of one part of the store. */
struct KnowledgeClaim
{
  /** Version of the configuration, or revision of the registry. */
  std::uint64_t version = 0;
  /** Time since the store last responded to this gateway itself. */
  Duration readAge = kUnknownAge;

  bool operator==(const KnowledgeClaim&) const = default;
};

/**
 * Decides whether one gateway reads one part of the store, and which peer it
 * fetches a newer version from.
 *
 * A few gateways read the store and the others learn from them.
 */
class StoreKnowledge
{
public:
  /** Maximum number of gateways that read the store at the same time. */
  static constexpr std::size_t kMaxReaders = 8;
  /** A peer without a response of the store for this long is no reader. */
  static constexpr Duration kReaderTimeout = std::chrono::milliseconds(2'800);

  explicit StoreKnowledge(std::string_view aOwnAddress);

  /** A peer says what it knows. */
  void OnClaim(const std::string& aPeer, const KnowledgeClaim& aClaim);
  void RemovePeer(std::string_view aPeer);
  /** The version that this gateway has. */
  void OnVersion(std::uint64_t aVersion) { version_ = aVersion; }
  /** The store has responded to a call for this part. */
  void OnRead(Instant aNow) { readAt_ = aNow; }
  /** Time since the store last responded to a call for this part. */
  Duration ReadAge(Instant aNow) const
  {
    return readAt_ ? std::min(kUnknownAge, aNow - *readAt_) : kUnknownAge;
  }

  /** Whether this gateway is to read the store, by the live peers. */
  bool IsReader(std::span<const std::string> aLive) const;
  /** A live peer that has a newer version; empty if there is none. */
  std::optional<std::string> ChooseSource(
    std::span<const std::string> aLive) const;

private:
  struct Peer
  {
    std::uint64_t weight = 0; ///< Readers are those of the largest weights.
    KnowledgeClaim claim;
  };

  static std::uint64_t WeightOf(std::string_view aAddress);

  std::uint64_t ownWeight_;
  std::uint64_t version_ = 0;
  std::optional<Instant> readAt_;
  std::map<std::string, Peer, std::less<>> peers_;
};

} // namespace gypsum
