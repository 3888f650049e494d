#include "drivers/clock.h"
#include "drivers/edge/backend_exchange.h"
#include "drivers/edge/edge_listener.h"
#include "tests/cell/cell_loop.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace gypsum::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Address(int aHost)
{
  return "127.50." + std::to_string(getpid() % 250) + "." +
         std::to_string(aHost) + ":18900";
}

/** A listener that responds with the path and the body of each request. */
struct EdgeFixture
{
  EdgeFixture()
  {
    limits.headerBytes = 1'024;
    limits.bodyBytes = 64;
    limits.headerTime = milliseconds(300);
    limits.idleTime = milliseconds(600);
    listener = loop.Run([&] {
      auto created = std::make_unique<EdgeListener>(
        loop.Context(), Address(1), [this](ClientConnectionPtr aClient) {
          return Serve(std::move(aClient));
        });
      created->Start();
      return created;
    });
  }
  ~EdgeFixture() { loop.Stop(); }

  boost::asio::awaitable<void> Serve(ClientConnectionPtr aClient)
  {
    for (;;) {
      last = co_await aClient->ReadRequest(limits);
      if (last != RequestReadResult::Complete) {
        co_return;
      }
      ++requests;
      EdgeResponse response;
      const std::string target(aClient->GetRequest().target());
      if (target.starts_with("/stream")) {
        co_await aClient->BeginStream(std::move(response));
        co_await aClient->WritePart(target);
        co_await aClient->EndStream();
      } else {
        response.status = target.starts_with("/empty") ? 204 : 200;
        response.body = target + "|" + aClient->GetRequest().body();
        co_await aClient->WriteResponse(std::move(response));
      }
      if (!aClient->KeepsAlive()) {
        co_return;
      }
    }
  }

  RequestReadResult ReadResultOf(const std::string& aBytes)
  {
    RawSocket socket(Address(1));
    last = RequestReadResult::Complete;
    socket.Send(aBytes);
    WaitUntil([&] { return last != RequestReadResult::Complete; }, seconds(3));
    return last;
  }

  CellLoop loop;
  ClientLimits limits;
  std::atomic<RequestReadResult> last{ RequestReadResult::Complete };
  std::atomic<int> requests = 0;
  std::unique_ptr<EdgeListener> listener;
};

/** An exchange against a scripted backend server. */
struct ExchangeFixture
{
  ExchangeFixture()
    : pool(loop.Context().get_executor())
  {
  }
  ~ExchangeFixture()
  {
    loop.Run([&] { pool.CloseAll(); });
    loop.Stop();
  }

  struct Received
  {
    ExchangeState head = ExchangeState::NotConnected;
    BodyPart body;
    unsigned status = 0;
    ConnectionEnd end = ConnectionEnd::Open;
  };

  static boost::asio::awaitable<Received> RunExchange(
    BackendPool& aPool,
    std::string aAddress,
    std::size_t aMaxMegabytes = 1,
    std::string aRequestBody = "body")
  {
    Received received;
    BackendExchange exchange(aPool, aAddress);
    const Instant deadline = Now().steady + seconds(1);
    received.head = co_await exchange.Connect(Reuse::Any, deadline);
    if (received.head != ExchangeState::Ok) {
      co_return received;
    }
    BackendExchange::Request request{ boost::beast::http::verb::post,
                                      "/x",
                                      11 };
    request.set("Host", "h");
    request.body() = std::move(aRequestBody);
    request.prepare_payload();
    exchange.Send(std::move(request));
    received.head = co_await exchange.ReadHead(deadline);
    if (received.head == ExchangeState::Ok) {
      received.status = exchange.GetHead().result_int();
      received.body = co_await exchange.ReadRest(deadline + seconds(4),
                                                 aMaxMegabytes * 1'000'000);
      received.end = exchange.GetConnectionEnd();
      exchange.Finish(std::nullopt, true);
    }
    co_return received;
  }

  /** Sends one request; the server responds with `aBytes` and closes or resets
   * the connection. */
  Received RespondWith(const std::string& aBytes, bool aIsReset = false)
  {
    auto received = boost::asio::co_spawn(
      loop.Context(), RunExchange(pool, Address(2)), boost::asio::use_future);
    RawSocket socket = server.Accept();
    socket.ReadMessage();
    socket.Send(aBytes);
    if (aIsReset) {
      socket.Reset();
    } else {
      socket.Close();
    }
    return received.get();
  }

