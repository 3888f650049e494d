#pragma once

#include "core/time.h"

#include <optional>

namespace gypsum {

/**
 * Tells when a gateway that has just started knows enough of its fleet to say
 * who owns a duty.
 *
 * Before that each gateway would take itself for the owner of all of them, and
 * a fleet that starts at once would have as many owners as gateways.
 */
class FleetDiscovery
{
public:
  /** Gateways that know their fleet so much longer than others have not started
   * together with them. */
  static constexpr Duration kStartSpread = std::chrono::seconds(3);
  /** Peers learn their seeds and open their connections meanwhile. */
  static constexpr Duration kMinTime = std::chrono::milliseconds(600);
  /** Without a new peer for so long, the others are known as well. */
  static constexpr Duration kQuietTime = std::chrono::milliseconds(100);
  /** After this the fleet is taken for what is known of it. */
  static constexpr Duration kMaxTime = std::chrono::seconds(2);

  /** `aHasSeeds`: whether it knows addresses of others; without, those that
   * know its own find it. */
  FleetDiscovery(Instant aStartedAt, bool aHasSeeds)
    : startedAt_(aStartedAt)
    , hasSeeds_(aHasSeeds)
  {
  }

  /** When a peer has found its fleet that has just told for how long it has
   * known it: in the future if it has not yet. */
  static Instant SettledAt(Duration aToldSettledFor, Instant aNow);

  /** A peer is heard for the first time, which has known the fleet for that
   * long. */
  void OnPeerFound(Duration aPeerSettledFor, Instant aNow);
  /** Whether jobs can be given to an owner: this gateway knows its fleet, or a
   * peer that does. */
  bool HasOwners(Instant aNow) const;
  /** Whether this gateway has found its fleet; stays true. */
  bool IsSettled(Instant aNow) const { return aNow >= SettlesAt(); }
  /** How long it has known its fleet; zero if it does not. */
  Duration SettledFor(Instant aNow) const;

private:
  /** When it has found its fleet if no further peer is found. */
  Instant SettlesAt() const;

  Instant startedAt_;
  bool hasSeeds_;
  std::optional<Instant> foundAt_; ///< The last peer.
  bool knowsOlderPeer_ = false;
};

} // namespace gypsum
