#include "core/ownership/execution_records.h"

#include "core/ownership/key_time.h"

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
  if (IsUsedByAnother(aId.request, aRequestHash)) {
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
  // Without a time in the key only the age of this process can tell that no
  // earlier incarnation ran it.
  const bool isOldEnough = aNow.steady - start_.steady > KeptFor();
  const auto keyTime = KeyTime(aId.request.key);
  if (!keyTime && !isOldEnough) {
    return Admission::Forgot;
  }
  if (keyTime) {
    if (*keyTime + limits_.lifetime + limits_.clockError < aNow.wall) {
      return Admission::Expired;
    }
    // An earlier incarnation took keys up to one clock error ahead of its
    // clock, which itself may have been ahead of this one.
    if (*keyTime <= ForgottenUntil()) {
      return Admission::Forgot;
    }
    if (*keyTime > aNow.wall + limits_.clockError) {
      return Admission::Future;
    }
  }
  if (records_.size() >= limits_.maxRecords ||
      outputBytes_ >= limits_.mostOutputBytes) {
    return Admission::Full;
  }
  records_.emplace(KeyOf(aId), Record{ aRequestHash, false, {} });
  return Admission::Run;
}

bool ExecutionRecords::IsUsedByAnother(const RequestId& aId,
                                       std::uint64_t aRequestHash) const
{
  // All stages of one request stand next to each other.
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
  byAge_.emplace_back(aNow, KeyOf(aId));
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
  while (!byAge_.empty() && aNow - byAge_.front().first > KeptFor()) {
    const auto found = records_.find(byAge_.front().second);
    outputBytes_ -= found->second.reply.output.size();
    records_.erase(found);
    byAge_.pop_front();
  }
}

bool ExecutionRecords::HasUndone(const KeyFilter& aFilter) const
{
  return std::ranges::any_of(records_, [&](const auto& aItem) {
    return !aItem.second.isDone && aFilter(aItem.first.request);
  });
}

bool ExecutionRecords::Copy(const KeyFilter& aFilter,
                            const std::optional<RecordCursor>& aAfter,
                            std::size_t aMostRecords,
                            std::size_t aMostBytes,
                            std::vector<RecordCopy>& aTo) const
{
  std::size_t bytes = 0;
  const auto first = aAfter ? records_.upper_bound(*aAfter) : records_.begin();
  for (auto record = first; record != records_.end(); ++record) {
    if (!aFilter(record->first.request)) {
      continue;
    }
    if (aTo.size() >= aMostRecords || bytes >= aMostBytes) {
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
      outputBytes_ >= limits_.mostOutputBytes) {
    return aRecords.empty();
  }
  for (const RecordCopy& copy : aRecords) {
    const bool isNew =
      records_.emplace(copy.key, Record{ copy.requestHash, true, copy.reply })
        .second;
    if (isNew) {
      outputBytes_ += copy.reply.output.size();
      byAge_.emplace_back(aNow.steady, copy.key);
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
  return std::max(KeptFor() - (aNow - start_.steady), Duration::zero());
}

Duration ExecutionRecords::KeptFor() const
{
  return limits_.lifetime + 2 * limits_.clockError;
}

} // namespace gypsum
