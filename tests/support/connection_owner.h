#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <sys/types.h>

#include <optional>
#include <set>

namespace gypsum::tests {

/** The process, one of `aProcesses`, that holds the client's end of an IPv4
 * connection on this machine; empty if it is none of them or has ended. */
std::optional<pid_t> OwnerOfConnection(
  const boost::asio::ip::tcp::endpoint& aClient,
  const boost::asio::ip::tcp::endpoint& aServer,
  const std::set<pid_t>& aProcesses);

} // namespace gypsum::tests
