#include "drivers/edge/client_connection.h"

#include "drivers/edge/socket_options.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <poll.h>

#include <array>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/** A client that does not read for this long counts as disconnected. */
constexpr Duration kWriteTimeout = std::chrono::seconds(5);
/** Pipelined bytes buffered while a request is handled. */
constexpr std::size_t kMaxPipelinedBytes = 65'536;
constexpr std::size_t kReadBytes = 4'096;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

RequestReadResult ToReadResult(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return RequestReadResult::HeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return RequestReadResult::BodyTooLarge;
  }
  if (aError == beast::error::timeout) {
    return RequestReadResult::TimedOut;
  }
  const bool isConnectionEnd =
    aError == http::error::end_of_stream ||
    aError == http::error::partial_message ||
    aError.category() == asio::error::get_system_category() ||
    aError.category() == asio::error::get_misc_category();
  return isConnectionEnd ? RequestReadResult::Closed
                         : RequestReadResult::Malformed;
}

/** Whether the header determines the end of the body (RFC 9112, 6.3). */
bool HasUnambiguousLength(const http::fields& aFields)
{
  const auto codings = aFields.equal_range(http::field::transfer_encoding);
  const auto count = std::distance(codings.first, codings.second);
  if (count == 0) {
    return aFields.count(http::field::content_length) <= 1;
  }
  return count == 1 &&
         boost::algorithm::iequals(codings.first->value(), "chunked") &&
         aFields.count(http::field::content_length) == 0;
}

} // namespace

ClientConnection::ClientConnection(asio::ip::tcp::socket aSocket)
  : stream_(std::move(aSocket))
{
  SetConnectionOptions(stream_.socket());
  boost::system::error_code hasLeft;
  remoteEndpoint_ = stream_.socket().remote_endpoint(hasLeft);
}

asio::awaitable<RequestReadResult> ClientConnection::ReadRequest(
  const ClientLimits& aLimits)
{
  isIdle_ = true;
  request_ = {};
  isChunked_ = false;
  hasStreamBody_ = true;
  hasBegunResponse_ = false;
  if (hasDisconnected_) {
    co_return RequestReadResult::Closed;
  }
  while (buffer_.size() == 0) {
    stream_.expires_after(aLimits.idleTime);
    boost::system::error_code error;
    const std::size_t count = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return RequestReadResult::Closed;
    }
    buffer_.commit(count);
  }
  isIdle_ = false;
  isReading_ = true;
  const RequestReadResult result = co_await ReadHeaderAndBody(aLimits);
  isReading_ = false;
  if (isReadingEnded_ && result != RequestReadResult::Complete) {
    co_return RequestReadResult::Stopped;
  }
  co_return result;
}

