#pragma once

#include "core/agent/agent_events.h"
#include "core/messages.h"
#include "drivers/processor_time.h"

#include <boost/json/fwd.hpp>
#include <zmq.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace gypsum {

class Kernel;

/**
 * Exchanges messages with other processes over ZeroMQ.
 *
 * A ROUTER socket receives requests from peers and sends the replies. A DEALER
 * socket per target address sends requests and receives their replies. One
 * thread owns all sockets, and visits only those that have events or that it
 * has just sent on: the cost of a message does not grow with the peers.
 */
class PeerTransport
{
public:
  /** Called on the transport thread; the route is empty for replies. */
  using Handler = std::function<void(Route, PeerMessage)>;
  /** Called on the transport thread, with the reason, if it ends by an error.
   * No messages are exchanged any more. */
  using FailureHandler = std::function<void(std::string_view)>;

  explicit PeerTransport(std::string aBindAddress);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /** Sets the receiver of messages; call before `Start`. */
  void SetHandler(Handler aHandler) { handler_ = std::move(aHandler); }

  /** Sets who hears that the thread has ended; call before `Start`. */
  void SetFailureHandler(FailureHandler aHandler)
  {
    failureHandler_ = std::move(aHandler);
  }

  /** Sends to an address; dropped and counted without a connection. */
  void SendTo(std::string aAddress, const PeerMessage& aMessage);
  /** Replies along the route of a received message. */
  void SendBack(Route aRoute, const PeerMessage& aMessage);

  /** Accepts connections of peers, whose messages wait for `Start`. */
  std::error_code Bind();
  /** Binds first if that was not done, and throws `std::system_error` if the
   * address can't be had. */
  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

  /** What the transport thread has done since its start. */
  struct Work
  {
    std::uint64_t turns = 0;          ///< Waits for events that have ended.
    std::uint64_t socketsVisited = 0; ///< Asked for received messages.
    std::uint64_t sent = 0;           ///< Messages.
    std::uint64_t received = 0;       ///< Messages.
    ProcessorTime time{};
  };
  Work TotalWork() const;

private:
  struct Outgoing
  {
    bool isReply = false;
    std::string target; ///< Route or address.
    std::string bytes;
  };

  /** Runs the loop on the transport thread and reports its failure. */
  void Run();
  void Loop();
  /** Waits for events and handles them. */
  void RunOnce();
  void Enqueue(Outgoing aOutgoing);
  void SendQueued();
  /** Sends a message; returns the socket, null if none could be opened. */
  zmq::socket_t* Transmit(const Outgoing& aOutgoing);
  /** Handles all messages that a socket has received. */
  void Drain(zmq::socket_t& aSocket);
  void ReceiveRouted();
  void ReceiveReplies(zmq::socket_t& aSocket);
  void Deliver(Route aRoute, const zmq::message_t& aFrame);
  zmq::socket_t& FindOrConnectDealer(const std::string& aAddress);
  /** Has `RunOnce` wait for events of a descriptor; `aSocket` is null for that
   * of `Enqueue`. */
  void Watch(int aDescriptor, zmq::socket_t* aSocket);

  std::string bindAddress_;
  Handler handler_;
  FailureHandler failureHandler_;
  zmq::context_t context_;
  zmq::socket_t router_;
  bool isBound_ = false;
  std::map<std::string, zmq::socket_t> dealers_;
  int wakeDescriptor_ = -1; ///< Readable while messages are queued.
  int pollDescriptor_ = -1; ///< Of epoll; knows all sockets and the wake.
  std::mutex mutex_;
  std::vector<Outgoing> outgoing_;
  std::atomic<bool> isStopping_ = false;
  std::atomic<std::uint64_t> turns_ = 0;
  std::atomic<std::uint64_t> socketsVisited_ = 0;
  std::atomic<ProcessorTime::rep> processorTime_ = 0; ///< Of the thread.
  std::atomic<std::uint64_t> sent_ = 0;
  std::atomic<std::uint64_t> received_ = 0;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::atomic<std::uint64_t> malformed_ = 0;
  std::atomic<std::uint64_t> bytesSent_ = 0;
  std::atomic<std::uint64_t> bytesReceived_ = 0;
  std::thread thread_;
};

} // namespace gypsum
