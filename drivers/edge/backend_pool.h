#pragma once

#include "core/time.h"
#include "drivers/edge/byte_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/** One connection to a backend server or to the store. */
struct BackendConnection
{
  explicit BackendConnection(const boost::asio::any_io_executor& aExecutor)
    : stream(aExecutor)
  {
  }

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::string address;
  Instant openedAt{};
  std::uint64_t uses = 0;
  Instant idleSince{};
  Instant idleUntil{};
  bool isIdle = false;
  bool isWatched = false;  ///< A wait for input is pending.
  bool hasRefused = false; ///< It has carried a refusal.
  /** Hashes of the last bodies that no other response can have, newest first.
   */
  std::deque<std::uint64_t> uniqueBodies;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/** Which idle connections a request may use. */
enum class Reuse
{
  Any,
  /** Only one used within `kRecentIdleTime`: the backend server may have closed
   * an older one. */
  Recent,
};

/**
 * Pool of idle connections by address; used on one event loop.
 *
 * The most recently used connection is reused first. An idle connection on
 * which bytes arrive is closed, since they belong to no request.
 */
class BackendPool
{
public:
  /** Idle time up to which a connection counts as recent. */
  static constexpr Duration kRecentIdleTime = std::chrono::milliseconds(700);
  /** Idle time assumed if the backend server states none. */
  static constexpr Duration kDefaultIdleTime = std::chrono::milliseconds(2'000);
  /** Idle connections are closed this long before the backend server would. */
  static constexpr Duration kIdleMargin = std::chrono::milliseconds(800);
  /** Connecting takes one round trip; a lost packet is retransmitted only after
   * 1 s, beyond this timeout. */
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);

  /** Bytes of long response bodies that are held at a time. While a body grows,
   * its buffer takes up to three times its bytes. */
  static constexpr std::size_t kBodyBudget = 33'554'432;

  explicit BackendPool(boost::asio::any_io_executor aExecutor);

  /** Shared by the bodies of all exchanges. */
  ByteBudget& BodyBudget() { return bodyBudget_; }

  /** Returns an idle or a new connection; null if connecting fails or times
   * out. */
  boost::asio::awaitable<BackendConnectionPtr> Acquire(std::string aAddress,
                                                       Reuse aReuse,
                                                       Instant aDeadline);
  /** Keeps a connection for the next request, for at most `aIdleTime`. */
  void Release(BackendConnectionPtr aConnection, Duration aIdleTime);
  /** Whether the server holds a connection open that existed at a time. */
  bool HasIdleSince(std::string_view aAddress, Instant aAt) const;
  /** Closes the idle connections whose idle time has expired. */
  void CloseExpired(Instant aNow);
  void CloseAll();

  /** Number of connections opened so far. */
  std::uint64_t OpenedCount() const { return opened_; }
  /** A request could not be written whole, as its connection failed. */
  void CountFailedWrite() { ++failedWrites_; }
  std::uint64_t FailedWrites() const { return failedWrites_; }
  std::size_t IdleCount() const;

private:
  BackendConnectionPtr AcquireIdle(std::string_view aAddress, Reuse aReuse);
  void Watch(const BackendConnectionPtr& aConnection);

  boost::asio::any_io_executor executor_;
  std::map<std::string, std::vector<BackendConnectionPtr>, std::less<>> idle_;
  std::uint64_t opened_ = 0;
  std::uint64_t failedWrites_ = 0;
  ByteBudget bodyBudget_{ kBodyBudget };
};

} // namespace gypsum
