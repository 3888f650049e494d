#include "review/stand_ins/wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace review {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

sockaddr_in AddressOf(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

void ParseHead(const std::string& aHead, Message& aMessage)
{
  std::size_t at = aHead.find(kLineEnd);
  aMessage.startLine = aHead.substr(0, at);
  aMessage.headers.clear();
  while (at != std::string::npos) {
    const std::size_t begin = at + kLineEnd.size();
    at = aHead.find(kLineEnd, begin);
    const std::string line = aHead.substr(
      begin, at == std::string::npos ? std::string::npos : at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    aMessage.headers[line.substr(0, colon)] =
      value == std::string::npos ? "" : line.substr(value);
  }
}

} // namespace

bool HeaderLess::operator()(const std::string& aLeft,
                            const std::string& aRight) const
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) < 0;
}

std::string Message::Get(const std::string& aName) const
{
  const auto found = headers.find(aName);
  return found == headers.end() ? "" : found->second;
}

std::string Message::Target() const
{
  const std::size_t begin = startLine.find(' ');
  const std::size_t end = startLine.find(' ', begin + 1);
  return begin == std::string::npos
           ? ""
           : startLine.substr(begin + 1, end - begin - 1);
}

int Message::Status() const
{
  return startLine.starts_with("HTTP/") ? std::atoi(Target().c_str()) : 0;
}

Connection::Connection(int aSocket)
  : socket_(aSocket)
{
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
  close(socket_);
}

std::optional<int> Connection::Open(const std::string& aHost, int aPort)
{
  const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(aHost, aPort);
  if (connect(opened,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(opened);
    return std::nullopt;
  }
  return opened;
}

bool Connection::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t count =
      send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

std::optional<ReadEnd> Connection::Fill(Clock::time_point aDeadline)
{
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aDeadline - Clock::now());
  pollfd item{ socket_, POLLIN, 0 };
  const auto wait =
    std::clamp<Milliseconds::rep>(left.count(), 0, Milliseconds::rep(600'000));
  if (poll(&item, 1, static_cast<int>(wait)) <= 0) {
    return ReadEnd::TimedOut;
  }
  std::array<char, 16'384> bytes{};
  const ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return buffer_.empty() ? ReadEnd::Closed : ReadEnd::Incomplete;
  }
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return std::nullopt;
}

std::optional<ReadEnd> Connection::FillTo(std::size_t aBytes,
                                          Clock::time_point aDeadline)
{
  while (buffer_.size() < aBytes) {
    if (const auto end = Fill(aDeadline)) {
      return end == ReadEnd::Closed ? ReadEnd::Incomplete : *end;
    }
  }
  return std::nullopt;
}

std::optional<ReadEnd> Connection::ReadChunks(Message& aMessage,
                                              Clock::time_point aDeadline)
{
  for (;;) {
    std::size_t lineEnd = buffer_.find(kLineEnd);
    while (lineEnd == std::string::npos) {
      if (const auto end = FillTo(buffer_.size() + 1, aDeadline)) {
        return end;
      }
      lineEnd = buffer_.find(kLineEnd);
    }
    const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    const std::size_t begin = lineEnd + kLineEnd.size();
    if (const auto end = FillTo(begin + size + kLineEnd.size(), aDeadline)) {
      return end;
    }
    aMessage.body.append(buffer_, begin, size);
    buffer_.erase(0, begin + size + kLineEnd.size());
    if (size == 0) {
      return std::nullopt;
    }
  }
}

ReadEnd Connection::ReadHead(Message& aMessage, Clock::time_point aDeadline)
{
  aMessage = {};
  std::size_t headEnd = buffer_.find(kHeaderEnd);
  while (headEnd == std::string::npos) {
    if (const auto end = Fill(aDeadline)) {
      return *end;
    }
    headEnd = buffer_.find(kHeaderEnd);
  }
  ParseHead(buffer_.substr(0, headEnd), aMessage);
  buffer_.erase(0, headEnd + kHeaderEnd.size());
  return ReadEnd::Complete;
}

std::string Connection::ReadExtra(Clock::time_point aDeadline)
{
  while (!Fill(aDeadline)) {
  }
  return buffer_;
}

ReadEnd Connection::Read(Message& aMessage, Clock::time_point aDeadline)
{
  if (const ReadEnd end = ReadHead(aMessage, aDeadline);
      end != ReadEnd::Complete) {
    return end;
  }
  if (aMessage.Get("Transfer-Encoding") == "chunked") {
    return ReadChunks(aMessage, aDeadline).value_or(ReadEnd::Complete);
  }
  const std::size_t length =
    std::strtoul(aMessage.Get("Content-Length").c_str(), nullptr, 10);
  if (const auto end = FillTo(length, aDeadline)) {
    return *end;
  }
  aMessage.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return ReadEnd::Complete;
}

void Connection::Reset()
{
  const linger option{ 1, 0 };
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  shutdown(socket_, SHUT_RDWR);
}

bool Connection::HasEnded() const
{
  char byte = 0;
  const ssize_t count = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

int Listen(const std::string& aHost, int aPort)
{
  const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(aHost, aPort);
  constexpr int kBacklog = 512;
  if (bind(opened,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(opened, kBacklog) != 0) {
    close(opened);
    return -1;
  }
  return opened;
}

bool IsFree(const std::string& aHost, int aPort)
{
  const int opened = Listen(aHost, aPort);
  if (opened < 0) {
    return false;
  }
  close(opened);
  return true;
}

std::string EncodeBase64(std::string_view aBytes)
{
  constexpr std::string_view kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t bits = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - at);
    for (std::size_t index = 0; index < 3; ++index) {
      bits =
        bits * 256 +
        (index < count ? static_cast<unsigned char>(aBytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const std::uint32_t letter = (bits >> (18 - 6 * index)) & 63U;
      text.push_back(index <= count ? kLetters[letter] : '=');
    }
  }
  return text;
}

std::string Format(const std::string& aStartLine,
                   const Headers& aHeaders,
                   std::string_view aBody)
{
  std::string text = aStartLine + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append("Content-Length: " + std::to_string(aBody.size()));
  return text.append(kHeaderEnd).append(aBody);
}

std::string FormatStreamHead(const Headers& aHeaders)
{
  std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n";
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "\r\n";
}

std::string Chunk(const std::string& aBytes)
{
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  return size.data() + aBytes + "\r\n";
}

} // namespace review
