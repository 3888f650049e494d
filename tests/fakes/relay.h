#pragma once

#include "drivers/http/http_message.h"

#include <atomic>
#include <string>
#include <thread>

namespace gypsum::fakes {

/**
 * A TCP relay that a test bench can cut.
 *
 * `/control/set?mode=` takes `open`; `cut`, which closes all connections and
 * every new one; `hold_forward` and `hold_back`, which keep the bytes of one
 * direction until `open`, as a network does that loses packets for a while.
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
  void ForwardBytes(int aFrom, int aTo, Mode aHoldMode) const;
  void ForwardConnection(int aCaller) const;

  std::string target_;
  int listener_ = -1;
  std::atomic<Mode> mode_ = Mode::Open;
  std::thread acceptor_;
};

} // namespace gypsum::fakes
