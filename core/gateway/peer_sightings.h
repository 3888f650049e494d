#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace gypsum {

/** A peer that the sender of a status has heard, or of which it was told. */
struct PeerSighting
{
  std::uint32_t peer = 0; ///< See `PeerSightings::IdOf`.
  std::uint8_t round = 0; ///< Of the status in which it was alive; wraps.
  Duration age{};         ///< Since the peer sent that status.
  bool isLeaving = false; ///< It has said that it stops.

  bool operator==(const PeerSighting&) const = default;
};

/**
 * Knows when each gateway of the fleet was last alive.
 *
 * Each status carries what its sender knows of all peers, a few bytes each, so
 * that news of a peer goes round in a logarithmic number of rounds although a
 * round reaches only `kPeersPerRound` of them.
 */
class PeerSightings
{
public:
  /** Older sightings are not passed on. */
  static constexpr Duration kMaxAge = std::chrono::seconds(4);

  /** Short name of a process; two of a fleet rarely have the same. */
  static std::uint32_t IdOf(Incarnation aIncarnation);

  explicit PeerSightings(std::uint32_t aSelf)
    : self_(aSelf)
  {
  }

  /** A message of the peer itself has arrived. */
  void OnHeard(std::uint32_t aPeer, Instant aNow);
  /** The peer has said that it stops. */
  void OnLeaving(std::uint32_t aPeer, Instant aNow);
  /** A status has told of its sender and of others. */
  void OnReport(std::span<const PeerSighting> aSightings, Instant aNow);

  /** The next statuses are those of another round. */
  void BeginRound() { ++round_; }
  /** What a status tells, of this gateway first. */
  std::vector<PeerSighting> Report(Instant aNow, bool aIsLeaving) const;
  /** When the peer was last alive; empty if not within `kMaxAge`. */
  std::optional<Instant> LastAliveAt(std::uint32_t aPeer) const;
  bool IsLeaving(std::uint32_t aPeer) const;
  /** Forgets sightings that are too old to pass on. */
  void Expire(Instant aNow);

private:
  struct Seen
  {
    std::uint8_t round = 0;
    Instant roundAt{}; ///< When the peer sent that round.
    Instant heardAt{}; ///< When this gateway last heard it.
    bool isLeaving = false;

    Instant LastAliveAt() const { return std::max(roundAt, heardAt); }
  };

  std::uint32_t self_;
  std::uint8_t round_ = 0;
  std::unordered_map<std::uint32_t, Seen> seen_;
};

} // namespace gypsum
