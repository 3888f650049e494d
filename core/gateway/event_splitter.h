#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gypsum {

/**
 * Splits the bytes of an event stream into complete events.
 *
 * A backend server may fail in the middle of an event, and another one may
 * resume the stream after the last complete event. Only complete events may
 * therefore be forwarded to the client.
 */
class EventSplitter
{
public:
  /** Appends bytes; returns the events that are now complete, unchanged. */
  std::string Add(std::string_view aBytes);
  /** Discards the bytes of the incomplete event. */
  void DropPartial() { partial_.clear(); }
  /** Returns and clears the bytes of the incomplete event. */
  std::string TakePartial() { return std::exchange(partial_, {}); }
  bool HasPartial() const { return !partial_.empty(); }
  /** Bytes of the incomplete event. */
  std::size_t PartialBytes() const { return partial_.size(); }
  /** The id of the last complete event that had one. */
  const std::optional<std::string>& LastId() const { return lastId_; }
  /** Number of complete events. */
  std::uint64_t Events() const { return events_; }

private:
  /** Counts a complete event and stores its id. */
  void ParseEvent(std::string_view aEvent);

  std::string partial_;
  std::optional<std::string> lastId_;
  std::uint64_t events_ = 0;
};

} // namespace gypsum
