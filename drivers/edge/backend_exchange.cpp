#include "drivers/edge/backend_exchange.h"

#include "core/hash.h"
#include "drivers/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/** Of all headers of one response, interim ones included. */
constexpr std::uint32_t kMaxHeaderBytes = 65'536;
/** Unread bytes, such as trailers or the extensions of one chunk. */
constexpr std::size_t kMaxUnreadBytes = 131'072;
/** Bytes of a body that are none of its content: sizes, line ends and
 * extensions of chunks. One byte in a chunk of its own has five. */
constexpr std::size_t kMaxFramingBytes = 65'536;
constexpr std::size_t kMaxFramingRatio = 8;
constexpr std::size_t kPartBytes = 16'384;
/** Shorter bodies don't count against the budget of all bodies. */
constexpr std::size_t kFreeBodyBytes = 65'536;
/** Bodies of a connection that are compared with later ones: a copy comes soon
 * after its response. */
constexpr std::size_t kKnownBodies = 16;
constexpr unsigned kFirstStatus = 100;
/** Offers another protocol, for which no request asks. */
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kFirstErrorStatus = 400;
constexpr unsigned kLastStatus = 599;

bool IsValidStatus(unsigned aStatus)
{
  return aStatus >= kFirstStatus && aStatus <= kLastStatus &&
         aStatus != kSwitchingProtocols;
}

} // namespace

/** Owned by the pending write, which may outlive the exchange. */
struct BackendExchange::PendingWrite
{
  PendingWrite(Request aRequest, BackendConnectionPtr aConnection)
    : request(std::move(aRequest))
    , connection(std::move(aConnection))
    , ended(connection->stream.get_executor())
  {
  }

  void OnEnded(const boost::system::error_code& aError, BackendPool& aPool)
  {
    state = aError ? RequestWrite::Failed : RequestWrite::Written;
    error = aError;
    ended.cancel();
    if (aError && aError != asio::error::operation_aborted) {
      aPool.CountFailedWrite();
    }
    if (!idleTime) {
      return;
    }
    aPool.BodyBudget().Return(request.body().size());
    if (aError) {
      connection->stream.close();
    } else {
      aPool.Release(std::exchange(connection, nullptr), *idleTime);
    }
  }

  Request request;
  BackendConnectionPtr connection;
  RequestWrite state = RequestWrite::Pending;
  boost::system::error_code error;
  asio::steady_timer ended; ///< Cancelled when the write ends.
  /** Set once the exchange is over: the body counts against the budget of all
   * bodies, and the connection goes to the pool if the write succeeds. */
  std::optional<Duration> idleTime;
};

BackendExchange::BackendExchange(BackendPool& aPool, std::string aAddress)
  : pool_(aPool)
  , address_(std::move(aAddress))
  , heldBytes_(aPool.BodyBudget())
{
}

BackendExchange::~BackendExchange()
{
  Cancel();
}

ExchangeState BackendExchange::OnReadError(
  const boost::system::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return ExchangeState::TimedOut;
  }
  isEndless_ = aError == http::error::header_limit ||
               aError == http::error::buffer_overflow;
  const bool isClosed = aError == http::error::end_of_stream ||
                        aError == http::error::partial_message ||
                        aError == asio::error::eof;
  if (isClosed) {
    connectionEnd_ = ConnectionEnd::Closed;
  } else if (aError.category() == asio::error::get_system_category()) {
    connectionEnd_ = ConnectionEnd::Reset;
  }
  return ExchangeState::Broken;
}

asio::awaitable<ExchangeState> BackendExchange::Connect(Reuse aReuse,
                                                        Instant aDeadline)
{
  connection_ = co_await pool_.Acquire(address_, aReuse, aDeadline);
  if (!connection_) {
    co_return ExchangeState::NotConnected;
  }
  if (isCancelled_) {
    connection_->stream.close();
    co_return ExchangeState::NotConnected;
  }
  connection_->buffer.max_size(kMaxUnreadBytes);
  co_return ExchangeState::Ok;
}

void BackendExchange::Send(Request aRequest)
{
  isHeadRequest_ = aRequest.method() == http::verb::head;
  pendingWrite_ =
    std::make_shared<PendingWrite>(std::move(aRequest), connection_);
  http::async_write(connection_->stream,
                    pendingWrite_->request,
                    [&pool = pool_, pendingWrite = pendingWrite_](
                      boost::system::error_code aError, std::size_t) {
                      pendingWrite->OnEnded(aError, pool);
                    });
}

RequestWrite BackendExchange::GetWrite() const
{
  return pendingWrite_->state;
}

std::string BackendExchange::WriteError() const
{
  return GetWrite() == RequestWrite::Failed ? pendingWrite_->error.message()
                                            : "";
}

ConnectionEnd BackendExchange::GetConnectionEnd() const
{
  const bool hasWriteFailed =
    pendingWrite_ && GetWrite() == RequestWrite::Failed &&
    pendingWrite_->error.category() == asio::error::get_system_category();
  return connectionEnd_ == ConnectionEnd::Closed && hasWriteFailed
           ? ConnectionEnd::Reset
           : connectionEnd_;
}