asio::awaitable<RequestReadResult> ClientConnection::ReadHeaderAndBody(
  const ClientLimits& aLimits)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(aLimits.headerBytes);
  parser.body_limit(aLimits.bodyBytes);
  stream_.expires_after(aLimits.headerTime);
  boost::system::error_code error;
  co_await http::async_read_header(
    stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    keepsAlive_ = false;
    co_return ToReadResult(error);
  }
  if (!HasUnambiguousLength(parser.get().base())) {
    keepsAlive_ = false;
    co_return RequestReadResult::Malformed;
  }
  if (boost::algorithm::iequals(parser.get()[http::field::expect],
                                "100-continue")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
      stream_,
      asio::buffer(kContinue),
      asio::redirect_error(asio::use_awaitable, error));
  }
  stream_.expires_after(aLimits.idleTime);
  if (!parser.is_done()) {
    co_await http::async_read(stream_,
                              buffer_,
                              parser,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  if (error) {
    keepsAlive_ = false;
    co_return ToReadResult(error);
  }
  stream_.expires_never();
  keepsAlive_ = parser.keep_alive();
  request_ = parser.release();
  co_return RequestReadResult::Complete;
}

void ClientConnection::SetFraming(http::fields& aFields) const
{
  if (!keepsAlive_) {
    aFields.set(http::field::connection, "close");
  }
}

asio::awaitable<bool> ClientConnection::WriteResponse(EdgeResponse aResponse)
{
  http::response<http::string_body> response;
  response.version(11);
  response.result(aResponse.status);
  response.base() = http::response_header<>(std::move(aResponse.fields));
  response.result(aResponse.status);
  response.body() = std::move(aResponse.body);
  const bool hasBody = HasResponseBody(aResponse.status);
  if (hasBody) {
    response.content_length(response.body().size());
  }
  SetFraming(response.base());
  hasBegunResponse_ = true;
  stream_.expires_after(kWriteTimeout);
  boost::system::error_code error;
  if (hasBody) {
    co_await http::async_write(
      stream_, response, asio::redirect_error(asio::use_awaitable, error));
  } else {
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
  }
  hasDisconnected_ = hasDisconnected_ || error;
  co_return !error;
}

bool ClientConnection::HasResponseBody(unsigned aStatus) const
{
  return request_.method() != http::verb::head && aStatus != kNoContent &&
         aStatus != kNotModified;
}

asio::awaitable<bool> ClientConnection::BeginStream(EdgeResponse aHead)
{
  // HTTP/1.0 has no chunked coding: the end of the connection ends the
  // response.
  hasStreamBody_ = HasResponseBody(aHead.status);
  isChunked_ = hasStreamBody_ && request_.version() >= 11;
  if (hasStreamBody_ && !isChunked_) {
    keepsAlive_ = false;
    // The system closes the connections of a process that is killed, which
    // would end the response as complete.
    SetResetOnClose(true);
  }
  http::response<http::empty_body> response;
  response.base() = http::response_header<>(std::move(aHead.fields));
  response.version(11);
  response.result(aHead.status);
  if (isChunked_) {
    response.chunked(true);
  }
  SetFraming(response.base());
  hasBegunResponse_ = true;
  http::response_serializer<http::empty_body> serializer(response);
  stream_.expires_after(kWriteTimeout);
  boost::system::error_code error;
  co_await http::async_write_header(
    stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
  hasDisconnected_ = hasDisconnected_ || error;
  co_return !error;
}

asio::awaitable<bool> ClientConnection::WritePart(std::string_view aBytes)
{
  if (aBytes.empty() || !hasStreamBody_) {
    co_return !hasDisconnected_;
  }
  stream_.expires_after(kWriteTimeout);
  boost::system::error_code error;
  const asio::const_buffer bytes = asio::buffer(aBytes.data(), aBytes.size());
  if (isChunked_) {
    co_await asio::async_write(
      stream_,
      http::make_chunk(bytes),
      asio::redirect_error(asio::use_awaitable, error));
  } else {
    co_await asio::async_write(
      stream_, bytes, asio::redirect_error(asio::use_awaitable, error));
  }
  hasDisconnected_ = hasDisconnected_ || error;
  co_return !error;
}

asio::awaitable<bool> ClientConnection::EndStream()
{
  boost::system::error_code error;
  if (isChunked_) {
    stream_.expires_after(kWriteTimeout);
    co_await asio::async_write(
      stream_,
      http::make_chunk_last(),
      asio::redirect_error(asio::use_awaitable, error));
  } else if (hasStreamBody_) {
    SetResetOnClose(false);
  }
  hasDisconnected_ = hasDisconnected_ || error;
  co_return !error;
}

void ClientConnection::WatchForDisconnect(std::function<void()> aOnDisconnect)
{
  onDisconnect_ = std::move(aOnDisconnect);
  Watch();
}

void ClientConnection::Watch()
{
  if (isWatched_ || hasDisconnected_ || !onDisconnect_ ||
      buffer_.size() > kMaxPipelinedBytes) {
    return;
  }
  isWatched_ = true;
  stream_.socket().async_wait(
    asio::socket_base::wait_read,
    [self = shared_from_this()](boost::system::error_code aError) {
      self->isWatched_ = false;
      // Between requests, `ReadRequest` detects the disconnect itself.
      if (!self->onDisconnect_ || aError == asio::error::operation_aborted) {
        return;
      }
      boost::system::error_code error = aError;
      if (!error) {
        self->stream_.socket().non_blocking(true, error);
        const std::size_t count = self->stream_.socket().read_some(
          self->buffer_.prepare(kReadBytes), error);
        self->buffer_.commit(error ? 0 : count);
      }
      if (!error || error == asio::error::would_block) {
        self->Watch();
        return;
      }
      self->hasDisconnected_ = true;
      const auto onDisconnect = std::exchange(self->onDisconnect_, nullptr);
      onDisconnect();
    });
}

bool ClientConnection::HasLeft()
{
  constexpr short kEnd = POLLRDHUP | POLLHUP | POLLERR;
  pollfd item{ stream_.socket().native_handle(), POLLRDHUP, 0 };
  return hasDisconnected_ ||
         (poll(&item, 1, 0) > 0 && (item.revents & kEnd) != 0);
}

void ClientConnection::SetResetOnClose(bool aIsReset)
{
  boost::system::error_code ignored;
  stream_.socket().set_option(asio::socket_base::linger(aIsReset, 0), ignored);
}

void ClientConnection::EndReading()
{
  if (isReading_) {
    isReadingEnded_ = true;
    stream_.cancel();
  }
}

void ClientConnection::Abort()
{
  keepsAlive_ = false;
  // A client cannot mistake a reset for the end of a response.
  SetResetOnClose(true);
  stream_.close();
}

void ClientConnection::Close()
{
  boost::system::error_code ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream_.close();
}

} // namespace gypsum
