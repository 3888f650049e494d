#include "servers/gateway/silence_watch.h"

#include "drivers/clock.h"

#include <utility>

namespace gypsum {

namespace {

/** How often a silent server is judged anew. */
constexpr Duration kJudgeInterval = std::chrono::milliseconds(100);

} // namespace

SilenceWatch::SilenceWatch(boost::asio::io_context& aLoop,
                           BackendExchange& aExchange,
                           MayGiveUp aMayGiveUp)
  : exchange_(aExchange)
  , mayGiveUp_(std::move(aMayGiveUp))
  , timer_(aLoop)
{
}

SilenceWatch::~SilenceWatch()
{
  *isAlive_ = false;
}

void SilenceWatch::Expect(Duration aPatience)
{
  WaitUntil(Now().steady + aPatience);
}

void SilenceWatch::Stop()
{
  timer_.expires_at(boost::asio::steady_timer::time_point::max());
}

void SilenceWatch::WaitUntil(Instant aTime)
{
  timer_.expires_at(aTime);
  timer_.async_wait(
    [this, isAlive = isAlive_](boost::system::error_code aError) {
      // A callback that was queued before the time was set anew is too early.
      if (aError || !*isAlive || Now().steady < timer_.expiry()) {
        return;
      }
      if (!mayGiveUp_()) {
        WaitUntil(Now().steady + kJudgeInterval);
        return;
      }
      hasGivenUp_ = true;
      exchange_.Cancel();
    });
}

} // namespace gypsum