asio::awaitable<ExchangeState> BackendExchange::ReadHead(Instant aDeadline)
{
  connection_->stream.expires_at(aDeadline);
  std::size_t headerBytes = 0;
  while (headerBytes < kMaxHeaderBytes) {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes -
                          static_cast<std::uint32_t>(headerBytes));
    parser_->body_limit(boost::none);
    parser_->skip(isHeadRequest_);
    boost::system::error_code error;
    headerBytes += co_await http::async_read_header(
      connection_->stream,
      connection_->buffer,
      *parser_,
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return OnReadError(error);
    }
    const unsigned status = parser_->get().result_int();
    if (!IsValidStatus(status)) {
      hasInvalidStatus_ = true;
      co_return ExchangeState::Broken;
    }
    if (status >= kFirstFinalStatus) {
      bodyBytes_ = 0;
      framingBytes_ = 0;
      co_return ExchangeState::Ok;
    }
  }
  isEndless_ = true;
  co_return ExchangeState::Broken;
}

asio::awaitable<BodyPart> BackendExchange::ReadSome(Instant aDeadline)
{
  BodyPart part;
  std::array<char, kPartBytes> bytes;
  connection_->stream.expires_at(aDeadline);
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    body.more = true;
    boost::system::error_code error;
    const std::size_t readBytes = co_await http::async_read_some(
      connection_->stream,
      connection_->buffer,
      *parser_,
      asio::redirect_error(asio::use_awaitable, error));
    const std::size_t contentBytes = bytes.size() - body.size;
    part.bytes.append(bytes.data(), contentBytes);
    bodyBytes_ += contentBytes;
    framingBytes_ += readBytes - std::min(readBytes, contentBytes);
    if (framingBytes_ > kMaxFramingBytes + kMaxFramingRatio * bodyBytes_) {
      isEndless_ = true;
      part.state = ExchangeState::Broken;
      co_return part;
    }
    if (error && error != http::error::need_buffer) {
      part.state = OnReadError(error);
      co_return part;
    }
    if (!part.bytes.empty()) {
      break;
    }
  }
  if (parser_->is_done()) {
    part.state = co_await CheckBodyEnd(aDeadline);
    part.isEnd = part.state == ExchangeState::Ok;
  }
  co_return part;
}

asio::awaitable<ExchangeState> BackendExchange::CheckBodyEnd(Instant aDeadline)
{
  if (Framing() == BodyFraming::ConnectionEnd) {
    connectionEnd_ = ConnectionEnd::Closed;
  }
  const auto judge = [&] { return JudgeBody({ Framing(), GetWrite() }); };
  if (judge() == Completeness::KnownAfterWrite) {
    pendingWrite_->ended.expires_at(aDeadline);
    boost::system::error_code ignored;
    co_await pendingWrite_->ended.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  const Completeness completeness = judge();
  if (completeness == Completeness::Complete) {
    co_return ExchangeState::Ok;
  }
  const bool isLate = completeness == Completeness::KnownAfterWrite ||
                      pendingWrite_->error == beast::error::timeout;
  co_return isLate ? ExchangeState::TimedOut : ExchangeState::Broken;
}

BodyFraming BackendExchange::Framing() const
{
  if (parser_->chunked()) {
    return BodyFraming::Chunks;
  }
  return parser_->need_eof() ? BodyFraming::ConnectionEnd : BodyFraming::Length;
}

asio::awaitable<BodyPart> BackendExchange::ReadRest(Instant aDeadline,
                                                    std::size_t aMaxBytes)
{
  BodyPart rest;
  while (!rest.isEnd && rest.state == ExchangeState::Ok) {
    BodyPart part = co_await ReadSome(aDeadline);
    rest.bytes.append(part.bytes);
    rest.isEnd = part.isEnd;
    rest.state = part.state;
    const bool hasRoom = rest.bytes.size() <= kFreeBodyBytes ||
                         heldBytes_.Reserve(rest.bytes.size());
    if (rest.bytes.size() > aMaxBytes || !hasRoom) {
      isEndless_ = true;
      rest.state = ExchangeState::Broken;
    }
  }
  co_return rest;
}

void BackendExchange::OnUniqueBody(std::string_view aBody)
{
  auto& bodies = connection_->uniqueBodies;
  bodies.push_front(Checksum(aBody));
  if (bodies.size() > kKnownBodies) {
    bodies.pop_back();
  }
}

bool BackendExchange::IsCopy(std::string_view aBody) const
{
  const auto& bodies = connection_->uniqueBodies;
  return std::ranges::find(bodies, Checksum(aBody)) != bodies.end();
}

void BackendExchange::Cancel()
{
  isCancelled_ = true;
  if (connection_) {
    connection_->stream.close();
  }
}

void BackendExchange::Finish(std::optional<Duration> aIdleTime, bool aMayReuse)
{
  const bool isClean = connection_ && pendingWrite_ && parser_ &&
                       parser_->is_done() && parser_->keep_alive() &&
                       !parser_->need_eof() && connection_->buffer.size() == 0;
  if (!isClean || !aMayReuse || !MayWriteOn()) {
    Cancel();
    connection_.reset();
    return;
  }
  ++connection_->uses;
  const Duration idleTime = aIdleTime.value_or(BackendPool::kDefaultIdleTime);
  if (GetWrite() == RequestWrite::Written) {
    pool_.Release(std::exchange(connection_, nullptr), idleTime);
    return;
  }
  pendingWrite_->idleTime = idleTime;
  connection_.reset();
}

bool BackendExchange::MayWriteOn()
{
  if (GetWrite() != RequestWrite::Pending) {
    return GetWrite() == RequestWrite::Written;
  }
  // A server that has responded early may read the rest of the request later,
  // but needs none of one that it has failed.
  return parser_->get().result_int() < kFirstErrorStatus &&
         pool_.BodyBudget().Take(pendingWrite_->request.body().size());
}

} // namespace gypsum
