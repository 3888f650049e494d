#pragma once

#include "core/messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace gypsum {

/** Predicate that selects keys. */
using KeyFilter = std::function<bool(const RequestId&)>;

/** Limits on the execution records that an owner keeps. */
struct RecordLimits
{
  std::size_t maxRecords = 0;
  Duration lifetime{};   ///< Time after which a caller may no longer retry.
  Duration clockError{}; ///< Maximum difference between two wall clocks.
  std::size_t maxOutputBytes = 33'554'432; ///< Limit for all records together.
};

/** Decision on whether a key may run at its owner now. */
enum class Admission
{
  Run,        ///< Recorded as running; the caller of `Admit` must run it.
  Join,       ///< Already running; its outcome will follow.
  Replay,     ///< Already done; the recorded outcome is the reply.
  Conflict,   ///< The key was used with a different body.
  RecordLost, ///< It may have run in an earlier incarnation: unknown.
  Future,     ///< The time in the key is too far in the future: not run.
  Expired,    ///< The key is older than the record lifetime: unknown.
  Full,       ///< The table is full: not run.
};

/**
 * Execution records of an owner, which ensure that each key runs at most once.
 *
 * A record is kept for its whole lifetime: a full table refuses new keys and
 * never evicts a record early. An owner that has restarted has lost its
 * records, so it refuses every key that may be older than its start.
 */
class ExecutionRecords
{
public:
  /** One running or finished stage of a key. */
  struct Record
  {
    std::uint64_t requestHash = 0;
    bool isDone = false;
    StageReply reply; ///< Valid once done.
  };

  ExecutionRecords(RecordLimits aLimits, ClockReading aStart);

  /** Decides whether a key may run; `Run` also adds a record. */
  Admission Admit(const StageId& aId,
                  std::uint64_t aRequestHash,
                  ClockReading aNow);
  /** Stores the outcome of a running key; its lifetime starts now. */
  void Finish(const StageId& aId, StageReply aReply, Instant aNow);
  /** Removes the record of a key that is confirmed never to run. */
  void Withdraw(const StageId& aId);
  /** The record of a key, or null. */
  const Record* Find(const StageId& aId) const;
  /** Whether any selected key is still running. */
  bool HasRunning(const KeyFilter& aFilter) const;
  /** Copies records after a cursor, in key order; true if none remain. */
  bool Copy(const KeyFilter& aFilter,
            const std::optional<RecordCursor>& aAfter,
            std::size_t aMaxRecords,
            std::size_t aMaxBytes,
            std::vector<RecordCopy>& aTo) const;
  /** Adds all records of a former owner; adds none and fails if full. */
  bool Import(std::span<const RecordCopy> aRecords, ClockReading aNow);
  /** Time after which a key has expired by every clock. */
  Duration RetentionPeriod() const;
  /** Keys made up to this time may have run before a start at `aStart`. */
  WallTime ForgottenUntil(WallTime aStart) const;
  WallTime ForgottenUntil() const { return ForgottenUntil(start_.wall); }
  /** Remaining time in which keys without a time may have run before start. */
  Duration PlainKeysWait(Instant aNow) const;
  std::size_t Size() const { return records_.size(); }
  std::size_t OutputBytes() const { return outputBytes_; }

private:
  using Key = RecordCursor;

  static Key KeyOf(const StageId& aId) { return { aId.request, aId.stage }; }
  Admission AdmitNew(const StageId& aId,
                     std::uint64_t aRequestHash,
                     ClockReading aNow);
  bool HasConflictingRequest(const RequestId& aId,
                             std::uint64_t aRequestHash) const;
  void DropExpired(Instant aNow);

  RecordLimits limits_;
  ClockReading start_;
  std::map<Key, Record> records_;
  std::deque<std::pair<Instant, Key>> finishedByAge_; ///< Oldest first.
  std::size_t outputBytes_ = 0;
};

} // namespace gypsum
