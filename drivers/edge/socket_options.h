#pragma once

#include "core/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace gypsum {

/**
 * Sets the options of every connection: `TCP_NODELAY`, and keep-alive probes
 * and `TCP_USER_TIMEOUT` to detect a peer that no longer responds.
 */
void SetConnectionOptions(boost::asio::ip::tcp::socket& aSocket);

/** Parses `IPv4:port`; empty if malformed. */
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
  std::string_view aAddress);

/** Whether an idle connection has received bytes, has ended or has failed. */
bool HasUnexpectedInput(boost::asio::ip::tcp::socket& aSocket);

} // namespace gypsum
