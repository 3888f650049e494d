#pragma once

#include "platform/store_calls.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/platform_state.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>
#include <string>

namespace gypsum {

/**
 * Follows the configuration and the registry in the platform's store,
 * read-only.
 *
 * Runs one watch for each. A registry watch that returned changes is repeated
 * only after a pause, since calls are rate-limited and charged for. A gateway
 * that is not a reader makes no calls; its peers keep it up to date.
 */
class StoreFollower
{
public:
  using IsReader = std::function<bool(StorePart)>;

  StoreFollower(GatewayState& aState,
                PlatformState& aPlatformState,
                IsReader aIsReader);
  void Start();
  /** Lists the backend servers soon, whether this gateway is a reader or not.
   */
  void RequestBackendList();

private:
  struct Reply
  {
    enum class Kind
    {
      Success,
      /** The store no longer holds the changes after the given revision. */
      HistoryUnavailable,
      /** The connection ended without a response. */
      Interrupted,
      Failed,
    };
    Kind kind = Kind::Failed;
    StoreResponse response;
    Instant sentAt{};
    bool isRateLimited = false; ///< Status 429: too many calls.
  };

  boost::asio::awaitable<void> Follow(StorePart aPart);
  boost::asio::awaitable<void> ListOnRequest();
  /** Waits for a change; false if all entries have to be listed first. */
  boost::asio::awaitable<bool> Watch(StorePart aPart,
                                     std::uint64_t& aRevision,
                                     Duration& aRetryDelay);
  /** Longest wait for which the knowledge stays young enough. */
  Duration WatchWait(StorePart aPart);
  boost::asio::awaitable<bool> List(StorePart aPart, std::uint64_t& aRevision);
  boost::asio::awaitable<Reply> Call(std::string aTarget, Duration aWait);
  boost::asio::awaitable<void> Pause(Duration aTime);
  /** Notes whether this gateway reads a part of the store. */
  void SetReading(StorePart aPart, bool aIsReading);
  void Adopt(StorePart aPart, const StoreResponse& aResponse);

  GatewayState& state_;
  PlatformState& platformState_;
  IsReader isReader_;
  std::set<StorePart> reading_;
  bool isListRequested_ = false;
  bool isListing_ = false;
};

} // namespace gypsum
