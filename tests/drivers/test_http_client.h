#pragma once

#include "drivers/address.h"
#include "drivers/http/http_client.h"
#include "tests/support/free_port.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <exception>
#include <future>
#include <string>

namespace gypsum::tests {

/** Collects the reply to a request sent directly with cxxtools. */
class LibraryReply : public cxxtools::Connectable
{
public:
  explicit LibraryReply(cxxtools::http::Client& aClient)
  {
    cxxtools::connect(
      aClient.replyFinished, *this, &LibraryReply::OnReplyFinished);
    cxxtools::connect(
      aClient.bodyAvailable, *this, &LibraryReply::OnBodyAvailable);
  }
  bool IsFinished() const { return isFinished_; }
  const std::string& Body() const { return body_; }

private:
  void OnReplyFinished(cxxtools::http::Client& /*aClient*/)
  {
    isFinished_ = true;
  }
  std::size_t OnBodyAvailable(cxxtools::http::Client& aClient)
  {
    const std::size_t before = body_.size();
    while (aClient.in().rdbuf()->in_avail() > 0) {
      body_ += static_cast<char>(aClient.in().get());
    }
    return body_.size() - before;
  }

  bool isFinished_ = false;
  std::string body_;
};

/** HTTP client connected to a scripted server. */
class HttpClientFixture
{
protected:
  static constexpr std::chrono::seconds kLongTimeout{ 20 };
  static constexpr std::chrono::milliseconds kShortTimeout{ 100 };

