#pragma once

#include "drivers/http/http_server.h"
#include "tests/support/free_port.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace gypsum::tests {

/** HTTP server that echoes path and body; requests to `/block` wait for
 * `Unblock`. */
class HttpServerFixture
{
protected:
  static constexpr unsigned kThreads = 8;
  static constexpr std::uint64_t kMaxBodyBytes = 1'000;

  HttpServerFixture()
    : address_(FreeAddress())
    , server_({ address_,
                kThreads,
                kMaxBodyBytes,
                std::chrono::milliseconds(300),
                std::chrono::milliseconds(300) },
              [this](const HttpRequest& aRequest) { return Echo(aRequest); })
  {
    server_.Begin();
  }
  ~HttpServerFixture() { Unblock(); }

  HttpReply Echo(const HttpRequest& aRequest)
  {
    std::unique_lock lock(mutex_);
    ++handledCount_;
    if (aRequest.path == "/block") {
      unblocked_.wait(lock, [this] { return isUnblocked_; });
    }
    return { 200, "OK", {}, aRequest.path + "(" + aRequest.body + ")" };
  }

  void Unblock()
  {
    const std::lock_guard lock(mutex_);
    isUnblocked_ = true;
    unblocked_.notify_all();
  }

  unsigned HandledCount()
  {
    const std::lock_guard lock(mutex_);
    return handledCount_;
  }

  static std::string Post(const std::string& aHeader,
                          const std::string& aBody,
                          const std::string& aPath = "/echo")
  {
    return "POST " + aPath + " HTTP/1.1\r\nHost: x\r\n" + aHeader + "\r\n" +
           aBody;
  }

  /** Sends the bytes; returns all that the server sends until it closes. */
  std::string Exchange(const std::string& aBytes) const
  {
    const RawSocket socket(address_);
    socket.Send(aBytes);
    return socket.ReadToEnd();
  }

  std::string address_;
  std::mutex mutex_;
  std::condition_variable unblocked_;
  bool isUnblocked_ = false;
  unsigned handledCount_ = 0;
  HttpServer server_;
};

