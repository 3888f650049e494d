#pragma once

#include "core/messages.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gypsum {

/**
 * Names of the replicas that the platform lists as leaving.
 *
 * A name expires unless a read of the platform's list renews it. A slot whose
 * VM was replaced therefore becomes usable again without a message about it.
 */
class LeavingList
{
public:
  /** Adds or renews the names of a list read; true if one is new. */
  bool Renew(const std::vector<std::string>& aNames, Instant aNow);
  /**
   * Adds a peer's names, each for no longer than it remains valid there, so
   * that names passed between peers still expire; true if one is new.
   */
  bool Merge(const std::vector<LeavingReplica>& aReplicas, Instant aNow);
  /** Removes expired names; true if there were any. */
  bool Expire(Instant aNow);

  /** Hash of the names; equal lists have equal digests. */
  std::uint64_t Digest() const { return digest_; }
  std::vector<std::string> Names() const;
  /** The names that have not expired, with their remaining time. */
  std::vector<LeavingReplica> Replicas(Instant aNow) const;

private:
  bool ExtendExpiry(const std::string& aName, Instant aExpiry);
  void RefreshDigest();

  std::map<std::string, Instant> expiryByName_;
  std::uint64_t digest_ = 0;
};

} // namespace gypsum
