#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using Milliseconds = std::chrono::milliseconds;

/** A request or a response, as it was read. */
struct Message
{
  std::string startLine;
  std::multimap<std::string, std::string> fields; ///< By lower-case name.
  std::string body;
  bool isComplete = false; ///< Its framing says that all of it came.

  std::string Field(const std::string& aName) const;
  /** The status of a response; zero if there is none. */
  int Status() const;
  std::string Method() const;
  std::string Target() const;
};

/** A blocking TCP connection on loopback. */
class Socket
{
public:
  explicit Socket(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  /** Connects to `127.0.0.N`; empty if that fails. */
  static std::optional<Socket> Connect(int aPort, unsigned aHost = 1);

  bool Send(std::string_view aBytes) const;
  /** Reads up to the end of a head; empty at the end of the connection. */
  std::optional<Message> ReadHead(Milliseconds aTimeout);
  /** Reads the body that follows a head. */
  void ReadBody(Message& aMessage, Milliseconds aTimeout);
  /** Reads a head and its body. */
  std::optional<Message> Read(Milliseconds aTimeout);
  /** The same for a server; empty also if the body does not come whole. */
  std::optional<Message> ReadRequest(Milliseconds aTimeout);
  /** Whether the other end has closed or reset the connection. */
  bool HasEnded() const;
  void Reset();
  void Close();

private:
  bool ReadMore(Milliseconds aTimeout);
  std::optional<std::string> TakeLine(Milliseconds aTimeout);
  bool Fill(std::size_t aBytes, Milliseconds aTimeout);

  int descriptor_ = -1;
  std::string buffer_;
};

/** Accepts connections on a free loopback port, each in a thread. */
class Server
{
public:
  using Session = std::function<void(Socket&)>;

  explicit Server(Session aSession);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int Port() const { return port_; }
  std::string Address() const;

private:
  void Accept();

  Session session_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> isOver_ = false;
  std::mutex mutex_; ///< Of the sessions.
  std::list<std::thread> sessions_;
  std::thread acceptor_;
};

/** Ports that are free now, all different. */
std::list<int> FindFreePorts(std::size_t aCount);

/** Set when a case is over, so that all sessions end. */
std::atomic<bool>& IsOver();

} // namespace review
