#include "core/ownership/key_release.h"

#include <algorithm>

namespace gypsum {

namespace {

constexpr Duration kRequestInterval = std::chrono::milliseconds(200);
constexpr std::size_t kMaxRecordsPerPart = 200;
constexpr std::size_t kMaxBytesPerPart = 262'144;

} // namespace

std::vector<DueReleaseRequest> KeyRelease::TakeDueRequests(
  const Ownership& aOwnership,
  Revision aRevision,
  Instant aNow)
{
  std::vector<DueReleaseRequest> due;
  for (const Slot& slot : aOwnership.Unreleased()) {
    Pull& pull = pulls_[slot];
    if (pull.revision != aRevision) {
      pull = { aRevision, 0, {}, {} };
    }
    if (pull.lastRequestAt && aNow - *pull.lastRequestAt < kRequestInterval) {
      continue;
    }
    pull.lastRequestAt = aNow;
    due.push_back({ slot, { aOwnership.Self(), slot, aRevision, pull.after } });
  }
  return due;
}

std::optional<ReleaseReply> KeyRelease::MakeReply(
  const ReleaseRequest& aRequest,
  const Ownership& aOwnership,
  const ExecutionRecords& aRecords,
  Revision aRevision,
  ClockReading aNow)
{
  // Only with the same revision do both sides agree on which keys move.
  const bool isForUs =
    aRequest.formerOwner == aOwnership.Self() && aRequest.revision == aRevision;
  if (!isForUs) {
    return std::nullopt;
  }
  const auto isMoved = [&](const RequestId& aId) {
    return aOwnership.IsOwnedBy(aId, aRequest.newOwner);
  };
  if (aRecords.HasRunning(isMoved)) {
    return std::nullopt;
  }
  ReleaseReply reply;
  reply.released = aRequest.formerOwner;
  reply.revision = aRevision;
  reply.after = aRequest.after;
  reply.forgottenUntil = aRecords.ForgottenUntil();
  reply.plainKeysWait = aRecords.PlainKeysWait(aNow.steady);
  reply.isLast = aRecords.Copy(isMoved,
                               aRequest.after,
                               kMaxRecordsPerPart,
                               kMaxBytesPerPart,
                               reply.records);
  return reply;
}

void KeyRelease::OnReply(const ReleaseReply& aReply,
                         Incarnation aSender,
                         Ownership& aOwnership,
                         ExecutionRecords& aRecords,
                         Revision aRevision,
                         ClockReading aNow)
{
  const auto found = pulls_.find(aReply.released);
  if (found == pulls_.end() || aReply.revision != aRevision ||
      found->second.revision != aRevision) {
    return;
  }
  Pull& pull = found->second;
  if (pull.sender != 0 && pull.sender != aSender) {
    // The former owner restarted between two parts, so its records differ:
    // start from the first part again.
    pull = { aRevision, 0, {}, {} };
  }
  if (aReply.after != pull.after || !aRecords.Import(aReply.records, aNow)) {
    return;
  }
  if (!aReply.isLast) {
    pull.sender = aSender;
    pull.after = CursorOf(aReply.records.back());
    pull.lastRequestAt.reset();
    return;
  }
  aOwnership.OnReleased(aReply.released,
                        { aReply.revision,
                          aReply.forgottenUntil,
                          aNow.steady + aReply.plainKeysWait });
  pulls_.erase(found);
}

} // namespace gypsum
