#include "tests/support/connection_owner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <filesystem>
#include <string>

namespace gypsum::tests {

namespace {

struct DiagnosisRequest
{
  nlmsghdr header{};
  inet_diag_req_v2 query{};
};

/** Inode of the client's socket; zero if there is none. */
std::uint32_t InodeOf(const boost::asio::ip::tcp::endpoint& aClient,
                      const boost::asio::ip::tcp::endpoint& aServer)
{
  const int link =
    socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (link < 0) {
    return 0;
  }
  const timeval timeout{ 1, 0 };
  setsockopt(link, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  DiagnosisRequest request;
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.query.sdiag_family = AF_INET;
  request.query.sdiag_protocol = IPPROTO_TCP;
  request.query.idiag_states = ~0U;
  request.query.id.idiag_sport = htons(aClient.port());
  request.query.id.idiag_dport = htons(aServer.port());
  request.query.id.idiag_src[0] = htonl(aClient.address().to_v4().to_uint());
  request.query.id.idiag_dst[0] = htonl(aServer.address().to_v4().to_uint());
  std::ranges::fill(request.query.id.idiag_cookie, INET_DIAG_NOCOOKIE);
  std::uint32_t inode = 0;
  std::array<char, 4'096> reply{};
  const bool isSent = send(link, &request, sizeof(request), 0) >= 0;
  const ssize_t bytes = isSent ? recv(link, reply.data(), reply.size(), 0) : 0;
  nlmsghdr header{};
  if (bytes >= static_cast<ssize_t>(NLMSG_HDRLEN + sizeof(inet_diag_msg))) {
    std::memcpy(&header, reply.data(), sizeof(header));
    if (header.nlmsg_type == SOCK_DIAG_BY_FAMILY) {
      inet_diag_msg found{};
      std::memcpy(&found, reply.data() + NLMSG_HDRLEN, sizeof(found));
      inode = found.idiag_inode;
    }
  }
  close(link);
  return inode;
}

bool HasSocket(pid_t aProcess, std::uint32_t aInode)
{
  const std::string wanted = "socket:[" + std::to_string(aInode) + "]";
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(
         "/proc/" + std::to_string(aProcess) + "/fd", error)) {
    std::error_code ignored;
    if (std::filesystem::read_symlink(entry.path(), ignored) == wanted) {
      return true;
    }
  }
  return false;
}

} // namespace

std::optional<pid_t> OwnerOfConnection(
  const boost::asio::ip::tcp::endpoint& aClient,
  const boost::asio::ip::tcp::endpoint& aServer,
  const std::set<pid_t>& aProcesses)
{
  const std::uint32_t inode = InodeOf(aClient, aServer);
  if (inode == 0) {
    return std::nullopt;
  }
  const auto found = std::ranges::find_if(
    aProcesses, [&](pid_t aProcess) { return HasSocket(aProcess, inode); });
  return found == aProcesses.end() ? std::nullopt : std::optional(*found);
}

} // namespace gypsum::tests
