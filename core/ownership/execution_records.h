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

/** Picks keys. */
using KeyFilter = std::function<bool(const RequestId&)>;

/** How long and how many executions an owner remembers. */
struct RecordLimits
{
  std::size_t maxRecords = 0;
  Duration lifetime{};   ///< After which a caller may no longer ask again.
  Duration clockError{}; ///< Largest error between two wall clocks.
  std::size_t mostOutputBytes = 33'554'432; ///< Of all records together.
};

/** The answer to "may this key run here now?". */
enum class Admission
{
  Run,      ///< Recorded as running; the caller of the record must run it.
  Join,     ///< It runs already; the outcome will come.
  Replay,   ///< It ran; the recorded outcome is the answer.
  Conflict, ///< The key was used with another body.
  Forgot,   ///< It may have run before this incarnation: unknown.
  Future,   ///< The key's time lies too far ahead: not run.
  Expired,  ///< The key is older than records live: unknown.
  Full,     ///< No room for a record: not run.
};

/**
 * What the owner of keys remembers, so that each key runs at most once.
 *
 * A record is kept for its whole lifetime: a full table refuses new keys and
 * never forgets an old one early. An owner that has restarted refuses every
 * key that may be older than its start.
 */
class ExecutionRecords
{
public:
  /** One executed or running stage of a key. */
  struct Record
  {
    std::uint64_t requestHash = 0;
    bool isDone = false;
    StageReply reply; ///< Valid once done.
  };

  ExecutionRecords(RecordLimits aLimits, ClockReading aStart);

  /** Decides on a key; `Run` leaves a record behind. */
  Admission Admit(const StageId& aId,
                  std::uint64_t aRequestHash,
                  ClockReading aNow);
  /** Stores the outcome of a running key; its lifetime starts now. */
  void Finish(const StageId& aId, StageReply aReply, Instant aNow);
  /** Forgets a key that was admitted but confirmed never to run. */
  void Withdraw(const StageId& aId);
  /** The record of a key, or null. */
  const Record* Find(const StageId& aId) const;
  /** Whether a key that fits still runs. */
  bool HasUndone(const KeyFilter& aFilter) const;
  /** Copies records after a cursor, in key order; true if none is left. */
  bool Copy(const KeyFilter& aFilter,
            const std::optional<RecordCursor>& aAfter,
            std::size_t aMostRecords,
            std::size_t aMostBytes,
            std::vector<RecordCopy>& aTo) const;
  /** Takes records of a former owner; none of them if there is no room. */
  bool Import(std::span<const RecordCopy> aRecords, ClockReading aNow);
  /** Long enough for a key to be expired by every clock. */
  Duration KeptFor() const;
  /** Keys with a time up to this may have run before a start at `aStart`. */
  WallTime ForgottenUntil(WallTime aStart) const;
  WallTime ForgottenUntil() const { return ForgottenUntil(start_.wall); }
  /** How long keys without a time may still have run before the start. */
  Duration PlainKeysWait(Instant aNow) const;
  std::size_t Size() const { return records_.size(); }
  std::size_t OutputBytes() const { return outputBytes_; }

private:
  using Key = RecordCursor;

  static Key KeyOf(const StageId& aId) { return { aId.request, aId.stage }; }
  Admission AdmitNew(const StageId& aId,
                     std::uint64_t aRequestHash,
                     ClockReading aNow);
  bool IsUsedByAnother(const RequestId& aId, std::uint64_t aRequestHash) const;
  void DropExpired(Instant aNow);

  RecordLimits limits_;
  ClockReading start_;
  std::map<Key, Record> records_;
  std::deque<std::pair<Instant, Key>> byAge_; ///< Done ones, oldest first.
  std::size_t outputBytes_ = 0;
};

} // namespace gypsum
