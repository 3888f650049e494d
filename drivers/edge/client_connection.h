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

/** A whole answer to one request. */
struct EdgeResponse
{
  unsigned status = 200;
  boost::beast::http::fields fields;
  std::string body;
};

/** What reading a request came to. */
enum class RequestReadResult
{
  Complete,
  Malformed,      ///< 400.
  HeaderTooLarge, ///< 431.
  BodyTooLarge,   ///< 413.
  TooSlow,        ///< 408.
  Ended,          ///< The client closed, or stayed idle too long.
};

/**
 * The server's side of one HTTP/1.1 connection, one request at a time.
 *
 * Between `WatchForDisconnect` and the answer the connection is read, so that a
 * client that leaves is noticed at once; pipelined bytes are kept.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  explicit ClientConnection(boost::asio::ip::tcp::socket aSocket);

  boost::asio::awaitable<RequestReadResult> ReadRequest(
    const ClientLimits& aLimits);
  const Request& GetRequest() const { return request_; }

  /** Writes a whole answer; false if the client is gone. */
  boost::asio::awaitable<bool> WriteResponse(EdgeResponse aAnswer);
  /** Begins an answer whose length is not known yet. */
  boost::asio::awaitable<bool> BeginStream(EdgeResponse aHead);
  boost::asio::awaitable<bool> WritePart(std::string_view aBytes);
  /** Ends the answer as whole. */
  boost::asio::awaitable<bool> EndStream();

  void WatchForDisconnect(std::function<void()> aOnLeave);
  void StopWatching() { onLeave_ = nullptr; }
  bool HasDisconnected() const { return hasLeft_; }

  /** Whether another request may follow on this connection. */
  bool KeepsAlive() const { return keepsAlive_; }
  /** The next answer tells the client that the connection ends. */
  void CloseAfterResponse() { keepsAlive_ = false; }
  bool IsIdle() const { return isIdle_; }
  /** Ends the connection so that an answer under way is seen as cut. */
  void Abort();
  /** Ends it after what was written. */
  void Close();

private:
  boost::asio::awaitable<RequestReadResult> ReadHeaderAndBody(
    const ClientLimits& aLimits);
  void Watch();
  void SetFraming(boost::beast::http::fields& aFields) const;

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  Request request_;
  std::function<void()> onLeave_;
  bool isWatched_ = false;
  bool hasLeft_ = false;
  bool keepsAlive_ = true;
  bool isIdle_ = true;
  bool isChunked_ = false;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

} // namespace gypsum
