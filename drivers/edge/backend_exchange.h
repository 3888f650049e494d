#pragma once

#include "core/gateway/body_end.h"
#include "drivers/edge/backend_pool.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gypsum {

/** Result of a step of an exchange. */
enum class ExchangeState
{
  Ok,
  NotConnected, ///< No byte of the request was sent.
  Broken,       ///< The connection ended, or the response is not valid HTTP.
  TimedOut,
};

/** Some bytes of the body of a response. */
struct BodyPart
{
  ExchangeState state = ExchangeState::Ok;
  std::string bytes;
  bool isEnd = false; ///< The body is complete with these bytes.
};

/**
 * One request and its response on a pooled connection.
 *
 * The response is read while the request is still being written, since a
 * backend server may respond before it has read a long body. A connection is
 * reused only after a complete response with no bytes after it.
 */
class BackendExchange
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Head = boost::beast::http::response_header<boost::beast::http::fields>;

  BackendExchange(BackendPool& aPool, std::string aAddress);
  ~BackendExchange();
  BackendExchange(const BackendExchange&) = delete;
  BackendExchange& operator=(const BackendExchange&) = delete;

  boost::asio::awaitable<ExchangeState> Connect(Reuse aReuse,
                                                Instant aDeadline);
  /** Starts to send; the response can be read without waiting for the end. */
  void Send(Request aRequest);
  /** Reads the header of the final response; skips interim (1xx) ones. `Broken`
   * if its status is none that HTTP knows, or one that nobody asked for. */
  boost::asio::awaitable<ExchangeState> ReadHead(Instant aDeadline);
  const Head& GetHead() const { return parser_->get().base(); }
  /** What marks the end of the body; call after `ReadHead`. */
  BodyFraming Framing() const;
  ConnectionEnd GetConnectionEnd() const;
  /** How far the request is written; call after `Send`. */
  RequestWrite GetWrite() const;
  /** Why the write of the request failed; empty if it has not. */
  std::string WriteError() const;
  /** Whether the response was given up for its length in bytes. */
  bool IsEndless() const { return isEndless_; }
  bool HasInvalidStatus() const { return hasInvalidStatus_; }
  /** Reads more of the body; waits for at least one byte or the end. At the end
   * of a connection that ends the body, waits for the end of the write too. */
  boost::asio::awaitable<BodyPart> ReadSome(Instant aDeadline);
  /** Reads the rest of the body; `Broken` if it is longer than the limit, or
   * than what the other bodies leave of `BackendPool::BodyBudget`. The bytes
   * count until the exchange ends. */
  boost::asio::awaitable<BodyPart> ReadRest(Instant aDeadline,
                                            std::size_t aMaxBytes);

  /** Closes the connection; a pending read returns `Broken`. */
  void Cancel();
  /** Returns the connection to the pool if it can be reused, else closes it. If
   * the request is still being written to a server that has not failed it, does
   * so at the end of the write, or at the last deadline of a read. */
  void Finish(std::optional<Duration> aIdleTime, bool aMayReuse);
  /** When its connection was opened; call after `Connect`. */
  Instant OpenedAt() const { return connection_->openedAt; }
  /** Whether an earlier response on its connection was a refusal, which a
   * faulty server may write again. */
  bool HasRefusedBefore() const { return connection_->hasRefused; }
  /** The response is a refusal; marks the connection. */
  void OnRefused() { connection_->hasRefused = true; }
  /** Stores a body that no other response can have, so that a copy of it is
   * known on its connection; for responses that don't name their request. */
  void OnUniqueBody(std::string_view aBody);
  /** Whether an earlier response on its connection had this unique body. */
  bool IsCopy(std::string_view aBody) const;
  /** Whether this is the first request on its connection. */
  bool IsFresh() const { return connection_ && connection_->uses == 0; }

private:
  struct PendingWrite;

  /** Stores how the connection ended; returns the state after an error. */
  ExchangeState OnReadError(const boost::system::error_code& aError);
  /** Whether the server gets the rest of the request after its response; takes
   * a pending one's bytes from `BackendPool::BodyBudget`. */
  bool MayWriteOn();
  /** `Ok` if the body is complete, which the HTTP reader takes as ended. */
  boost::asio::awaitable<ExchangeState> CheckBodyEnd(Instant aDeadline);

  BackendPool& pool_;
  std::string address_;
  BackendConnectionPtr connection_;
  std::shared_ptr<PendingWrite> pendingWrite_;
  std::optional<
    boost::beast::http::response_parser<boost::beast::http::buffer_body>>
    parser_;
  ConnectionEnd connectionEnd_ = ConnectionEnd::Open;
  ByteReservation heldBytes_;
  std::size_t bodyBytes_ = 0;
  std::size_t framingBytes_ = 0; ///< See `kMaxFramingBytes`.
  bool isEndless_ = false;
  bool hasInvalidStatus_ = false;
  bool isHeadRequest_ = false;
  bool isCancelled_ = false;
};

} // namespace gypsum