TEST_CASE_FIXTURE(HttpServerFixture,
                  "[HttpServer] a request with an ambiguous length is refused "
                  "and its connection is closed")
{
  struct Case
  {
    const char* header;
    const char* status;
  };
  constexpr std::array kCases{
    Case{ "Content-Length: -1\r\n", "400" },
    Case{ "Content-Length: +2\r\n", "400" },
    Case{ "Content-Length: 2, 2\r\n", "400" },
    Case{ "Content-Length: 18446744073709551618\r\n", "400" },
    Case{ "Content-Length: 2\r\nContent-Length: 4\r\n", "400" },
    Case{ "Content-Length : 2\r\ncontent-length: 4\r\n", "400" },
    Case{ "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "400" },
    Case{ "Transfer-Encoding: chunked\r\n", "411" },
    Case{ "", "411" },
    Case{ "Content-Length: 10000000000\r\n", "413" },
    Case{ "Content-Length: 1001\r\n", "413" },
    Case{ "Idempotency-Key: a\r\nidempotency-key: b\r\nContent-Length: 2\r\n",
          "400" },
  };
  for (const Case& item : kCases) {
    CAPTURE(item.header);
    const std::string reply = Exchange(Post(item.header, "hi"));
    CHECK(reply.starts_with("HTTP/1.1 " + std::string(item.status)));
    CHECK(reply.find("Gypsum-Outcome: not-run") != std::string::npos);
  }
  CHECK(
    Exchange(Post("Content-Length: 2\r\n", "hi", "/" + std::string(5'000, 'a')))
      .starts_with("HTTP/1.1 400"));
  CHECK(HandledCount() == 0);
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "[HttpServer] a malformed or oversized header reaches no "
                  "handler and does not affect other requests")
{
  const RawSocket other(address_);
  CHECK(Exchange("GARBAGE\r\n\r\n").starts_with("HTTP/1.1 500"));
  CHECK(Exchange(Post("no colon\r\nContent-Length: 2\r\n", "hi"))
          .starts_with("HTTP/1.1 500"));
  CHECK(Exchange(Post("X: " + std::string(5'000, 'y') + "\r\n", "hi")) == "");
  CHECK(HandledCount() == 0);
  other.Send(Post("Content-Length: 2\r\n", "hi"));
  CHECK(other.ReadMessage().ends_with("/echo(hi)"));
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "[HttpServer] requests sent in one write are answered "
                  "separately")
{
  const RawSocket socket(address_);
  socket.Send(Post("Content-Length: 3\r\n", "one") +
              Post("Content-Length: 3\r\n", "two"));
  CHECK(socket.ReadMessage().ends_with("/echo(one)"));
  CHECK(socket.ReadMessage().ends_with("/echo(two)"));
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "[HttpServer] a body that arrives too slowly is refused with "
                  "408")
{
  const RawSocket socket(address_);
  socket.Send(Post("Content-Length: 900\r\n", "a"));
  const bool isClosed = WaitUntil([&] { return !socket.Send("a"); });
  CHECK(isClosed);
  CHECK(HandledCount() == 0);
  const RawSocket reader(address_);
  reader.Send(Post("Content-Length: 900\r\n", "a"));
  // The last byte is sent after the body timeout; the reply must still be
  // readable.
  std::string reply;
  for (int count = 0; count < 30 && reply.empty(); ++count) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    reader.Send("a");
  }
  reply = reader.ReadUntil("\r\n");
  CHECK(reply.starts_with("HTTP/1.1 408"));
}

TEST_CASE_FIXTURE(
  HttpServerFixture,
  "[HttpServer] connections that are idle or half-closed within "
  "a request are closed without an answer")
{
  CHECK(Exchange("POST /echo HTTP/1.1\r\n") == "");
  CHECK(Exchange(Post("Content-Length: 20\r\n", "hi")) == "");
  const RawSocket incomplete(address_);
  incomplete.Send(Post("Content-Length: 20\r\n", "hi"));
  incomplete.CloseSending();
  CHECK(incomplete.ReadToEnd() == "");
  CHECK(HandledCount() == 0);
  const RawSocket complete(address_);
  complete.Send(Post("Content-Length: 2\r\n", "hi"));
  complete.CloseSending();
  CHECK(complete.ReadToEnd().ends_with("/echo(hi)"));
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "[HttpServer] a request with Expect: 100-continue gets 100 "
                  "Continue")
{
  const RawSocket socket(address_);
  socket.Send(Post("Expect: 100-continue\r\nContent-Length: 2\r\n", ""));
  CHECK(socket.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
  socket.Send("hi");
  CHECK(socket.ReadMessage().ends_with("/echo(hi)"));
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "[HttpServer] a request is answered while a thread is free "
                  "and not read while all threads are blocked")
{
  std::vector<RawSocket> blocked;
  const auto block = [&](unsigned aCount,
                         std::chrono::milliseconds aTimeout = kMaxWait) {
    while (blocked.size() < aCount) {
      blocked.emplace_back(address_);
      blocked.back().Send(Post("Content-Length: 0\r\n", "", "/block"));
    }
    return WaitUntil([&] { return HandledCount() >= aCount; }, aTimeout);
  };
  REQUIRE(block(kThreads - 1));
  const RawSocket quick(address_);
  quick.Send(Post("Content-Length: 2\r\n", "hi"));
  CHECK(quick.ReadMessage().ends_with("/echo(hi)"));
  // Requests that arrive while all threads are busy wait inside the library,
  // where the server cannot see them.
  constexpr unsigned kRequests = 4 * kThreads;
  CHECK_FALSE(block(kRequests, std::chrono::milliseconds(300)));
  CHECK(HandledCount() == kThreads + 1);
  Unblock();
  CHECK(WaitUntil([&] { return HandledCount() == kRequests + 1; }));
}

TEST_CASE_FIXTURE(HttpServerFixture,
                  "[HttpServer] many slow connections do not block a complete "
                  "request")
{
  const std::string address = FreeAddress();
  HttpServer server(
    { address, kThreads, kMaxBodyBytes },
    [this](const HttpRequest& aRequest) { return Echo(aRequest); });
  server.Begin();
  std::vector<RawSocket> slow;
  for (unsigned count = 0; count < 10 * kThreads; ++count) {
    slow.emplace_back(address);
    slow.back().Send("POST /echo HTTP/1.1\r\nContent-Length: 4\r\n");
  }
  const RawSocket quick(address);
  quick.Send(Post("Content-Length: 2\r\n", "hi"));
  CHECK(quick.ReadMessage().ends_with("/echo(hi)"));
  CHECK(HandledCount() == 1);
  // The slow connections are still open; each is answered once its request is
  // complete.
  for (const RawSocket& socket : slow) {
    socket.Send("\r\nslow");
  }
  CHECK(std::ranges::all_of(slow, [](const RawSocket& aSocket) {
    return aSocket.ReadMessage().ends_with("/echo(slow)");
  }));
}

} // namespace gypsum::tests
