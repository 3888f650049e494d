#pragma once

#include "platform/store_calls.h"
#include "servers/gateway/platform_state.h"
#include "servers/gateway/gateway_state.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace gypsum {

/**
 * Follows configuration and registry in the platform's store, read-only.
 *
 * One watch for each; a watch that found changes is asked again only after a
 * pause, since calls are limited and priced. A gateway that is no reader asks
 * nothing while its peers keep it up to date.
 */
class StoreFollower
{
public:
  using IsReader = std::function<bool()>;

  StoreFollower(GatewayState& aState,
                PlatformState& aPlatformState,
                IsReader aIsReader);
  void Start();

private:
  struct Reply
  {
    enum class Kind
    {
      Good,
      HistoryGone, ///< The changes after that revision are not kept.
      Cut,         ///< A waiting watch was ended without an answer.
      Failed,
    };
    Kind kind = Kind::Failed;
    StoreAnswer answer;
    bool isRefused = false; ///< Too many calls.
  };

  boost::asio::awaitable<void> Follow(StorePart aPart);
  boost::asio::awaitable<bool> List(StorePart aPart, std::uint64_t& aRevision);
  boost::asio::awaitable<Reply> Call(std::string aTarget, Duration aWait);
  boost::asio::awaitable<void> Pause(Duration aTime);
  void Adopt(StorePart aPart, const StoreAnswer& aAnswer);

  GatewayState& state_;
  PlatformState& platformState_;
  IsReader isReader_;
};

} // namespace gypsum
