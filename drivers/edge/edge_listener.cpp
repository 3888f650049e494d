#include "drivers/edge/edge_listener.h"

#include "drivers/edge/socket_options.h"
#include "drivers/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kComponent = "edge";
/** Pause after a failed accept, for example when no file descriptor is free. */
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

} // namespace

EdgeListener::EdgeListener(asio::io_context& aLoop,
                           const std::string& aAddress,
                           Session aSession)
  : loop_(aLoop)
  , acceptor_(aLoop)
  , session_(std::move(aSession))
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    throw std::invalid_argument("expected IPv4:PORT, found '" + aAddress + "'");
  }
  endpoint_ = *endpoint;
}

std::error_code EdgeListener::Bind()
{
  boost::system::error_code error;
  acceptor_.open(endpoint_.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint_, error);
  }
  if (error) {
    StopAccepting();
  }
  return error;
}

std::error_code EdgeListener::Listen()
{
  boost::system::error_code error;
  acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    StopAccepting();
  }
  isListening_ = !error;
  return error;
}

void EdgeListener::Start()
{
  if (!isListening_) {
    std::error_code error = Bind();
    error = error ? error : Listen();
    if (error) {
      throw std::system_error(error, "listen");
    }
  }
  asio::co_spawn(loop_, AcceptLoop(), asio::detached);
}

asio::awaitable<void> EdgeListener::AcceptLoop()
{
  while (acceptor_.is_open()) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket = co_await acceptor_.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      Log(Severity::Warning, kComponent, "accept failed: " + error.message());
      asio::steady_timer pause(loop_, kAcceptPause);
      co_await pause.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    StartSession(std::move(socket));
  }
}

void EdgeListener::StartSession(asio::ip::tcp::socket aSocket)
{
  try {
    auto connection = std::make_shared<ClientConnection>(std::move(aSocket));
    connections_.insert(connection);
    asio::co_spawn(loop_, Run(std::move(connection)), asio::detached);
  } catch (const std::exception& error) {
    // The listener goes on; the client sees its connection closed.
    Log(Severity::Error,
        kComponent,
        std::string("session not started: ") + error.what());
  }
}

asio::awaitable<void> EdgeListener::Run(ClientConnectionPtr aConnection)
{
  try {
    co_await session_(aConnection);
  } catch (const std::exception& error) {
    Log(Severity::Error,
        kComponent,
        std::string("session failed: ") + error.what());
  }
  aConnection->StopWatching();
  aConnection->Close();
  connections_.erase(aConnection);
}

void EdgeListener::StopAccepting()
{
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void EdgeListener::CloseIdle()
{
  for (const ClientConnectionPtr& connection : connections_) {
    if (connection->IsIdle()) {
      connection->Close();
    }
  }
}

void EdgeListener::CloseAfterResponses()
{
  std::ranges::for_each(connections_, &ClientConnection::CloseAfterResponse);
}

void EdgeListener::EndReading()
{
  std::ranges::for_each(connections_, &ClientConnection::EndReading);
}

void EdgeListener::AbortAll()
{
  std::ranges::for_each(connections_, &ClientConnection::Abort);
}

std::size_t EdgeListener::BusyCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(connections_, [](const ClientConnectionPtr& aItem) {
      return !aItem->IsIdle();
    }));
}

} // namespace gypsum
