#include "drivers/peer/peer_transport.h"

#include "drivers/log.h"
#include "drivers/peer/peer_codec.h"
#include "kernel/signal_block.h"

#include <boost/json/object.hpp>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <set>
#include <span>
#include <string_view>
#include <system_error>
#include <utility>

namespace gypsum {

namespace {

constexpr std::string_view kComponent = "peers";
constexpr int kMaxQueuedMessages = 10'000; ///< Per connection.
constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 1'000;
/** A machine that is not up yet drops the attempt, which the kernel would
 * repeat after a second only. */
constexpr int kConnectTimeoutMs = 200;
constexpr int kPollTimeoutMs = 1'000;
constexpr std::size_t kMaxEventsPerTurn = 64;
/** Of one process; the library's default is less than a large fleet needs. */
constexpr int kMaxSockets = 16'384;
constexpr std::int64_t kMaxMessageBytes = 96LL * 1024 * 1024;

zmq::context_t MakeContext()
{
  zmq::context_t context(1);
  context.set(zmq::ctxopt::max_sockets, kMaxSockets);
  return context;
}

void SetCommonOptions(zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::linger, 0);
  aSocket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  aSocket.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
  aSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
}

std::string TextOf(const zmq::message_t& aFrame)
{
  return { static_cast<const char*>(aFrame.data()), aFrame.size() };
}

} // namespace

PeerTransport::PeerTransport(std::string aBindAddress)
  : bindAddress_(std::move(aBindAddress))
  , context_(MakeContext())
  , router_(context_, zmq::socket_type::router)
  , wakeDescriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
  , pollDescriptor_(epoll_create1(EPOLL_CLOEXEC))
{
  if (wakeDescriptor_ < 0 || pollDescriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), "peer transport");
  }
  SetCommonOptions(router_);
  router_.set(zmq::sockopt::router_mandatory, true);
}

PeerTransport::~PeerTransport()
{
  Stop();
  close(pollDescriptor_);
  close(wakeDescriptor_);
}

void PeerTransport::SendTo(std::string aAddress, const PeerMessage& aMessage)
{
  Enqueue({ false, std::move(aAddress), Encode(aMessage) });
}

void PeerTransport::SendBack(Route aRoute, const PeerMessage& aMessage)
{
  Enqueue({ true, std::move(aRoute), Encode(aMessage) });
}

void PeerTransport::Enqueue(Outgoing aOutgoing)
{
  bool isFirst = false;
  {
    const std::lock_guard lock(mutex_);
    isFirst = outgoing_.empty();
    outgoing_.push_back(std::move(aOutgoing));
  }
  if (isFirst) {
    eventfd_write(wakeDescriptor_, 1);
  }
}

std::error_code PeerTransport::Bind()
{
  try {
    router_.bind("tcp://" + bindAddress_);
  } catch (const zmq::error_t& error) {
    return { error.num(), std::generic_category() };
  }
  isBound_ = true;
  return {};
}

void PeerTransport::Start(Kernel& /*aKernel*/)
{
  if (const std::error_code error = isBound_ ? std::error_code() : Bind()) {
    throw std::system_error(error, "peers at " + bindAddress_);
  }
  Watch(wakeDescriptor_, nullptr);
  Watch(router_.get(zmq::sockopt::fd), &router_);
  const SignalBlock signals;
  thread_ = std::thread([this] { Run(); });
}

