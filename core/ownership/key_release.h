#pragma once

#include "core/messages.h"
#include "core/ownership/execution_records.h"
#include "core/ownership/ownership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace gypsum {

/** A release request that is due to be sent to a former owner. */
struct DueReleaseRequest
{
  Slot slot;
  ReleaseRequest request;
};

/**
 * Transfers keys from former owners to this agent, with their records.
 *
 * The new owner pulls: it sends requests to each former owner until it has
 * every record. A former owner replies once the same revision is active there
 * and no moved key is running, so it cannot run a moved key after its reply.
 */
class KeyRelease
{
public:
  /** Requests to send now; marks them as sent. */
  std::vector<DueReleaseRequest> TakeDueRequests(const Ownership& aOwnership,
                                                 Revision aRevision,
                                                 Instant aNow);
  /** Reply of a former owner; nothing while it cannot release the keys. */
  static std::optional<ReleaseReply> MakeReply(const ReleaseRequest& aRequest,
                                               const Ownership& aOwnership,
                                               const ExecutionRecords& aRecords,
                                               Revision aRevision,
                                               ClockReading aNow);
  /** Imports a part of a release; the last part completes the release. */
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
    Incarnation sender = 0;            ///< Zero before the first part.
    std::optional<RecordCursor> after; ///< End of the last part received.
    std::optional<Instant> lastRequestAt;
  };

  std::map<Slot, Pull> pulls_;
};

} // namespace gypsum
