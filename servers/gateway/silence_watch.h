#pragma once

#include "core/time.h"
#include "drivers/edge/backend_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace gypsum {

/**
 * Gives up an exchange whose server is silent, once that is of use.
 *
 * From the end of the patience on, it asks several times a second whether to
 * give up, and cancels the exchange if so. It must not outlive the exchange.
 */
class SilenceWatch
{
public:
  /** Called while the server is silent; true to give it up. */
  using MayGiveUp = std::function<bool()>;

  SilenceWatch(boost::asio::io_context& aLoop,
               BackendExchange& aExchange,
               MayGiveUp aMayGiveUp);
  ~SilenceWatch();
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;

  /** Expects a sign of the server within this time from now on. */
  void Expect(Duration aPatience);
  /** Expects nothing any more. */
  void Stop();
  /** Whether the exchange was given up. */
  bool HasGivenUp() const { return hasGivenUp_; }

private:
  void WaitUntil(Instant aTime);

  BackendExchange& exchange_;
  MayGiveUp mayGiveUp_;
  boost::asio::steady_timer timer_;
  bool hasGivenUp_ = false;
  /** Shared with the timer's callback, which may run after the destructor. */
  std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace gypsum
