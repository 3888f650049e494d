#pragma once

#include "core/gateway/store_eras.h"
#include "core/gateway/store_list.h"
#include "platform/store_calls.h"
#include "drivers/edge/backend_exchange.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/platform_state.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace gypsum {

/**
 * Follows the configuration, the evacuated zones and the registry in the
 * platform's store, read-only.
 *
 * Runs one watch for the first two and one for the registry. A registry watch
 * that returned changes is repeated only after a pause, since calls are
 * rate-limited and charged for. A gateway that is not a reader makes no calls;
 * its peers keep it up to date.
 *
 * When the store names another era, a watch can't go on: the changes after its
 * revision may be others than those that it waits for. Everything is listed
 * again then.
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
      /** The response is longer than a gateway reads at once. */
      TooLarge,
      /** The connection ended without a response. */
      Interrupted,
      Failed,
    };
    Kind kind = Kind::Failed;
    StoreResponse response;
    std::optional<std::uint64_t> era; ///< Empty if the response names none.
    Instant sentAt{};
    bool isRateLimited = false; ///< Status 429: too many calls.
  };

  boost::asio::awaitable<void> Follow(StorePart aPart);
  boost::asio::awaitable<void> ListOnRequest();
  /** Waits for a change; false if all entries have to be listed first. */
  boost::asio::awaitable<bool> Watch(StorePart aPart,
                                     StoreRevision& aRevision,
                                     Duration& aRetryDelay);
  /** Longest wait for which the knowledge stays young enough. */
  Duration WatchWait(StorePart aPart);
  /** False if not all entries could be listed in one era. */
  boost::asio::awaitable<bool> List(StorePart aPart, StoreRevision& aRevision);
  /** The same; the list tells how far it came. */
  boost::asio::awaitable<bool> ReadPages(StorePart aPart,
                                         StoreList& aList,
                                         StoreRevision& aRevision);
  /** Counts the page of a list that is read next, and logs a long list. */
  void NoteListPage(StorePart aPart, const StoreList& aList);
  boost::asio::awaitable<Reply> Call(std::string aTarget, Duration aWait);
  /** The era that a response names; logs one that is no number. */
  std::optional<std::uint64_t> EraOf(const BackendExchange& aExchange);
  /** Whether a response is of the era in which it was expected; logs it if not.
   */
  bool IsCurrent(StorePart aPart,
                 StoreEras::Verdict aVerdict,
                 std::uint64_t aExpected,
                 const Reply& aReply);
  boost::asio::awaitable<void> Pause(Duration aTime);
  /** Notes whether this gateway reads a part of the store. */
  void SetReading(StorePart aPart, bool aIsReading);
  /** Counts and logs the entries of a response that can't be read. */
  void NoteFaults(StorePart aPart, std::span<const DecodeFault> aFaults);
  void Adopt(StorePart aPart, const StoreResponse& aResponse);
  /** The store has confirmed what one of its lists or watches covers. */
  void OnRead(StorePart aPart, Instant aUpTo);

  GatewayState& state_;
  PlatformState& platformState_;
  IsReader isReader_;
  std::set<StorePart> reading_;
  StoreEras eras_;
  bool isListRequested_ = false;
  bool isListing_ = false;
};

} // namespace gypsum
