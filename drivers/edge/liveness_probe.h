#pragma once

#include "core/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace gypsum {

/** What a new connection to a server shows. */
enum class Liveness
{
  Alive,  ///< It accepts connections.
  Gone,   ///< It refuses connections, or ends them at once.
  Silent, ///< It does not respond.
};

std::string_view NameOf(Liveness aLiveness);

/**
 * Opens a connection without sending a byte and closes it.
 *
 * Returns within `kConnectTimeout` + `kEndTimeout`.
 */
boost::asio::awaitable<Liveness> ProbeLiveness(
  boost::asio::any_io_executor aExecutor,
  std::string aAddress);

using ProbeRequest =
  boost::beast::http::request<boost::beast::http::string_body>;

/**
 * Sends a request on a new connection; any response shows that the server
 * lives, except that of another server at its address (421).
 *
 * Returns within `kConnectTimeout` + `kAnswerTimeout`, and within `aTimeout` if
 * one is given.
 */
boost::asio::awaitable<Liveness> ProbeResponse(
  boost::asio::any_io_executor aExecutor,
  std::string aAddress,
  ProbeRequest aRequest,
  std::optional<Duration> aTimeout = std::nullopt);

/** Several round trips between availability zones. */
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
/** Time in which a process that is ending closes an accepted connection. */
inline constexpr Duration kEndTimeout = std::chrono::milliseconds(30);
/** Time in which a busy server answers a request that it does not execute. */
inline constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1'000);

} // namespace gypsum
