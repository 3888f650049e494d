#pragma once

#include "drivers/http/http_message.h"

#include <atomic>
#include <string>
#include <thread>

namespace gypsum::fakes {

/**
 * A TCP relay that tests use to inject network faults.
 *
 * `/control/set?mode=` accepts `open`; `cut`, which closes all present and new
 * connections; and `hold_forward` and `hold_back`, which hold back the bytes of
 * one direction until the mode changes, like a network with packet loss.
 */
class Relay
{
public:
  Relay(const std::string& aListen, std::string aTarget);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  HttpReply Handle(const HttpRequest& aRequest);

private:
  enum class Mode
  {
    Open,
    Cut,
    HoldForward,
    HoldBack,
  };

  void Accept();
  /** Forwards one direction, and pauses while the mode is `aHoldMode`. */
  void ForwardBytes(int aFrom, int aTo, Mode aHoldMode) const;
  void ForwardConnection(int aCaller) const;

  std::string target_;
  int listener_ = -1;
  std::atomic<Mode> mode_ = Mode::Open;
  std::thread acceptor_;
};

} // namespace gypsum::fakes
