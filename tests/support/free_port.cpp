#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace gypsum::tests {

namespace {

// Below the ephemeral range, so that outgoing connections take none of them.
constexpr int kFirstPort = 10'000;
constexpr int kLastPort = 32'000;
constexpr int kPortsPerProcess = 500;

bool IsFree(int aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool isFree = bind(descriptor,
                           reinterpret_cast<const sockaddr*>(&address),
                           sizeof address) == 0;
  close(descriptor);
  return isFree;
}

int FirstPortOfProcess()
{
  constexpr int kPortRanges = (kLastPort - kFirstPort) / kPortsPerProcess;
  return kFirstPort +
         static_cast<int>(getpid()) % kPortRanges * kPortsPerProcess;
}

} // namespace

std::string FreeAddress()
{
  static int nextPort = FirstPortOfProcess();
  while (nextPort < kLastPort + kPortsPerProcess) {
    const int port = nextPort++;
    if (IsFree(port)) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
  throw std::runtime_error("no free port");
}

} // namespace gypsum::tests
