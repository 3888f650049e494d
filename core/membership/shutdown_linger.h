#pragma once

#include "core/time.h"

namespace gypsum {

/**
 * Time that a stopping process without work lingers to refuse new requests.
 *
 * Senders learn of the stop with a delay. Requests they send until then are
 * refused as not run, instead of failing on a closed socket.
 */
class ShutdownLinger
{
public:
  void Begin(Instant aNow);
  /** A request arrived at this process, or an answer was sent. */
  void OnTraffic(Instant aNow);
  /** True after a quiet period without traffic, or after the maximum time. */
  bool IsOver(Instant aNow) const;

private:
  Instant begunAt_{};
  Instant lastTraffic_{};
};

} // namespace gypsum
