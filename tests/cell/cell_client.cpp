#include "tests/cell/cell_client.h"

#include "drivers/clock.h"
#include "drivers/edge/socket_options.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <thread>
#include <utility>

namespace gypsum::tests {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** A stream with its own event loop: `tcp_stream` applies timeouts only to
 * asynchronous calls. */
struct CellClient::Connection
{
  boost::asio::io_context loop;
  beast::tcp_stream stream{ loop };
  beast::flat_buffer buffer;

  template<typename Start>
  boost::system::error_code Await(Start aStart)
  {
    boost::system::error_code result = boost::asio::error::would_block;
    aStart(
      [&](boost::system::error_code aError, auto&&...) { result = aError; });
    loop.restart();
    loop.run();
    return result;
  }
};

CellClient::CellClient(std::string aAddress)
  : address_(std::move(aAddress))
{
}

CellClient::~CellClient() = default;

bool CellClient::Connect()
{
  if (connection_) {
    return true;
  }
  connection_ = std::make_unique<Connection>();
  connection_->stream.expires_after(std::chrono::seconds(1));
  const auto error = connection_->Await([&](auto aDone) {
    connection_->stream.async_connect(*ParseEndpoint(address_),
                                      std::move(aDone));
  });
  if (error) {
    connection_.reset();
  }
  return !error;
}

namespace {

http::request<http::string_body> ToHttp(const CellRequest& aRequest)
{
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aRequest.method);
  request.target(aRequest.path);
  request.set(http::field::host, "cell.example");
  request.set("Attempt-Id", aRequest.attemptId);
  request.set("Credential", aRequest.apiKey);
  request.set("Deadline-Ms", std::to_string(aRequest.deadline.count()));
  if (!aRequest.prompt.empty()) {
    request.set("Model", "m");
    request.set("Token-Counts", "100,40");
    request.set("Prompt-Prefix", aRequest.prompt);
  }
  if (!aRequest.pieces.empty()) {
    request.set("Pieces", aRequest.pieces);
    request.set("Piece-Key", "key-" + aRequest.attemptId);
  }
  for (const auto& [name, value] : aRequest.headers) {
    request.set(name, value);
  }
  if (aRequest.method != "GET") {
    request.body() = aRequest.body;
    request.prepare_payload();
  }
  return request;
}

} // namespace

CellResponse CellClient::Send(const CellRequest& aRequest)
{
  CellResponse response;
  response.sentAt = Now().steady;
  const auto finish = [&] {
    response.endedAt = Now().steady;
    return response;
  };
  if (!Connect()) {
    return finish();
  }
  auto request = ToHttp(aRequest);
  Connection& connection = *connection_;
  connection.stream.expires_after(aRequest.deadline +
                                  std::chrono::milliseconds(200));
  if (connection.Await([&](auto aDone) {
        http::async_write(connection.stream, request, std::move(aDone));
      })) {
    connection_.reset();
    return finish();
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  const auto error = connection.Await([&](auto aDone) {
    http::async_read(
      connection.stream, connection.buffer, parser, std::move(aDone));
  });
  if (parser.is_header_done()) {
    response.status = parser.get().result_int();
    response.replicaSeal = std::string(parser.get()["Replica-Seal"]);
    response.retryAfter = std::string(parser.get()["Retry-After"]);
    response.saysLeaving = parser.get()["Server-Leaving"] == "1";
    response.body = parser.get().body();
    response.isComplete = !error && parser.is_done();
    response.closesConnection = !parser.get().keep_alive();
  }
  if (!response.isComplete || response.closesConnection) {
    connection_.reset();
  }
  return finish();
}

void CellClient::SendAndDisconnect(const CellRequest& aRequest,
                                   std::chrono::milliseconds aDelay)
{
  if (!Connect()) {
    return;
  }
  auto request = ToHttp(aRequest);
  connection_->Await([&](auto aDone) {
    http::async_write(connection_->stream, request, std::move(aDone));
  });
  std::this_thread::sleep_for(aDelay);
  connection_.reset();
}

} // namespace gypsum::tests
