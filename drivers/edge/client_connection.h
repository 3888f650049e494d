#pragma once

#include "core/gateway/served_configuration.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gypsum {

/** A complete response to one request, or the head of a streamed one. */
struct EdgeResponse
{
  unsigned status = 200;
  boost::beast::http::fields fields;
  std::string body;
};

/** Result of reading a request. */
enum class RequestReadResult
{
  Complete,
  Malformed,      ///< Status 400.
  HeaderTooLarge, ///< Status 431.
  BodyTooLarge,   ///< Status 413.
  TimedOut,       ///< Status 408.
  Stopped,        ///< Status 503; see `EndReading`.
  Closed,         ///< The client closed the connection or was idle too long.
};

/**
 * The server side of one HTTP/1.1 connection; handles one request at a time.
 *
 * After `WatchForDisconnect` the connection is read while the request is
 * handled, so that a disconnect is detected at once; pipelined bytes are
 * buffered.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  explicit ClientConnection(boost::asio::ip::tcp::socket aSocket);

  boost::asio::awaitable<RequestReadResult> ReadRequest(
    const ClientLimits& aLimits);
  const Request& GetRequest() const { return request_; }
  /** Address of the client; empty if it left before it was accepted. */
  const boost::asio::ip::tcp::endpoint& RemoteEndpoint() const
  {
    return remoteEndpoint_;
  }

  /** Writes a complete response; false if the client has disconnected. */
  boost::asio::awaitable<bool> WriteResponse(EdgeResponse aResponse);
  /** Starts a response of unknown length. */
  boost::asio::awaitable<bool> BeginStream(EdgeResponse aHead);
  boost::asio::awaitable<bool> WritePart(std::string_view aBytes);
  /** Ends the response as complete. */
  boost::asio::awaitable<bool> EndStream();

  /** Calls `aOnDisconnect` once if the client disconnects. */
  void WatchForDisconnect(std::function<void()> aOnDisconnect);
  void StopWatching() { onDisconnect_ = nullptr; }
  bool HasDisconnected() const { return hasDisconnected_; }
  /** Whether the client has closed the connection, as the system knows it now:
   * the event loop may learn of it later. */
  bool HasLeft();

  /** Whether another request may follow on this connection. */
  bool KeepsAlive() const { return keepsAlive_; }
  /** Sends `Connection: close` with the next response and closes after it. */
  void CloseAfterResponse() { keepsAlive_ = false; }
  /** Ends the reading of a request that has begun to arrive. */
  void EndReading();
  /** Whether some byte of a response to this request may have been written. */
  bool HasBegunResponse() const { return hasBegunResponse_; }
  /** Whether no request is being read or handled. */
  bool IsIdle() const { return isIdle_; }
  /** Resets the connection, so that the client sees a started response as
   * incomplete. */
  void Abort();
  /** Closes the connection after the bytes already written. */
  void Close();

private:
  boost::asio::awaitable<RequestReadResult> ReadHeaderAndBody(
    const ClientLimits& aLimits);
  void Watch();
  /** Whether closing the connection, also by the end of the process, resets
   * it. */
  void SetResetOnClose(bool aIsReset);
  void SetFraming(boost::beast::http::fields& aFields) const;
  /** Whether a response to the request has a body: the client expects the next
   * response right after the header of one that has none. */
  bool HasResponseBody(unsigned aStatus) const;

  boost::beast::tcp_stream stream_;
  boost::asio::ip::tcp::endpoint remoteEndpoint_;
  boost::beast::flat_buffer buffer_;
  Request request_;
  std::function<void()> onDisconnect_;
  bool isWatched_ = false;
  bool hasDisconnected_ = false;
  bool keepsAlive_ = true;
  bool isIdle_ = true;
  bool isReading_ = false; ///< A request has begun to arrive.
  bool isReadingEnded_ = false;
  bool hasStreamBody_ = true; ///< Of the response that `BeginStream` began.
  bool isChunked_ = false;
  bool hasBegunResponse_ = false;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

} // namespace gypsum
