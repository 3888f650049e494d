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
  /** Far above the events of model replicas, of some hundred bytes. */
  static constexpr std::size_t kMaxEventBytes = 1'048'576;

  /** Appends bytes; returns the events that are now complete, unchanged. */
  std::string Add(std::string_view aBytes);
  /** Discards the bytes of the incomplete event. */
  void DropPartial() { TakePartial(); }
  /** Returns and clears the bytes after the last complete event. */
  std::string TakePartial()
  {
    searchedBytes_ = 0;
    bytesSinceEvent_ = 0;
    return std::exchange(partial_, {});
  }
  /** Number of bytes after the last complete event. */
  std::size_t PartialBytes() const { return partial_.size(); }
  /** Whether an event has begun and is not complete; line ends between two
   * events begin none. */
  bool IsInsideEvent() const
  {
    return partial_.find_first_not_of("\r\n") != std::string::npos;
  }
  /** The id of the last complete event that had one. */
  const std::optional<std::string>& LastId() const { return lastId_; }
  /** Whether more bytes than `kMaxEventBytes` have come since the last event,
   * of one event or of comments and empty lines. */
  bool IsEndless() const { return bytesSinceEvent_ > kMaxEventBytes; }
  /** Number of complete events; comments and empty lines alone are none. */
  std::uint64_t Events() const { return events_; }

private:
  /** Counts a complete event and stores its id. */
  void ParseEvent(std::string_view aEvent, std::size_t aBytesAfter);

  std::string partial_;
  std::size_t searchedBytes_ = 0; ///< Of `partial_`; no event ends there.
  std::size_t bytesSinceEvent_ = 0;
  std::optional<std::string> lastId_;
  std::uint64_t events_ = 0;
};

} // namespace gypsum
