#pragma once

#include <cstdint>

namespace gypsum {

/** How a backend server ended a stream of events. */
struct StreamEnd
{
  /** Whether a length or chunks mark the end; else only the connection does. */
  bool isFramed = false;
  bool isInsideEvent = false; ///< The last event is incomplete.
  std::uint64_t events = 0;   ///< Complete events of this response.
};

/**
 * Whether the stream is complete; otherwise the backend server broke it off.
 *
 * Applies to a body that the HTTP reader takes as ended, not to one with a
 * read error.
 */
constexpr bool IsComplete(const StreamEnd& aEnd)
{
  if (aEnd.isInsideEvent) {
    return false;
  }
  // A server that stops after the header closes its connection in the same way
  // as one without events.
  return aEnd.isFramed || aEnd.events > 0;
}

} // namespace gypsum
