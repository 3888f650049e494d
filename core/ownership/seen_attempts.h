#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace gypsum {

/** Whether an attempt has been seen before. */
enum class AttemptStatus
{
  New,         ///< Not seen before; it is now marked as seen.
  Seen,        ///< A duplicate, or cancelled before its arrival.
  BelowWindow, ///< Below the replay window: not known whether it was seen.
  TableFull,   ///< Too many entries to track another one.
};

/** Limits on the attempts that are tracked. */
struct SeenAttemptLimits
{
  std::size_t maxEntries = 0; ///< Maximum number of entry incarnations.
  std::size_t window = 0;     ///< Attempts tracked for each incarnation.
  Duration lifetime{};        ///< Retention after the last attempt of an entry.
};

/**
 * Replay window for each incarnation of an entry.
 *
 * An attempt that was answered "not run" must not run when a late copy of it
 * arrives. Attempt numbers grow within an incarnation, so it suffices to track
 * a window of the highest ones and to refuse every attempt below it.
 */
class SeenAttempts
{
public:
  explicit SeenAttempts(SeenAttemptLimits aLimits);

  /** Returns the status of an attempt and marks it as seen. */
  AttemptStatus Mark(const StageId& aId, Instant aNow);
  /** Number of incarnations tracked. */
  std::size_t Size() const { return windows_.size(); }

private:
  struct Window
  {
    std::vector<std::uint64_t> attempts; ///< Ascending.
    std::uint64_t floor = 0;             ///< Highest attempt evicted.
    Instant lastUse{};
  };

  void DropIdle(Instant aNow);

  SeenAttemptLimits limits_;
  std::map<Incarnation, Window> windows_;
};

} // namespace gypsum
