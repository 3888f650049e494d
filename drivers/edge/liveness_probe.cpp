#include "drivers/edge/liveness_probe.h"

#include "drivers/clock.h"
#include "drivers/edge/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

namespace gypsum {

namespace asio = boost::asio;
namespace beast = boost::beast;

std::string_view NameOf(Liveness aLiveness)
{
  constexpr std::array<std::string_view, 3> kNames{ "alive", "gone", "silent" };
  return kNames[static_cast<std::size_t>(aLiveness)];
}

namespace {

/** The server that was asked is not the one at the address. */
constexpr unsigned kMisdirected = 421;

/** What failing to connect shows. */
Liveness LivenessOf(const boost::system::error_code& aConnectError)
{
  return aConnectError == asio::error::connection_refused ||
             aConnectError == asio::error::connection_reset
           ? Liveness::Gone
           : Liveness::Silent;
}

} // namespace

asio::awaitable<Liveness> ProbeLiveness(asio::any_io_executor aExecutor,
                                        std::string aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return Liveness::Gone;
  }
  beast::tcp_stream stream(aExecutor);
  boost::system::error_code error;
  stream.expires_after(kConnectTimeout);
  co_await stream.async_connect(
    *endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return LivenessOf(error);
  }
  std::array<char, 1> byte{};
  stream.expires_after(kEndTimeout);
  co_await stream.async_read_some(
    asio::buffer(byte), asio::redirect_error(asio::use_awaitable, error));
  co_return error == beast::error::timeout || !error ? Liveness::Alive
                                                     : Liveness::Gone;
}

asio::awaitable<Liveness> ProbeResponse(asio::any_io_executor aExecutor,
                                        std::string aAddress,
                                        ProbeRequest aRequest,
                                        std::optional<Duration> aTimeout)
{
  const Instant end = aTimeout ? Now().steady + *aTimeout : Instant::max();
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return Liveness::Gone;
  }
  beast::tcp_stream stream(aExecutor);
  boost::system::error_code error;
  stream.expires_at(std::min(end, Now().steady + kConnectTimeout));
  co_await stream.async_connect(
    *endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return LivenessOf(error);
  }
  stream.expires_at(std::min(end, Now().steady + kAnswerTimeout));
  co_await beast::http::async_write(
    stream, aRequest, asio::redirect_error(asio::use_awaitable, error));
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::empty_body> parser;
  co_await beast::http::async_read_header(
    stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return error == beast::error::timeout ? Liveness::Silent
                                             : Liveness::Gone;
  }
  co_return parser.get().result_int() == kMisdirected ? Liveness::Gone
                                                      : Liveness::Alive;
}

} // namespace gypsum
