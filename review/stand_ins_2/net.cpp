#include "review/stand_ins_2/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <system_error>
#include <utility>

namespace review {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr Milliseconds kPollInterval{ 50 };
constexpr int kBacklog = 1'024;
constexpr std::size_t kReadBytes = 65'536;
/** Received bytes that a connection holds unread: the windows of the platform's
 * links are small. */
constexpr int kReceiveBuffer = 65'536;
/** Segments as on an Ethernet link; those of loopback are 64 KB, with which the
 * kernel holds 4 MB for a sender that its peer does not read. */
constexpr int kSegmentBytes = 1'448;

sockaddr_in Loopback(int aPort, unsigned aHost = 1)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + aHost);
  return address;
}

/** A socket that listens on a free port, and the port. */
std::pair<int, int> Listen()
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(
    descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
  setsockopt(
    descriptor, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  const bool isListening =
    bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size) == 0 &&
    listen(descriptor, kBacklog) == 0;
  if (!isListening) {
    throw std::system_error(errno, std::generic_category(), "listen");
  }
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return { descriptor, ntohs(address.sin_port) };
}

bool IsReadable(int aDescriptor, Milliseconds aTimeout)
{
  pollfd item{ aDescriptor, POLLIN, 0 };
  return poll(&item, 1, static_cast<int>(aTimeout.count())) == 1;
}

std::string WordOf(const std::string& aLine, int aWord)
{
  std::size_t begin = 0;
  for (int word = 0; word < aWord; ++word) {
    const auto space = aLine.find(' ', begin);
    if (space == std::string::npos) {
      return "";
    }
    begin = space + 1;
  }
  return aLine.substr(begin, aLine.find(' ', begin) - begin);
}

std::string ToLower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return aText;
}

} // namespace

std::string Message::Field(const std::string& aName) const
{
  const auto found = fields.find(aName);
  return found == fields.end() ? "" : found->second;
}

int Message::Status() const
{
  return std::atoi(WordOf(startLine, 1).c_str());
}

std::string Message::Method() const
{
  return WordOf(startLine, 0);
}

std::string Message::Target() const
{
  return WordOf(startLine, 1);
}

Socket::Socket(Socket&& aOther) noexcept
  : descriptor_(std::exchange(aOther.descriptor_, -1))
  , buffer_(std::move(aOther.buffer_))
{
}

Socket& Socket::operator=(Socket&& aOther) noexcept
{
  std::swap(descriptor_, aOther.descriptor_);
  std::swap(buffer_, aOther.buffer_);
  return *this;
}

Socket::~Socket()
{
  Close();
}

std::optional<Socket> Socket::Connect(int aPort, unsigned aHost)
{
  Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(aPort, aHost);
  if (connect(connection.descriptor_,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    return std::nullopt;
  }
  const int isOn = 1;
  setsockopt(
    connection.descriptor_, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
  return connection;
}

bool Socket::Send(std::string_view aBytes) const
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

bool Socket::ReadMore(Milliseconds aTimeout)
{
  for (Milliseconds waited{ 0 }; !IsReadable(descriptor_, kPollInterval);) {
    waited += kPollInterval;
    if (waited >= aTimeout || IsOver()) {
      return false;
    }
  }
  std::array<char, kReadBytes> bytes{};
  const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Socket::TakeLine(Milliseconds aTimeout)
{
  auto end = buffer_.find(kLineEnd);
  while (end == std::string::npos) {
    if (!ReadMore(aTimeout)) {
      return std::nullopt;
    }
    end = buffer_.find(kLineEnd);
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + kLineEnd.size());
  return line;
}

bool Socket::Fill(std::size_t aBytes, Milliseconds aTimeout)
{
  while (buffer_.size() < aBytes) {
    if (!ReadMore(aTimeout)) {
      return false;
    }
  }
  return true;
}

std::optional<Message> Socket::ReadHead(Milliseconds aTimeout)
{
  Message message;
  auto line = TakeLine(aTimeout);
  if (!line) {
    return std::nullopt;
  }
  message.startLine = *line;
  while ((line = TakeLine(aTimeout)) && !line->empty()) {
    const auto colon = line->find(':');
    const auto value = line->find_first_not_of(' ', colon + 1);
    message.fields.emplace(ToLower(line->substr(0, colon)),
                           value == std::string::npos ? ""
                                                      : line->substr(value));
  }
  return line ? std::optional(std::move(message)) : std::nullopt;
}

void Socket::ReadBody(Message& aMessage, Milliseconds aTimeout)
{
  if (aMessage.Field("transfer-encoding") == "chunked") {
    for (;;) {
      const auto line = TakeLine(aTimeout);
      if (!line) {
        return;
      }
      const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
      if (!Fill(size + kLineEnd.size(), aTimeout)) {
        aMessage.body.append(buffer_);
        return;
      }
      aMessage.body.append(buffer_, 0, size);
      buffer_.erase(0, size + kLineEnd.size());
      if (size == 0) {
        aMessage.isComplete = true;
        return;
      }
    }
  }
  const std::size_t length =
    std::strtoul(aMessage.Field("content-length").c_str(), nullptr, 10);
  aMessage.isComplete = Fill(length, aTimeout);
  aMessage.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
}

std::optional<Message> Socket::Read(Milliseconds aTimeout)
{
  auto message = ReadHead(aTimeout);
  if (message) {
    ReadBody(*message, aTimeout);
  }
  return message;
}

std::optional<Message> Socket::ReadRequest(Milliseconds aTimeout)
{
  auto request = Read(aTimeout);
  return request && request->isComplete ? std::move(request) : std::nullopt;
}

bool Socket::HasEnded() const
{
  pollfd item{ descriptor_, POLLRDHUP, 0 };
  return poll(&item, 1, 0) != 0;
}

void Socket::Reset()
{
  const linger discard{ 1, 0 };
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  Close();
}

void Socket::Close()
{
  if (descriptor_ >= 0) {
    close(std::exchange(descriptor_, -1));
  }
}

Server::Server(Session aSession)
  : session_(std::move(aSession))
{
  std::tie(listener_, port_) = Listen();
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server()
{
  isOver_ = true;
  acceptor_.join();
  close(listener_);
  for (std::thread& session : sessions_) {
    session.join();
  }
}

std::string Server::Address() const
{
  return "127.0.0.1:" + std::to_string(port_);
}

void Server::Accept()
{
  while (!isOver_) {
    if (!IsReadable(listener_, kPollInterval)) {
      continue;
    }
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    const int isOn = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
    const std::lock_guard lock(mutex_);
    sessions_.emplace_back([this, descriptor] {
      Socket connection(descriptor);
      session_(connection);
    });
  }
}

std::list<int> FindFreePorts(std::size_t aCount)
{
  std::list<int> descriptors;
  std::list<int> ports;
  while (ports.size() < aCount) {
    const auto [descriptor, port] = Listen();
    descriptors.push_back(descriptor);
    ports.push_back(port);
  }
  std::ranges::for_each(descriptors, [](int aOne) { close(aOne); });
  return ports;
}

std::atomic<bool>& IsOver()
{
  static std::atomic<bool> isOver = false;
  return isOver;
}

} // namespace review
