#include "tests/fakes/relay.h"

#include "drivers/address.h"
#include "tests/fakes/query.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <map>
#include <system_error>
#include <utility>

namespace gypsum::fakes {

namespace {

constexpr unsigned kNotFound = 404;
constexpr int kBacklog = 1'024;
constexpr int kPollMs = 10;
constexpr std::chrono::milliseconds kHoldPollInterval{ 5 };

int OpenSocket()
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int isOn = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
  return descriptor;
}

sockaddr_in ToNative(const std::string& aAddress)
{
  const Address address = SplitAddress(aAddress);
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &native.sin_addr);
  return native;
}

bool SendAll(int aTo, const char* aBytes, ssize_t aCount)
{
  while (aCount > 0) {
    const ssize_t sent =
      send(aTo, aBytes, static_cast<std::size_t>(aCount), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes += sent;
    aCount -= sent;
  }
  return true;
}

} // namespace

Relay::Relay(const std::string& aListen, std::string aTarget)
  : target_(std::move(aTarget))
  , listener_(OpenSocket())
{
  const sockaddr_in native = ToNative(aListen);
  if (bind(listener_,
           reinterpret_cast<const sockaddr*>(&native),
           sizeof native) != 0 ||
      listen(listener_, kBacklog) != 0) {
    throw std::system_error(errno, std::generic_category(), aListen);
  }
  acceptor_ = std::thread([this] { Accept(); });
  // The relay exists until its process exits, so nothing joins the thread.
  acceptor_.detach();
}

void Relay::Accept()
{
  while (true) {
    const int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0) {
      continue;
    }
    if (mode_ == Mode::Cut) {
      close(caller);
      continue;
    }
    std::thread([this, caller] { ForwardConnection(caller); }).detach();
  }
}

void Relay::ForwardConnection(int aCaller) const
{
  const int target = OpenSocket();
  const sockaddr_in native = ToNative(target_);
  if (connect(target,
              reinterpret_cast<const sockaddr*>(&native),
              sizeof native) == 0) {
    std::thread backwardThread(
      [&] { ForwardBytes(target, aCaller, Mode::HoldBack); });
    ForwardBytes(aCaller, target, Mode::HoldForward);
    backwardThread.join();
  }
  close(target);
  close(aCaller);
}

void Relay::ForwardBytes(int aFrom, int aTo, Mode aHoldMode) const
{
  std::array<char, 65'536> buffer{};
  while (mode_ != Mode::Cut) {
    pollfd item{ aFrom, POLLIN, 0 };
    const bool isReady = poll(&item, 1, kPollMs) > 0;
    if (mode_ == aHoldMode) {
      std::this_thread::sleep_for(kHoldPollInterval);
      continue;
    }
    if (!isReady) {
      continue;
    }
    const ssize_t count = recv(aFrom, buffer.data(), buffer.size(), 0);
    if (count <= 0 || !SendAll(aTo, buffer.data(), count)) {
      break;
    }
  }
  shutdown(aFrom, SHUT_RDWR);
  shutdown(aTo, SHUT_RDWR);
}

HttpReply Relay::Handle(const HttpRequest& aRequest)
{
  static const std::map<std::string, Mode> kModes{
    { "open", Mode::Open },
    { "cut", Mode::Cut },
    { "hold_forward", Mode::HoldForward },
    { "hold_back", Mode::HoldBack },
  };
  const auto mode = kModes.find(QueryText(aRequest.query, "mode"));
  if (aRequest.path != "/control/set" || mode == kModes.end()) {
    return { kNotFound, "no such path or mode", {}, {} };
  }
  mode_ = mode->second;
  return { 200, "OK", {}, mode->first };
}

} // namespace gypsum::fakes