  /** Sends one request; the server responds with `aBegin` and then with
   * `aUnit` over and over until its peer closes. Stores what it could send. */
  Received RespondWithoutEnd(const std::string& aBegin,
                             const std::string& aUnit)
  {
    auto received = boost::asio::co_spawn(
      loop.Context(), RunExchange(pool, Address(2)), boost::asio::use_future);
    RawSocket socket = server.Accept();
    socket.ReadMessage();
    sentBytes = 0;
    socket.Send(aBegin);
    while (sentBytes < kMostSentBytes && socket.Send(aUnit)) {
      sentBytes += aUnit.size();
    }
    return received.get();
  }

  /** Sends a long request; `aRespond` acts as the server, which has read its
   * header only. */
  template<typename Respond>
  Received Upload(Respond aRespond)
  {
    auto received = boost::asio::co_spawn(
      loop.Context(),
      RunExchange(pool, Address(4), 1, std::string(kUploadBytes, 'u')),
      boost::asio::use_future);
    RawSocket socket = smallServer.Accept();
    socket.ReadUntil("\r\n\r\n");
    aRespond(socket);
    return received.get();
  }

  std::size_t IdleCount()
  {
    return loop.Run([&] { return pool.IdleCount(); });
  }

  std::size_t BudgetLeft()
  {
    return loop.Run([&] { return pool.BodyBudget().Left(); });
  }

  /** Above all bounds and the buffers of both sockets. */
  static constexpr std::size_t kMostSentBytes = 64'000'000;
  /** Above the largest send buffer of a connection. */
  static constexpr std::size_t kUploadBytes = 32'000'000;
  std::size_t sentBytes = 0;
  CellLoop loop;
  BackendPool pool;
  RawListener server{ Address(2) };
  RawListener smallServer{ Address(4), kSmallConnection };
};

} // namespace

TEST_CASE_FIXTURE(EdgeFixture,
                  "[Edge] pipelined requests are answered in order")
{
  RawSocket socket(Address(1));
  socket.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
              "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
              "POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n1\r\nc\r\n0\r\n\r\n"
              "GET /4 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string all = socket.ReadToEnd();
  CHECK(all.find("/1|") < all.find("/2|ab"));
  CHECK(all.find("/2|ab") < all.find("/3|c"));
  CHECK(all.find("/3|c") < all.find("/4|"));
  CHECK(all.find("/4|") != std::string::npos);
}

// Guards against bytes of a body where the client expects the next response.
TEST_CASE_FIXTURE(EdgeFixture,
                  "[Edge] a response that has no body by its request or status "
                  "is followed by the next one")
{
  for (const std::string first :
       { "HEAD /1", "HEAD /stream", "HEAD /empty", "GET /empty" }) {
    CAPTURE(first);
    RawSocket socket(Address(1));
    socket.Send(first + " HTTP/1.1\r\nHost: h\r\n\r\n"
                        "GET /next HTTP/1.1\r\nHost: h\r\n"
                        "Connection: close\r\n\r\n");
    const std::string all = socket.ReadToEnd();
    const auto end = all.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    CHECK(all.substr(end + 4).starts_with("HTTP/1.1 200 "));
    CHECK(all.ends_with("/next|"));
  }
}

TEST_CASE_FIXTURE(
  EdgeFixture,
  "[Edge] a request with an ambiguous body length is rejected as malformed")
{
  const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& header :
       { std::string("Content-Length: -1\r\n"),
         std::string("Content-Length: 3\r\nContent-Length: 4\r\n"),
         std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
         std::string("Transfer-Encoding: gzip\r\n"),
         std::string("Transfer-Encoding: gzip, chunked\r\n"),
         std::string("Content-Length: 3x\r\n"),
         std::string("No colon\r\n") }) {
    CAPTURE(header);
    CHECK(ReadResultOf(start + header + "\r\nabc") ==
          RequestReadResult::Malformed);
  }
  CHECK(requests == 0);
}

