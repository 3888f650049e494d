#include "core/ownership/execution_records.h"

#include "core/ownership/uuid_v7_time.h"

#include <algorithm>
#include <utility>

namespace gypsum {

ExecutionRecords::ExecutionRecords(RecordLimits aLimits, ClockReading aStart)
  : limits_(aLimits)
  , start_(aStart)
{
}

Admission ExecutionRecords::Admit(const StageId& aId,
                                  std::uint64_t aRequestHash,
                                  ClockReading aNow)
{
  DropExpired(aNow.steady);
  if (HasConflictingRequest(aId.request, aRequestHash)) {
    return Admission::Conflict;
  }
  const Record* const record = Find(aId);
  if (!record) {
    return AdmitNew(aId, aRequestHash, aNow);
  }
  return record->isDone ? Admission::Replay : Admission::Join;
}

Admission ExecutionRecords::AdmitNew(const StageId& aId,
                                     std::uint64_t aRequestHash,
                                     ClockReading aNow)
{
  // A key without a time may have run in an earlier incarnation, unless this
  // process is older than any key can be.
  const bool isUpLongEnough = aNow.steady - start_.steady > RetentionPeriod();
  const auto keyTime = UuidV7Time(aId.request.key);
  if (!keyTime && !isUpLongEnough) {
    return Admission::RecordLost;
  }
  if (keyTime) {
    if (*keyTime + limits_.lifetime + limits_.clockError < aNow.wall) {
      return Admission::Expired;
    }
    // An earlier incarnation accepted keys up to one clock error ahead of its
    // own clock, which may itself have been ahead of this one.
    if (*keyTime <= ForgottenUntil()) {
      return Admission::RecordLost;
    }
    if (*keyTime > aNow.wall + limits_.clockError) {
      return Admission::Future;
    }
  }
  if (records_.size() >= limits_.maxRecords ||
      outputBytes_ >= limits_.maxOutputBytes) {
    return Admission::Full;
  }
  records_.emplace(KeyOf(aId), Record{ aRequestHash, false, {} });
  return Admission::Run;
}

bool ExecutionRecords::HasConflictingRequest(const RequestId& aId,
                                             std::uint64_t aRequestHash) const
{
  // All stages of one request are adjacent in the map.
  const auto first = records_.lower_bound({ aId, 0 });
  return first != records_.end() && first->first.request == aId &&
         first->second.requestHash != aRequestHash;
}

void ExecutionRecords::Finish(const StageId& aId,
                              StageReply aReply,
                              Instant aNow)
{
  const auto found = records_.find(KeyOf(aId));
  if (found == records_.end() || found->second.isDone) {
    return;
  }
  outputBytes_ += aReply.output.size();
  found->second.isDone = true;
  found->second.reply = std::move(aReply);
  finishedByAge_.emplace_back(aNow, KeyOf(aId));
}

void ExecutionRecords::Withdraw(const StageId& aId)
{
  const auto found = records_.find(KeyOf(aId));
  if (found != records_.end() && !found->second.isDone) {
    records_.erase(found);
  }
}

const ExecutionRecords::Record* ExecutionRecords::Find(const StageId& aId) const
{
  const auto found = records_.find(KeyOf(aId));
  return found == records_.end() ? nullptr : &found->second;
}

void ExecutionRecords::DropExpired(Instant aNow)
{
  while (!finishedByAge_.empty() &&
         aNow - finishedByAge_.front().first > RetentionPeriod()) {
    const auto found = records_.find(finishedByAge_.front().second);
    outputBytes_ -= found->second.reply.output.size();
    records_.erase(found);
    finishedByAge_.pop_front();
  }
}

bool ExecutionRecords::HasRunning(const KeyFilter& aFilter) const
{
  return std::ranges::any_of(records_, [&](const auto& aItem) {
    return !aItem.second.isDone && aFilter(aItem.first.request);
  });
}

bool ExecutionRecords::Copy(const KeyFilter& aFilter,
                            const std::optional<RecordCursor>& aAfter,
                            std::size_t aMaxRecords,
                            std::size_t aMaxBytes,
                            std::vector<RecordCopy>& aTo) const
{
  std::size_t bytes = 0;
  const auto first = aAfter ? records_.upper_bound(*aAfter) : records_.begin();
  for (auto record = first; record != records_.end(); ++record) {
    if (!aFilter(record->first.request)) {
      continue;
    }
    if (aTo.size() >= aMaxRecords || bytes >= aMaxBytes) {
      return false;
    }
    bytes += record->second.reply.output.size();
    aTo.push_back(
      { record->first, record->second.requestHash, record->second.reply });
  }
  return true;
}

bool ExecutionRecords::Import(std::span<const RecordCopy> aRecords,
                              ClockReading aNow)
{
  DropExpired(aNow.steady);
  if (records_.size() + aRecords.size() > limits_.maxRecords ||
      outputBytes_ >= limits_.maxOutputBytes) {
    return aRecords.empty();
  }
  for (const RecordCopy& copy : aRecords) {
    const bool isNew =
      records_.emplace(copy.key, Record{ copy.requestHash, true, copy.reply })
        .second;
    if (isNew) {
      outputBytes_ += copy.reply.output.size();
      finishedByAge_.emplace_back(aNow.steady, copy.key);
    }
  }
  return true;
}

WallTime ExecutionRecords::ForgottenUntil(WallTime aStart) const
{
  return std::chrono::floor<std::chrono::milliseconds>(aStart +
                                                       2 * limits_.clockError);
}

Duration ExecutionRecords::PlainKeysWait(Instant aNow) const
{
  return std::max(RetentionPeriod() - (aNow - start_.steady), Duration::zero());
}

Duration ExecutionRecords::RetentionPeriod() const
{
  return limits_.lifetime + 2 * limits_.clockError;
}

} // namespace gypsum
