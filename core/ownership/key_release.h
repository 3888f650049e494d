#pragma once

#include "core/messages.h"
#include "core/ownership/execution_records.h"
#include "core/ownership/ownership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace gypsum {

/** A request for a former owner. */
struct ReleaseDue
{
  Slot slot;
  ReleaseRequest request;
};

/**
 * Moves the keys of former owners to this agent, records included.
 *
 * The new owner pulls: it asks each former owner until it has every record.
 * A former owner answers once it has the same revision in force and no run
 * of a moved key is left, so from then on it cannot run one any more.
 */
class KeyRelease
{
public:
  /** The requests whose turn it is. */
  std::vector<ReleaseDue> TakeDue(const Ownership& aOwnership,
                                  Revision aRevision,
                                  Instant aNow);
  /** What a former owner answers; nothing while it cannot release yet. */
  static std::optional<ReleaseReply> Answer(const ReleaseRequest& aRequest,
                                            const Ownership& aOwnership,
                                            const ExecutionRecords& aRecords,
                                            Revision aRevision,
                                            ClockReading aNow);
  /** Takes a part of a release; the last one makes the keys ours. */
  void OnReply(const ReleaseReply& aReply,
               Incarnation aSender,
               Ownership& aOwnership,
               ExecutionRecords& aRecords,
               Revision aRevision,
               ClockReading aNow);

private:
  struct Pull
  {
    Revision revision = 0;
    Incarnation sender = 0; ///< Zero before the first part.
    std::optional<RecordCursor> after;
    std::optional<Instant> lastAsk;
  };

  std::map<Slot, Pull> pulls_;
};

} // namespace gypsum