  static std::string Reply(const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  std::future<HttpCallResult> Call(ConnectionUse aUse,
                                   Duration aTimeout = kLongTimeout)
  {
    return std::async(std::launch::async, [this, aUse, aTimeout] {
      const HttpRequest request{ "POST", "/book", {}, {}, "hold" };
      return client_.Call(request, aUse, aTimeout);
    });
  }

  const std::string address_ = FreeAddress();
  RawListener listener_{ address_ };
  HttpClient client_{ address_ };
};

TEST_CASE_FIXTURE(
  HttpClientFixture,
  "[HttpClient] when a connection closes during a POST, cxxtools "
  "alone sends it twice and a Fresh call sends it once")
{
  unsigned requests = 0;
  SUBCASE("cxxtools alone")
  {
    const Address address = SplitAddress(address_);
    auto calls = std::async(std::launch::async, [&] {
      cxxtools::http::Client libraryClient(address.host, address.port);
      cxxtools::http::Request request("/book");
      request.method("POST");
      libraryClient.execute(request, cxxtools::Milliseconds(20'000));
      libraryClient.readBody();
      libraryClient.execute(request, cxxtools::Milliseconds(20'000));
      return libraryClient.readBody().body();
    });
    RawSocket first = listener_.Accept();
    first.ReadMessage();
    first.Send(Reply("one"));
    // The second request arrives completely, then its connection closes.
    requests += first.ReadMessage().starts_with("POST") ? 1 : 0;
    first.Close();
    const RawSocket second = listener_.Accept();
    requests += second.ReadMessage().starts_with("POST") ? 1 : 0;
    second.Send(Reply("two"));
    CHECK(calls.get() == "two");
    CHECK(requests == 2);
  }
  SUBCASE("cxxtools alone, connected before the call")
  {
    const Address address = SplitAddress(address_);
    auto call = std::async(std::launch::async, [&] {
      cxxtools::http::Client libraryClient(address.host, address.port);
      cxxtools::http::Request request("/book");
      request.method("POST");
      libraryClient.connect();
      libraryClient.execute(request, cxxtools::Milliseconds(20'000));
      return libraryClient.readBody().body();
    });
    RawSocket first = listener_.Accept();
    requests += first.ReadMessage().starts_with("POST") ? 1 : 0;
    first.Close();
    const RawSocket second = listener_.Accept();
    requests += second.ReadMessage().starts_with("POST") ? 1 : 0;
    second.Send(Reply("two"));
    CHECK(call.get() == "two");
    CHECK(requests == 2);
  }
  SUBCASE("HttpClient")
  {
    auto call = Call(ConnectionUse::Fresh);
    RawSocket first = listener_.Accept();
    first.ReadMessage();
    first.Send(Reply("one"));
    CHECK(call.get().reply->body == "one");
    call = Call(ConnectionUse::Fresh);
    RawSocket second = listener_.Accept();
    requests += second.ReadMessage().ends_with("hold") ? 1 : 0;
    second.Close();
    const HttpCallResult result = call.get();
    CHECK(result.wasSent);
    CHECK_FALSE(result.reply);
    CHECK(requests == 1);
    CHECK_FALSE(listener_.HasConnection(kShortTimeout));
  }
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "[HttpClient] after a timeout, cxxtools alone reads the late "
                  "reply as the reply to the next request, HttpClient does not")
{
  SUBCASE("cxxtools alone")
  {
    const Address address = SplitAddress(address_);
    cxxtools::Selector selector;
    cxxtools::http::Client libraryClient(selector, address.host, address.port);
    cxxtools::http::Request request("/book");
    request.method("POST");
    libraryClient.beginExecute(request);
    const RawSocket late = listener_.Accept();
    // The caller of the first request times out here.
    selector.wait(cxxtools::Milliseconds(100));
    late.ReadMessage();
    late.Send(Reply("late"));
    LibraryReply reply(libraryClient);
    libraryClient.beginExecute(request);
    REQUIRE(WaitUntil([&] {
      selector.wait(cxxtools::Milliseconds(100));
      return reply.IsFinished();
    }));
    CHECK(reply.Body() == "late");
  }
  SUBCASE("HttpClient")
  {
    auto call = Call(ConnectionUse::Reusable, kShortTimeout);
    const RawSocket late = listener_.Accept();
    late.ReadMessage();
    CHECK_FALSE(call.get().reply);
    late.Send(Reply("late"));
    call = Call(ConnectionUse::Reusable);
    const RawSocket next = listener_.Accept();
    next.ReadMessage();
    next.Send(Reply("mine"));
    CHECK(call.get().reply->body == "mine");
  }
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "[HttpClient] an incomplete or malformed reply is discarded")
{
  constexpr std::array kReplies{
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
    "HTTP/1.1 200 OK\r\n\r\nuntil the end",
    "HTTP/1.1 200 OK\r\nContent-Len",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    "nonsense\r\n\r\n",
    "",
  };
  for (const char* const reply : kReplies) {
    CAPTURE(reply);
    auto call = Call(ConnectionUse::Fresh);
    RawSocket server = listener_.Accept();
    server.ReadMessage();
    server.Send(reply);
    server.Close();
    const HttpCallResult result = call.get();
    CHECK(result.wasSent);
    CHECK_FALSE(result.reply);
  }
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "[HttpClient] a reply that is cut off at any byte is "
                  "discarded")
{
  const std::string start = "HTTP/1.1 200 OK\r\n";
  for (const std::string& reply :
       { start + "Content-Length: 4\r\n\r\nbody",
         start + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n"
                 "0\r\n\r\n" }) {
    for (std::size_t cut = 0; cut < reply.size(); ++cut) {
      for (const bool isReset : { false, true }) {
        CAPTURE(reply);
        CAPTURE(cut);
        CAPTURE(isReset);
        auto call = Call(ConnectionUse::Fresh);
        RawSocket server = listener_.Accept();
        server.ReadMessage();
        server.Send(reply.substr(0, cut));
        if (isReset) {
          server.Reset();
        } else {
          server.Close();
        }
        const HttpCallResult result = call.get();
        CHECK(result.wasSent);
        CHECK_FALSE(result.reply);
      }
    }
  }
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "[HttpClient] a complete reply in chunks is returned")
{
  for (const char* const body :
       { "4\r\nbody\r\n0\r\n\r\n", "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n" }) {
    CAPTURE(body);
    auto call = Call(ConnectionUse::Fresh);
    RawSocket server = listener_.Accept();
    server.ReadMessage();
    server.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    server.Send(body);
    const HttpCallResult result = call.get();
    CAPTURE(result.failure);
    REQUIRE(result.reply);
    CHECK(result.reply->body == "body");
  }
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "[HttpClient] a reply without end is given up by its bytes")
{
  auto call = Call(ConnectionUse::Fresh);
  const RawSocket server = listener_.Accept();
  server.ReadMessage();
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
  const std::string part(1'000'000, 'a');
  int parts = 0;
  while (parts < 1'000 && server.Send(part)) {
    ++parts;
  }
  CHECK(parts < 1'000);
  const HttpCallResult result = call.get();
  CHECK(result.wasSent);
  CHECK_FALSE(result.reply);
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "[HttpClient] aborting a call closes the connection at once")
{
  auto call = Call(ConnectionUse::Fresh);
  const RawSocket server = listener_.Accept();
  server.ReadMessage();
  client_.Abort();
  CHECK(server.ReadToEnd() == "");
  const HttpCallResult result = call.get();
  CHECK(result.wasSent);
  CHECK(result.failure == "aborted");
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "[HttpClient] the query is sent with every method")
{
  auto call = std::async(std::launch::async, [this] {
    const HttpRequest request{ "POST", "/set", "revision=5", {}, "text" };
    return client_.Call(request, ConnectionUse::Fresh, kLongTimeout);
  });
  const RawSocket server = listener_.Accept();
  CHECK(server.ReadMessage().starts_with("POST /set?revision=5 HTTP/1.1"));
  server.Send(Reply("set"));
  CHECK(call.get().reply->body == "set");
}

TEST_CASE(
  "[HttpClient] a call without a listening server is reported as not sent")
{
  HttpClient client(FreeAddress());
  const HttpRequest request{ "POST", "/book", {}, {}, "hold" };
  const HttpCallResult result =
    client.Call(request, ConnectionUse::Fresh, std::chrono::seconds(20));
  CHECK_FALSE(result.wasSent);
  CHECK_FALSE(result.reply);
}

TEST_CASE_FIXTURE(HttpClientFixture,
                  "[HttpClient] a call with an expired deadline sends nothing")
{
  const HttpCallResult result =
    Call(ConnectionUse::Fresh, Duration::zero()).get();
  CHECK_FALSE(result.wasSent);
  CHECK_FALSE(listener_.HasConnection(kShortTimeout));
}

} // namespace gypsum::tests