TEST_CASE_FIXTURE(EdgeFixture,
                  "[Edge] a request above the header or body limit is rejected")
{
  CHECK(ReadResultOf("GET /" + std::string(2'000, 'a') + " HTTP/1.1\r\n\r\n") ==
        RequestReadResult::HeaderTooLarge);
  CHECK(
    ReadResultOf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n") ==
    RequestReadResult::BodyTooLarge);
}

TEST_CASE_FIXTURE(EdgeFixture, "[Edge] a header sent too slowly times out")
{
  RawSocket socket(Address(1));
  last = RequestReadResult::Complete;
  WaitUntil(
    [&] {
      socket.Send("x");
      return last != RequestReadResult::Complete;
    },
    seconds(3));
  CHECK(last == RequestReadResult::TimedOut);
}

TEST_CASE_FIXTURE(EdgeFixture,
                  "[Edge] an idle connection is closed after the idle time")
{
  RawSocket socket(Address(1));
  socket.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  socket.ReadUntil("/1|");
  CHECK(socket.ReadToEnd().empty());
  // The timeout closes the socket before the reading coroutine resumes.
  CHECK(WaitUntil([&] { return last == RequestReadResult::Closed; }));
}

TEST_CASE_FIXTURE(
  ExchangeFixture,
  "[Edge] the connection of a complete response is kept for reuse")
{
  auto received = boost::asio::co_spawn(
    loop.Context(), RunExchange(pool, Address(2)), boost::asio::use_future);
  RawSocket socket = server.Accept();
  socket.ReadMessage();
  socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CHECK(received.get().body.bytes == "ok");
  CHECK(IdleCount() == 1);
  // The second request uses the same connection.
  received = boost::asio::co_spawn(
    loop.Context(), RunExchange(pool, Address(2)), boost::asio::use_future);
  CHECK(socket.ReadMessage().find("body") != std::string::npos);
  socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
  CHECK(received.get().body.bytes == "yes");
  SUBCASE("closed when bytes arrive that belong to no request")
  {
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(WaitUntil([&] {
      return loop.Run([&] {
        pool.CloseExpired(Now().steady);
        return pool.IdleCount();
      }) == 0;
    }));
  }
  SUBCASE("closed when its idle time has passed")
  {
    loop.Run([&] { pool.CloseExpired(Now().steady + seconds(60)); });
    CHECK(IdleCount() == 0);
  }
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a truncated response is never taken as complete")
{
  for (const std::string& bytes :
       { std::string(""),
         std::string("HTTP/1.1 200 OK\r\nContent-Le"),
         std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "5\r\nabc"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n"),
         std::string("these bytes are no answer\r\n\r\n") }) {
    CAPTURE(bytes);
    const Received received = RespondWith(bytes);
    CHECK((received.head != ExchangeState::Ok ||
           received.body.state != ExchangeState::Ok));
    CHECK(IdleCount() == 0);
  }
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a response cut off at any byte is complete only if "
                  "its framing says so")
{
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string body = "123456789";
  struct Sample
  {
    std::string head;
    std::string framedBody;
    BodyFraming framing;
  };
  const std::array samples{
    Sample{ start + "Content-Length: 9\r\n\r\n", body, BodyFraming::Length },
    Sample{ start + "Transfer-Encoding: chunked\r\n\r\n",
            "4;x=y\r\n1234\r\n5\r\n56789\r\n0\r\nTrailer: t\r\n\r\n",
            BodyFraming::Chunks },
    Sample{ start + "X: y\r\n\r\n", body, BodyFraming::ConnectionEnd }
  };
  for (const Sample& sample : samples) {
    const std::string bytes = sample.head + sample.framedBody;
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      for (const bool isReset : { false, true }) {
        CAPTURE(sample.head);
        CAPTURE(cut);
        CAPTURE(isReset);
        const bool isWhole = sample.framing == BodyFraming::ConnectionEnd
                               ? cut >= sample.head.size() && !isReset
                               : cut == bytes.size();
        const Received received = RespondWith(bytes.substr(0, cut), isReset);
        const bool isComplete = received.head == ExchangeState::Ok &&
                                received.body.state == ExchangeState::Ok;
        if (!isWhole) {
          CHECK_FALSE(isComplete);
        } else if (!isReset) {
          CHECK(isComplete);
          CHECK(body.starts_with(received.body.bytes));
        }
      }
    }
  }
  CHECK(IdleCount() == 0);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a response without a length ends with its "
                  "connection, which is not reused")
{
  const Received received = RespondWith("HTTP/1.1 200 OK\r\n\r\nall of it");
  CHECK(received.body.state == ExchangeState::Ok);
  CHECK(received.body.bytes == "all of it");
  CHECK(received.end == ConnectionEnd::Closed);
  CHECK(IdleCount() == 0);
}

// The pending write takes the error of the connection, and the read that
// follows sees a proper end.
TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a response that ends with its connection is never "
                  "complete if the connection fails under the request")
{
  const std::string begin = "HTTP/1.1 200 OK\r\n\r\nfirst part, ";
  const auto sendParts =
    [&](RawSocket& aSocket, std::size_t aParts, milliseconds aPause) {
      aSocket.Send(begin);
      for (std::size_t part = 0; part < aParts; ++part) {
        std::this_thread::sleep_for(aPause);
        aSocket.Send("more");
      }
      std::this_thread::sleep_for(aPause);
    };
  struct Sample
  {
    std::string_view name;
    std::size_t parts;
    milliseconds pause;
  };
  for (const Sample& sample :
       { Sample{ "at once", 0, milliseconds(0) },
         Sample{ "soon", 0, milliseconds(50) },
         Sample{ "after a later part", 1, milliseconds(300) },
         Sample{ "between many parts", 5, milliseconds(30) },
         Sample{ "late", 0, milliseconds(1'500) } }) {
    CAPTURE(sample.name);
    const Received reset = Upload([&](RawSocket& aSocket) {
      sendParts(aSocket, sample.parts, sample.pause);
      aSocket.Reset();
    });
    CHECK(reset.body.state != ExchangeState::Ok);
    CHECK_FALSE(reset.body.isEnd);
    CHECK(reset.end == ConnectionEnd::Reset);
    // Its kernel resets the connection for the unread rest of the request.
    const Received closed = Upload([&](RawSocket& aSocket) {
      sendParts(aSocket, sample.parts, sample.pause);
      aSocket.Close();
    });
    CHECK(closed.body.state != ExchangeState::Ok);
    CHECK_FALSE(closed.body.isEnd);
  }
  CHECK(IdleCount() == 0);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a response that ends with its connection is not "
                  "complete while the request can't be written")
{
  std::optional<RawSocket> kept;
  const Received received = Upload([&](RawSocket& aSocket) {
    aSocket.Send("HTTP/1.1 200 OK\r\n\r\nall of it");
    aSocket.CloseSending();
    kept = std::move(aSocket);
  });
  CHECK(received.body.state != ExchangeState::Ok);
  CHECK_FALSE(received.body.isEnd);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a response that ends with its connection is complete "
                  "if its server goes on to read the whole request")
{
  std::size_t readBytes = 0;
  const Received received = Upload([&](RawSocket& aSocket) {
    aSocket.Send("HTTP/1.1 200 OK\r\n\r\nall of it");
    aSocket.CloseSending();
    std::this_thread::sleep_for(milliseconds(200));
    readBytes = aSocket.ReadToEnd().size();
  });
  CHECK(received.body.state == ExchangeState::Ok);
  CHECK(received.body.bytes == "all of it");
  CHECK(readBytes == kUploadBytes);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a response whose framing marks its end is complete "
                  "although the connection is reset under the request")
{
  for (const std::string_view bytes :
       { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "9\r\nall of it\r\n0\r\n\r\n" }) {
    CAPTURE(bytes);
    const Received received = Upload([&](RawSocket& aSocket) {
      aSocket.Send(bytes);
      std::this_thread::sleep_for(milliseconds(50));
      aSocket.Reset();
    });
    CHECK(received.body.state == ExchangeState::Ok);
    CHECK(received.body.bytes == "all of it");
  }
  CHECK(IdleCount() == 0);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a server that responds early and reads on gets the "
                  "whole request, and its connection is kept only then")
{
  std::optional<RawSocket> kept;
  const Received received = Upload([&](RawSocket& aSocket) {
    aSocket.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it");
    kept = std::move(aSocket);
  });
  CHECK(received.body.state == ExchangeState::Ok);
  CHECK(received.body.bytes == "all of it");
  CHECK(IdleCount() == 0);
  SUBCASE("read after a pause")
  {
    std::this_thread::sleep_for(milliseconds(500));
    const std::string request = kept->ReadBytes(kUploadBytes);
    CHECK(request.size() == kUploadBytes);
    CHECK(request.find_first_not_of('u') == std::string::npos);
    CHECK(WaitUntil([&] { return IdleCount() == 1; }, seconds(3)));
    CHECK(BudgetLeft() == BackendPool::kBodyBudget);
  }
  SUBCASE("never read")
  {
    CHECK(BudgetLeft() == BackendPool::kBodyBudget - kUploadBytes);
    CHECK(WaitUntil([&] { return BudgetLeft() == BackendPool::kBodyBudget; },
                    seconds(10)));
    CHECK(IdleCount() == 0);
    CHECK(kept->ReadToEnd().size() < kUploadBytes);
  }
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a server that fails a request early gets no more of "
                  "it")
{
  std::size_t readBytes = kUploadBytes;
  const Received received = Upload([&](RawSocket& aSocket) {
    aSocket.Send("HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(500));
    readBytes = aSocket.ReadToEnd().size();
  });
  CHECK(received.status == 413);
  CHECK(readBytes < kUploadBytes);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a connection with bytes after the response is closed")
{
  const Received received = RespondWith(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK");
  CHECK(received.body.bytes == "ok");
  CHECK(IdleCount() == 0);
}

TEST_CASE_FIXTURE(
  ExchangeFixture,
  "[Edge] an interim response is skipped and a silent server times out")
{
  CHECK(RespondWith("HTTP/1.1 100 Continue\r\n\r\n"
                    "HTTP/1.1 201 Made\r\nContent-Length: 0\r\n\r\n")
          .status == 201);
  auto received = boost::asio::co_spawn(
    loop.Context(), RunExchange(pool, Address(2)), boost::asio::use_future);
  RawSocket socket = server.Accept();
  CHECK(received.get().head == ExchangeState::TimedOut);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] connecting without a listener returns NotConnected")
{
  const auto received = boost::asio::co_spawn(loop.Context(),
                                              RunExchange(pool, Address(3)),
                                              boost::asio::use_future)
                          .get();
  CHECK(received.head == ExchangeState::NotConnected);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] a response without end is given up by its bytes, "
                  "wherever they come")
{
  struct Sample
  {
    std::string begin;
    std::string unit;
  };
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string chunks = start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string letters(1'000, 'a');
  const std::array samples{
    Sample{ "", letters },
    Sample{ start, "X: " + letters + "\r\n" },
    Sample{ start + "X: ", letters },
    Sample{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
    Sample{ "", "HTTP/1.1 103 Hints\r\nX: " + letters + "\r\n\r\n" },
    Sample{ chunks + "0\r\n", "X: " + letters + "\r\n" },
    Sample{ chunks + "1;", letters },
    Sample{ chunks, "1;" + letters + "\r\nx\r\n" },
    Sample{ chunks, "3e8\r\n" + letters + "\r\n" },
    Sample{ start + "Content-Length: 1000000000000\r\n\r\n", letters },
    Sample{ start + "\r\n", letters },
  };
  for (const Sample& sample : samples) {
    CAPTURE(sample.begin);
    CAPTURE(sample.unit.substr(0, 30));
    const Received received = RespondWithoutEnd(sample.begin, sample.unit);
    const bool isBroken = received.head == ExchangeState::Broken ||
                          received.body.state == ExchangeState::Broken;
    CHECK(isBroken);
    CHECK(sentBytes < kMostSentBytes);
  }
  CHECK(IdleCount() == 0);
}

TEST_CASE_FIXTURE(ExchangeFixture,
                  "[Edge] many long bodies at a time are held up to a budget, "
                  "and short ones are read beside them")
{
  constexpr std::size_t kBodies = 20;
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: ";
  const std::string longBody(8'000'000, 'a');
  const std::string longHead =
    start + std::to_string(longBody.size() + 1) + "\r\n\r\n";
  std::vector<std::future<Received>> bodies;
  std::vector<RawSocket> sockets;
  const auto begin = [&] {
    bodies.push_back(boost::asio::co_spawn(loop.Context(),
                                           RunExchange(pool, Address(2), 64),
                                           boost::asio::use_future));
    sockets.push_back(server.Accept());
    sockets.back().ReadMessage();
  };
  for (std::size_t body = 0; body < kBodies; ++body) {
    begin();
    sockets.back().Send(longHead);
    sockets.back().Send(longBody);
  }
  begin();
  sockets.back().Send(start + "2\r\n\r\nok");
  CHECK(bodies.back().get().body.bytes == "ok");
  CHECK(BudgetLeft() < BackendPool::kBodyBudget);
  for (RawSocket& socket : sockets) {
    socket.Send("b");
  }
  std::size_t whole = 0;
  for (std::size_t body = 0; body < kBodies; ++body) {
    const Received received = bodies[body].get();
    whole += received.body.state == ExchangeState::Ok ? 1 : 0;
  }
  CHECK(whole > 0);
  CHECK(whole * longBody.size() <= BackendPool::kBodyBudget);
  CHECK(BudgetLeft() == BackendPool::kBodyBudget);
}

} // namespace gypsum::tests
