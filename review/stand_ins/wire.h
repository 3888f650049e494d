#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Compares header names, which are case-insensitive. */
struct HeaderLess
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const;
};

using Headers = std::map<std::string, std::string, HeaderLess>;

/** A request or a response. */
struct Message
{
  std::string startLine;
  Headers headers;
  std::string body;

  std::string Get(const std::string& aName) const;
  /** Second word of the start line: target of a request. */
  std::string Target() const;
  /** Status of a response; zero if there is none. */
  int Status() const;
};

/** How reading a message has ended. */
enum class ReadEnd
{
  Complete,
  Incomplete, ///< The connection ended within the message.
  Closed,     ///< The connection ended before the first byte.
  TimedOut,
};

/** A TCP connection with blocking calls; closes its socket at the end. */
class Connection
{
public:
  explicit Connection(int aSocket);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Opens a connection; null if that fails. */
  static std::optional<int> Open(const std::string& aHost, int aPort);

  bool Write(std::string_view aBytes);
  /** Reads a message with a length, with chunks or without a body. */
  ReadEnd Read(Message& aMessage, Clock::time_point aDeadline);
  /** Reads the head of a message alone: the answer to HEAD has no body. */
  ReadEnd ReadHead(Message& aMessage, Clock::time_point aDeadline);
  /** Bytes that have come after the last message, until the deadline. */
  std::string ReadExtra(Clock::time_point aDeadline);
  /** Resets the connection. */
  void Reset();
  /** Whether the other side has closed the connection. */
  bool HasEnded() const;
  int Socket() const { return socket_; }

private:
  /** Reads more bytes; empty if some came. */
  std::optional<ReadEnd> Fill(Clock::time_point aDeadline);
  /** Reads until the buffer holds so many bytes. */
  std::optional<ReadEnd> FillTo(std::size_t aBytes,
                                Clock::time_point aDeadline);
  std::optional<ReadEnd> ReadChunks(Message& aMessage,
                                    Clock::time_point aDeadline);

  int socket_;
  std::string buffer_;
};

/** Listening socket on an IPv4 address; a port of 0 takes a free one. */
int Listen(const std::string& aHost, int aPort);
/** Whether a socket could listen there. */
bool IsFree(const std::string& aHost, int aPort);
std::string EncodeBase64(std::string_view aBytes);
/** Text of a message with a length. */
std::string Format(const std::string& aStartLine,
                   const Headers& aHeaders,
                   std::string_view aBody);
/** Head of a response of unknown length; its body comes in chunks. */
std::string FormatStreamHead(const Headers& aHeaders);
std::string Chunk(const std::string& aBytes);
/** The chunk that ends a body. */
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace review
