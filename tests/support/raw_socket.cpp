#include "tests/support/raw_socket.h"

#include "drivers/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace gypsum::tests {

namespace {

constexpr std::chrono::seconds kReadTimeout{ 30 };
constexpr int kBacklog = 1'024;
constexpr std::string_view kEndOfHeader = "\r\n\r\n";
constexpr std::string_view kContentLength = "Content-Length: ";

[[noreturn]] void Fail(const char* aOperation)
{
  throw std::system_error(errno, std::generic_category(), aOperation);
}

int OpenSocket()
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    Fail("socket");
  }
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

bool IsReadable(int aDescriptor, std::chrono::milliseconds aTimeout)
{
  pollfd item{ aDescriptor, POLLIN, 0 };
  return poll(&item, 1, static_cast<int>(aTimeout.count())) == 1;
}

/** Appends received bytes; false at the end of the stream, on an error or
 * after the read timeout. */
bool ReadMore(int aDescriptor, std::string& aText, std::size_t aMaxBytes)
{
  std::array<char, 16'384> buffer{};
  if (!IsReadable(aDescriptor, kReadTimeout)) {
    return false;
  }
  const ssize_t count =
    recv(aDescriptor, buffer.data(), std::min(aMaxBytes, buffer.size()), 0);
  if (count <= 0) {
    return false;
  }
  aText.append(buffer.data(), static_cast<std::size_t>(count));
  return true;
}

} // namespace

RawSocket::RawSocket(const std::string& aAddress)
  : descriptor_(OpenSocket())
{
  const sockaddr_in native = ToNative(aAddress);
  if (connect(descriptor_,
              reinterpret_cast<const sockaddr*>(&native),
              sizeof native) != 0) {
    Close();
    Fail("connect");
  }
}

RawSocket::RawSocket(RawSocket&& aOther) noexcept
  : descriptor_(std::exchange(aOther.descriptor_, -1))
{
}

RawSocket& RawSocket::operator=(RawSocket&& aOther) noexcept
{
  std::swap(descriptor_, aOther.descriptor_);
  return *this;
}

RawSocket::~RawSocket()
{
  Close();
}

void RawSocket::Close()
{
  if (descriptor_ >= 0) {
    close(std::exchange(descriptor_, -1));
  }
}

void RawSocket::Reset()
{
  const linger discard{ 1, 0 };
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  Close();
}

void RawSocket::CloseSending() const
{
  shutdown(descriptor_, SHUT_WR);
}

bool RawSocket::Send(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const ssize_t count =
      send(descriptor_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

std::string RawSocket::ReadToEnd() const
{
  std::string text;
  while (ReadMore(descriptor_, text, std::string::npos)) {
  }
  return text;
}

std::string RawSocket::ReadBytes(std::size_t aCount) const
{
  std::string text;
  while (text.size() < aCount &&
         ReadMore(descriptor_, text, aCount - text.size())) {
  }
  return text;
}

bool RawSocket::EndsWithReset() const
{
  errno = 0;
  ReadToEnd();
  return errno == ECONNRESET;
}

std::string RawSocket::ReadUntil(std::string_view aText) const
{
  // Reads single bytes, so that none after the text are consumed.
  std::string text;
  while (!text.ends_with(aText) && ReadMore(descriptor_, text, 1)) {
  }
  return text;
}

std::string RawSocket::ReadMessage() const
{
  std::string text = ReadUntil(kEndOfHeader);
  const std::size_t mark = text.find(kContentLength);
  if (mark == std::string::npos) {
    return text;
  }
  return text +
         ReadBytes(std::stoull(text.substr(mark + kContentLength.size())));
}

RawListener::RawListener(const std::string& aAddress,
                         std::optional<ConnectionSizes> aSizes)
  : descriptor_(OpenSocket())
{
  const int isOn = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
  if (aSizes) {
    setsockopt(descriptor_,
               SOL_SOCKET,
               SO_RCVBUF,
               &aSizes->receiveBuffer,
               sizeof aSizes->receiveBuffer);
    setsockopt(descriptor_,
               IPPROTO_TCP,
               TCP_MAXSEG,
               &aSizes->segment,
               sizeof aSizes->segment);
  }
  const sockaddr_in native = ToNative(aAddress);
  if (bind(descriptor_,
           reinterpret_cast<const sockaddr*>(&native),
           sizeof native) != 0 ||
      listen(descriptor_, kBacklog) != 0) {
    Fail("listen");
  }
}

RawListener::~RawListener()
{
  close(descriptor_);
}

bool RawListener::HasConnection(std::chrono::milliseconds aTimeout) const
{
  return IsReadable(descriptor_, aTimeout);
}

RawSocket RawListener::Accept() const
{
  if (!HasConnection(kReadTimeout)) {
    errno = ETIMEDOUT;
    Fail("accept");
  }
  const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted < 0) {
    Fail("accept");
  }
  return RawSocket(accepted);
}

} // namespace gypsum::tests