void PeerTransport::Stop()
{
  isStopping_ = true;
  eventfd_write(wakeDescriptor_, 1);
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PeerTransport::Run()
{
  try {
    Loop();
  } catch (const std::exception& error) {
    Log(Severity::Error,
        kComponent,
        std::string("the thread of the peer transport ends: ") + error.what());
    if (failureHandler_) {
      failureHandler_(error.what());
    }
  }
}

void PeerTransport::Loop()
{
  while (!isStopping_) {
    try {
      RunOnce();
    } catch (const zmq::error_t& error) {
      // A debugger or profiler interrupts the thread although it blocks
      // signals.
      if (error.num() != EINTR) {
        throw;
      }
    }
  }
  SendQueued();
}

void PeerTransport::Watch(int aDescriptor, zmq::socket_t* aSocket)
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.ptr = aSocket;
  if (epoll_ctl(pollDescriptor_, EPOLL_CTL_ADD, aDescriptor, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

void PeerTransport::RunOnce()
{
  std::array<epoll_event, kMaxEventsPerTurn> events{};
  const int count = epoll_wait(pollDescriptor_,
                               events.data(),
                               static_cast<int>(events.size()),
                               kPollTimeoutMs);
  if (count < 0 && errno != EINTR) {
    throw std::system_error(errno, std::generic_category(), "epoll_wait");
  }
  ++turns_;
  bool isWoken = false;
  for (const epoll_event& event :
       std::span(events).first(static_cast<std::size_t>(std::max(0, count)))) {
    if (event.data.ptr) {
      Drain(*static_cast<zmq::socket_t*>(event.data.ptr));
    } else {
      isWoken = true;
    }
  }
  if (isWoken) {
    SendQueued();
  }
  processorTime_ = ThreadProcessorTime().count();
}

void PeerTransport::Drain(zmq::socket_t& aSocket)
{
  ++socketsVisited_;
  if (&aSocket == &router_) {
    ReceiveRouted();
  } else {
    ReceiveReplies(aSocket);
  }
}

void PeerTransport::SendQueued()
{
  eventfd_t count = 0;
  eventfd_read(wakeDescriptor_, &count);
  std::vector<Outgoing> batch;
  {
    const std::lock_guard lock(mutex_);
    batch.swap(outgoing_);
  }
  std::set<zmq::socket_t*> used;
  for (const Outgoing& outgoing : batch) {
    if (zmq::socket_t* const socket = Transmit(outgoing)) {
      used.insert(socket);
    }
  }
  // Sending also takes the news of received messages off the descriptor, which
  // then no longer shows them.
  for (zmq::socket_t* const socket : used) {
    Drain(*socket);
  }
}

zmq::socket_t* PeerTransport::Transmit(const Outgoing& aOutgoing)
{
  zmq::socket_t* used = nullptr;
  try {
    zmq::socket_t& socket =
      aOutgoing.isReply ? router_ : FindOrConnectDealer(aOutgoing.target);
    used = &socket;
    if (aOutgoing.isReply) {
      socket.send(zmq::buffer(aOutgoing.target),
                  zmq::send_flags::sndmore | zmq::send_flags::dontwait);
    }
    const auto size =
      socket.send(zmq::buffer(aOutgoing.bytes), zmq::send_flags::dontwait);
    if (size) {
      ++sent_;
      bytesSent_ += aOutgoing.bytes.size();
      return used;
    }
  } catch (const std::exception& error) {
    Log(Severity::Debug,
        kComponent,
        std::string("message not sent: ") + error.what());
  }
  ++dropped_;
  return used;
}

zmq::socket_t& PeerTransport::FindOrConnectDealer(const std::string& aAddress)
{
  const auto found = dealers_.find(aAddress);
  if (found != dealers_.end()) {
    return found->second;
  }
  zmq::socket_t dealer(context_, zmq::socket_type::dealer);
  SetCommonOptions(dealer);
  // Queue messages only on an established connection: otherwise they would be
  // delivered late, to whichever process has the address by then.
  dealer.set(zmq::sockopt::immediate, true);
  dealer.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  dealer.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  dealer.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  dealer.connect("tcp://" + aAddress);
  const auto added = dealers_.emplace(aAddress, std::move(dealer)).first;
  try {
    Watch(added->second.get(zmq::sockopt::fd), &added->second);
  } catch (...) {
    dealers_.erase(added);
    throw;
  }
  return added->second;
}

void PeerTransport::ReceiveRouted()
{
  zmq::message_t route;
  zmq::message_t frame;
  while (router_.recv(route, zmq::recv_flags::dontwait)) {
    if (!route.more() || !router_.recv(frame, zmq::recv_flags::dontwait)) {
      ++malformed_;
      continue;
    }
    Deliver(TextOf(route), frame);
    while (frame.more()) {
      ++malformed_;
      static_cast<void>(router_.recv(frame));
    }
  }
}

void PeerTransport::ReceiveReplies(zmq::socket_t& aSocket)
{
  zmq::message_t frame;
  while (aSocket.recv(frame, zmq::recv_flags::dontwait)) {
    Deliver({}, frame);
  }
}

void PeerTransport::Deliver(Route aRoute, const zmq::message_t& aFrame)
{
  ++received_;
  bytesReceived_ += aFrame.size();
  auto message =
    Decode({ static_cast<const char*>(aFrame.data()), aFrame.size() });
  if (!message) {
    ++malformed_;
    return;
  }
  handler_(std::move(aRoute), std::move(*message));
}

PeerTransport::Work PeerTransport::TotalWork() const
{
  return {
    turns_, socketsVisited_, sent_, received_, ProcessorTime(processorTime_)
  };
}

void PeerTransport::Describe(boost::json::object& aState) const
{
  aState["turns"] = turns_.load();
  aState["sockets_visited"] = socketsVisited_.load();
  aState["sent"] = sent_.load();
  aState["received"] = received_.load();
  aState["dropped"] = dropped_.load();
  aState["malformed"] = malformed_.load();
  aState["bytes_sent"] = bytesSent_.load();
  aState["bytes_received"] = bytesReceived_.load();
}

} // namespace gypsum
