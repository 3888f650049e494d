#pragma once

#include "drivers/peer/peer_transport.h"
#include "kernel/kernel.h"
#include "tests/support/free_port.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

#include <boost/json/object.hpp>
#include <doctest/doctest.h>
#include <zmq.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace gypsum::tests {

/** A transport that records the revisions of received messages, by which the
 * tests distinguish messages. */
class TestPeer
{
public:
  explicit TestPeer(const std::string& aAddress)
    : transport_(std::make_unique<PeerTransport>(aAddress))
  {
    transport_->SetHandler([this](const Route&, const PeerMessage& aMessage) {
      const std::lock_guard lock(mutex_);
      revisions_.push_back(aMessage.header.revision);
    });
    transport_->Start(kernel_);
  }

  void Send(const std::string& aAddress, Revision aRevision)
  {
    transport_->SendTo(aAddress, { { { "peer", 1 }, 2, aRevision }, Hello{} });
  }

  std::vector<Revision> Received()
  {
    const std::lock_guard lock(mutex_);
    return revisions_;
  }

  std::uint64_t Count(const char* aName) const
  {
    boost::json::object state;
    transport_->Describe(state);
    return state.at(aName).to_number<std::uint64_t>();
  }

private:
  Kernel kernel_;
  std::mutex mutex_;
  std::vector<Revision> revisions_;
  std::unique_ptr<PeerTransport> transport_;
};

TEST_CASE("[PeerTransport] ZeroMQ alone delivers queued messages to a process "
          "that takes over the address later")
{
  const std::string address = "tcp://" + FreeAddress();
  zmq::context_t context(1);
  zmq::socket_t dealer(context, zmq::socket_type::dealer);
  dealer.set(zmq::sockopt::linger, 0);
  dealer.connect(address);
  REQUIRE(dealer.send(zmq::str_buffer("old"), zmq::send_flags::dontwait));
  zmq::socket_t later(context, zmq::socket_type::router);
  later.bind(address);
  zmq::message_t frame;
  REQUIRE(later.recv(frame));
  REQUIRE(later.recv(frame));
  CHECK(frame.to_string_view() == "old");
}

TEST_CASE("[PeerTransport] a message to an address without a process is "
          "dropped and counted, not delivered to a later process")
{
  const std::string address = FreeAddress();
  TestPeer sender(FreeAddress());
  sender.Send(address, 1);
  REQUIRE(WaitUntil([&] { return sender.Count("dropped") == 1; }));
  TestPeer later(address);
  REQUIRE(WaitUntil([&] {
    sender.Send(address, 2);
    return !later.Received().empty();
  }));
  for (const Revision revision : later.Received()) {
    CHECK(revision == 2);
  }
}

TEST_CASE("[PeerTransport] messages sent while a peer is being replaced do "
          "not reach the new peer")
{
  const std::string address = FreeAddress();
  TestPeer sender(FreeAddress());
  auto first = std::make_unique<TestPeer>(address);
  REQUIRE(WaitUntil([&] {
    sender.Send(address, 1);
    return !first->Received().empty();
  }));
  first.reset();
  // Until it detects the lost connection, the sender may still count messages
  // as sent.
  REQUIRE(WaitUntil([&] {
    const std::uint64_t before = sender.Count("dropped");
    sender.Send(address, 2);
    return WaitUntil([&] { return sender.Count("dropped") > before; },
                     std::chrono::milliseconds(50));
  }));
  TestPeer second(address);
  REQUIRE(WaitUntil([&] {
    sender.Send(address, 3);
    return !second.Received().empty();
  }));
  for (const Revision revision : second.Received()) {
    CHECK(revision == 3);
  }
}

