#include "drivers/edge/socket_options.h"

#include "core/configuration/section_reader.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace gypsum {

namespace {

/** Unacknowledged data older than this (ten round trips) ends a connection. */
constexpr int kUserTimeoutMs = 2'000;
/** Keep-alive: idle time before the first probe, probe interval, and number of
 * unanswered probes that ends a connection. */
constexpr int kProbeIdleS = 1;
constexpr int kProbeIntervalS = 1;
constexpr int kMaxLostProbes = 2;

template<int Level, int Name>
using IntOption = boost::asio::detail::socket_option::integer<Level, Name>;

} // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& aSocket)
{
  using boost::asio::ip::tcp;
  // If an option cannot be set, the timeouts of the calls still apply.
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPIDLE>(kProbeIdleS),
                     ignored);
  aSocket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPINTVL>(kProbeIntervalS),
                     ignored);
  aSocket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPCNT>(kMaxLostProbes),
                     ignored);
  aSocket.set_option(IntOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs),
                     ignored);
}

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
  std::string_view aAddress)
{
  if (!IsAddress(aAddress)) {
    return std::nullopt;
  }
  const auto colon = aAddress.rfind(':');
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(
    std::string(aAddress.substr(0, colon)), error);
  const auto port = ParseNumber(aAddress.substr(colon + 1));
  if (error || !port) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address,
                                        static_cast<std::uint16_t>(*port));
}

bool HasUnexpectedInput(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  const auto count =
    recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace gypsum
