#pragma once

#include "core/time.h"

namespace gypsum {

/**
 * How long a stopping process that holds nothing more stays to refuse.
 *
 * Those who send to it learn of the stop a little later; what they send until
 * then is refused as not run instead of meeting a closed socket.
 */
class ShutdownLinger
{
public:
  void Begin(Instant aNow);
  /** Something was sent to this process as if it were not stopping. */
  void OnTraffic(Instant aNow);
  /** Whether nobody has sent for a while, or has sent for too long. */
  bool IsOver(Instant aNow) const;

private:
  Instant beganAt_{};
  Instant lastTraffic_{};
};

} // namespace gypsum