/** Many peers behind one socket, each with a loopback address of its own. */
class ManyPeers
{
public:
  explicit ManyPeers(int aCount)
  {
    router_.set(zmq::sockopt::linger, 0);
    router_.bind("tcp://0.0.0.0:*");
    const std::string bound = router_.get(zmq::sockopt::last_endpoint);
    const std::string port = bound.substr(bound.rfind(':'));
    constexpr int kPerNetwork = 250;
    for (int peer = 0; peer < aCount; ++peer) {
      addresses_.push_back("127.7." + std::to_string(peer / kPerNetwork) + "." +
                           std::to_string(1 + peer % kPerNetwork) + port);
    }
  }

  const std::vector<std::string>& Addresses() const { return addresses_; }

private:
  zmq::context_t context_{ 1 };
  zmq::socket_t router_{ context_, zmq::socket_type::router };
  std::vector<std::string> addresses_;
};

TEST_CASE("[PeerTransport] a message costs a visit to its socket only, however "
          "many peers there are")
{
  constexpr std::uint64_t kMessages = 20;
  constexpr std::uint64_t kMaxVisitsPerMessage = 2;
  int peers = 0;
  SUBCASE("5 peers")
  {
    peers = 5;
  }
  SUBCASE("68 peers")
  {
    peers = 68;
  }
  SUBCASE("300 peers")
  {
    peers = 300;
  }
  SUBCASE("1338 peers")
  {
    peers = 1'338;
  }
  const ManyPeers many(peers);
  const std::string address = FreeAddress();
  TestPeer gateway(address);
  const auto handled = [&] {
    return gateway.Count("sent") + gateway.Count("dropped");
  };
  // A message without a connection is dropped.
  REQUIRE(WaitUntil([&] {
    const std::uint64_t sent = gateway.Count("sent");
    const std::uint64_t before = handled();
    for (const std::string& peer : many.Addresses()) {
      gateway.Send(peer, 1);
    }
    const std::uint64_t count = many.Addresses().size();
    return WaitUntil([&] { return handled() >= before + count; }) &&
           gateway.Count("sent") >= sent + count;
  }));
  TestPeer sender(FreeAddress());
  REQUIRE(WaitUntil([&] {
    sender.Send(address, 2);
    return !gateway.Received().empty();
  }));
  const std::uint64_t received = gateway.Received().size();
  const std::uint64_t visited = gateway.Count("sockets_visited");
  for (std::uint64_t message = 1; message <= kMessages; ++message) {
    sender.Send(address, 3);
    REQUIRE(WaitUntil(
      [&] { return gateway.Received().size() >= received + message; }));
  }
  const std::uint64_t visitedToReceive = gateway.Count("sockets_visited");
  CHECK(visitedToReceive - visited <= kMaxVisitsPerMessage * kMessages);
  const std::uint64_t sent = gateway.Count("sent");
  for (std::uint64_t message = 1; message <= kMessages; ++message) {
    gateway.Send(many.Addresses().front(), 4);
    REQUIRE(WaitUntil([&] { return gateway.Count("sent") >= sent + message; }));
  }
  CHECK(gateway.Count("sockets_visited") - visitedToReceive <=
        kMaxVisitsPerMessage * kMessages);
}

TEST_CASE("[PeerTransport] malformed input does not affect other messages")
{
  const std::string address = FreeAddress();
  TestPeer receiver(address);
  const RawSocket invalidClient(address);
  invalidClient.Send("GET / HTTP/1.1\r\n\r\n");
  zmq::context_t context(1);
  zmq::socket_t dealer(context, zmq::socket_type::dealer);
  dealer.set(zmq::sockopt::linger, 0);
  dealer.connect("tcp://" + address);
  REQUIRE(dealer.send(zmq::str_buffer("no message"), zmq::send_flags::none));
  REQUIRE(WaitUntil([&] { return receiver.Count("malformed") == 1; }));
  TestPeer sender(FreeAddress());
  CHECK(WaitUntil([&] {
    sender.Send(address, 4);
    return !receiver.Received().empty();
  }));
}

} // namespace gypsum::tests
