#include "drivers/peer/peer_transport.h"

#include "drivers/log.h"
#include "drivers/peer/peer_codec.h"
#include "kernel/signal_block.h"

#include <boost/json/object.hpp>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <exception>
#include <string_view>
#include <system_error>
#include <utility>

namespace gypsum {

namespace {

constexpr std::string_view kComponent = "peers";
constexpr int kMaxQueuedMessages = 10'000; ///< Per connection.
constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 1'000;
constexpr std::chrono::milliseconds kPollTimeout{ 1'000 };
constexpr std::int64_t kMaxMessageBytes = 96LL * 1024 * 1024;

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
  , router_(context_, zmq::socket_type::router)
  , wakeDescriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
  if (wakeDescriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  SetCommonOptions(router_);
  router_.set(zmq::sockopt::router_mandatory, true);
}

PeerTransport::~PeerTransport()
{
  Stop();
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

void PeerTransport::Start(Kernel& /*aKernel*/)
{
  router_.bind("tcp://" + bindAddress_);
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

void PeerTransport::RunOnce()
{
  pollItems_.assign({ { nullptr, wakeDescriptor_, ZMQ_POLLIN, 0 },
                      { router_.handle(), 0, ZMQ_POLLIN, 0 } });
  for (auto& [address, dealer] : dealers_) {
    pollItems_.push_back({ dealer.handle(), 0, ZMQ_POLLIN, 0 });
  }
  zmq::poll(pollItems_, kPollTimeout);
  ++turns_;
  socketsVisited_ += pollItems_.size() - 1;
  if ((pollItems_[1].revents & ZMQ_POLLIN) != 0) {
    ReceiveRouted();
  }
  // Only `SendQueued` adds dealers.
  auto item = pollItems_.begin() + 2;
  for (auto& [address, dealer] : dealers_) {
    if ((item->revents & ZMQ_POLLIN) != 0) {
      ReceiveReplies(dealer);
    }
    ++item;
  }
  if ((pollItems_[0].revents & ZMQ_POLLIN) != 0) {
    SendQueued();
  }
  processorTime_ = ThreadProcessorTime().count();
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
  for (const Outgoing& outgoing : batch) {
    Transmit(outgoing);
  }
}

void PeerTransport::Transmit(const Outgoing& aOutgoing)
{
  try {
    zmq::socket_t& socket =
      aOutgoing.isReply ? router_ : FindOrConnectDealer(aOutgoing.target);
    if (aOutgoing.isReply) {
      socket.send(zmq::buffer(aOutgoing.target),
                  zmq::send_flags::sndmore | zmq::send_flags::dontwait);
    }
    const auto size =
      socket.send(zmq::buffer(aOutgoing.bytes), zmq::send_flags::dontwait);
    if (size) {
      ++sent_;
      bytesSent_ += aOutgoing.bytes.size();
      return;
    }
  } catch (const zmq::error_t& error) {
    Log(Severity::Debug,
        kComponent,
        std::string("message not sent: ") + error.what());
  }
  ++dropped_;
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
  dealer.connect("tcp://" + aAddress);
  return dealers_.emplace(aAddress, std::move(dealer)).first->second;
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
