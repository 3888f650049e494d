#pragma once

#include "drivers/event_log.h"

#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace gypsum {

/** A port that a process listens on. */
struct ListeningPort
{
  std::string_view name;
  std::string address; ///< `IPv4:PORT`.
  /** Takes the port, so that no other process can; no client is connected. */
  std::function<std::error_code()> bind;
  /** Begins to accept connections on the bound port; gives it up on error. */
  std::function<std::error_code()> listen;
};

/**
 * Binds the ports of a process in one step.
 *
 * None accepts connections before all are bound: a client that is connected to
 * a process which still waits for another port would wait with it.
 */
class PortBinding
{
public:
  explicit PortBinding(EventLog& aLog)
    : log_(aLog)
  {
  }

  void Add(ListeningPort aPort);
  /** Binds what is not bound yet, and then has all listen; false if a port
   * can't be had now. Logs the first failure of each. */
  bool TryAll();
  /** Whether a later try may succeed: the last failure passes by itself. */
  bool MayRetry() const;
  /** Logs that the process does not start, for the port that failed last. */
  void LogFailure() const;

private:
  enum class PortState
  {
    Unbound,
    Bound,
    Listening,
  };
  struct Entry
  {
    ListeningPort port;
    PortState state = PortState::Unbound;
    bool isFailureLogged = false;
  };

  /** Takes a port to its next state; stores the failure. */
  bool Advance(Entry& aEntry, PortState aTo);
  void LogHeld(Entry& aEntry);

  EventLog& log_;
  std::vector<Entry> entries_;
  const Entry* failed_ = nullptr; ///< Port of the last failure.
  std::error_code error_;         ///< Of the last failure.
};

} // namespace gypsum
