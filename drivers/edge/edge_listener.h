#pragma once

#include "drivers/edge/client_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <set>
#include <string>
#include <system_error>

namespace gypsum {

/**
 * Accepts connections on one address and runs a session for each.
 *
 * Tracks its connections, so that the idle ones can be closed on shutdown.
 */
class EdgeListener
{
public:
  using Session =
    std::function<boost::asio::awaitable<void>(ClientConnectionPtr)>;

  /** Throws `std::invalid_argument` if the address is malformed. */
  EdgeListener(boost::asio::io_context& aLoop,
               const std::string& aAddress,
               Session aSession);

  /** Takes the address; connections are refused until `Listen`. */
  std::error_code Bind();
  /** Has the kernel accept connections; gives the address up on error. */
  std::error_code Listen();
  /** Serves connections; binds and listens first if that was not done, and
   * throws `std::system_error` if the address can't be had. */
  void Start();
  void StopAccepting();
  /** Closes the connections that are between requests. */
  void CloseIdle();
  /** Asks clients to send their next request on another connection. */
  void CloseAfterResponses();
  /** Ends the reading of requests that have not arrived whole. */
  void EndReading();
  /** Resets all connections, as the end of the process would. */
  void AbortAll();
  std::size_t Connections() const { return connections_.size(); }
  /** Number of connections with a request that is being read or handled. */
  std::size_t BusyCount() const;

private:
  boost::asio::awaitable<void> AcceptLoop();
  void StartSession(boost::asio::ip::tcp::socket aSocket);
  boost::asio::awaitable<void> Run(ClientConnectionPtr aConnection);

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::endpoint endpoint_;
  boost::asio::ip::tcp::acceptor acceptor_;
  bool isListening_ = false;
  Session session_;
  std::set<ClientConnectionPtr> connections_;
};

} // namespace gypsum
