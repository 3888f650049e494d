#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsum::tests {

/** A TCP connection that sends and receives raw bytes. */
class RawSocket
{
public:
  /** Connects to `IPv4:PORT`; throws std::system_error on failure. */
  explicit RawSocket(const std::string& aAddress);
  /** Takes ownership of an open descriptor. */
  explicit RawSocket(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }
  RawSocket(RawSocket&& aOther) noexcept;
  RawSocket& operator=(RawSocket&& aOther) noexcept;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket();

  /** Sends all bytes; false if the connection is closed. */
  bool Send(std::string_view aBytes) const;
  /** Reads until the end of the stream, a reset or the read timeout. */
  std::string ReadToEnd() const;
  /** Reads this many bytes; fewer where `ReadToEnd` stops. */
  std::string ReadBytes(std::size_t aCount) const;
  /** Reads until the connection ends; true if it was reset. */
  bool EndsWithReset() const;
  /** Reads up to and including a text; stops early where `ReadToEnd` stops. */
  std::string ReadUntil(std::string_view aText) const;
  /** Reads one request or reply; a body needs a Content-Length. */
  std::string ReadMessage() const;
  /** Closes the sending direction only. */
  void CloseSending() const;
  void Close();
  /** Resets the connection. */
  void Reset();

private:
  int descriptor_ = -1;
};

/** What the connections of a listener hold and carry, in bytes. */
struct ConnectionSizes
{
  int receiveBuffer = 0;
  int segment = 0;
};

/** Small enough that a peer's long write waits for the reader, whatever the
 * defaults of the kernel; segments as on an Ethernet link. */
inline constexpr ConnectionSizes kSmallConnection{ 65'536, 1'448 };

/** A listening socket for a test that acts as the server. */
class RawListener
{
public:
  /** The kernel chooses the sizes of the connections if none are given. */
  explicit RawListener(const std::string& aAddress,
                       std::optional<ConnectionSizes> aSizes = std::nullopt);
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener();

  /** Accepts the next connection; throws if none arrives in time. */
  RawSocket Accept() const;
  /** Whether a connection arrives before the timeout. */
  bool HasConnection(std::chrono::milliseconds aTimeout) const;

private:
  int descriptor_ = -1;
};

} // namespace gypsum::tests
