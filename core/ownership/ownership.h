#pragma once

#include "core/configuration/manifest.h"
#include "core/identity.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** Conditions under which a former owner has released its keys. */
struct ReleaseTerms
{
  Revision revision = 0;     ///< Active revision of the former owner.
  WallTime forgottenUntil{}; ///< Its records of keys up to here may be lost.
  Instant plainKeysFrom{};   ///< Keys without a time may run from then on.
};

/** Whether this agent owns a key and may run it. */
enum class OwnershipStatus
{
  Owned,
  NotOwner,   ///< The key belongs to another replica by the active manifest.
  Unreleased, ///< A former owner may still run the key.
  RecordLost, ///< A former owner may have run the key and lost its record.
};

/**
 * Tracks which keys an agent owns across revisions of the manifest.
 *
 * A key whose owner changed is not run here until every former owner has
 * released it or the manifest lists that owner's VM as destroyed.
 */
class Ownership
{
public:
  /** An empty address is replaced by the one in the manifest. */
  explicit Ownership(Slot aSelf);

  /**
   * Applies a newer manifest. Slots that it lists as destroyed count as
   * released under the terms `aDestroyed`.
   */
  void Adopt(const Manifest& aManifest, ReleaseTerms aDestroyed);
  /** Decides whether a key may run; `aKeyTime` is empty if it has no time. */
  OwnershipStatus Check(const RequestId& aId,
                        std::optional<WallTime> aKeyTime,
                        Instant aNow) const;
  /** Records that a former owner has released its keys. */
  void OnReleased(const Slot& aSlot, ReleaseTerms aTerms);
  /** Former owners that have not released their keys yet. */
  std::vector<Slot> Unreleased() const;
  /** Whether a slot owns a key by the active manifest. */
  bool IsOwnedBy(const RequestId& aId, const Slot& aSlot) const;
  const Slot& Self() const { return self_; }
  const std::string& Service() const { return service_; }

private:
  static const Slot* OwnerIn(const OwnerSet& aSet, const RequestId& aId);
  void AddFormerOwners(const OwnerSet& aSet);
  bool IsReleased(const Slot& aSlot, Revision aSince) const;

  Slot self_;
  std::string service_;
  OwnerSet current_;
  std::vector<OwnerSet> formerOwners_;
  std::map<Slot, ReleaseTerms> released_;
};

} // namespace gypsum
