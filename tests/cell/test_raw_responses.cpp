#include "tests/cell/cell.h"
#include "tests/cell/stream_check.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum::tests {

namespace {

/** In each response that a client must not get. */
constexpr std::string_view kForeign = "FOREIGN";

/** What the next server says when a stream is taken up there. */
const std::vector<CellRawResponse> kErrors{
  { "HTTP/1.1 500 E\r\nContent-Length: 7\r\n\r\nFOREIGN" },
  { "HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n\r\n"
    "7\r\nFOREIGN\r\n0\r\n\r\n" },
  { "HTTP/1.1 500 E\r\n\r\nFOREIGN" },
  { "HTTP/1.1 502 E\r\nContent-Length: 7\r\n\r\nFOREIGN" },
  { "HTTP/1.1 404 E\r\nContent-Length: 7\r\n\r\nFOREIGN" },
  { "HTTP/1.1 503 E\r\nAttempt-Id: %A\r\nContent-Length: 7\r\n\r\nFOREIGN" },
  { "HTTP/1.1 200 OK\r\nAttempt-Id: %A\r\nContent-Type: text/plain\r\n"
    "Content-Length: 7\r\n\r\nFOREIGN" },
  { "HTTP/1.1 204 E\r\nAttempt-Id: %A\r\n\r\n" },
  { "HTTP/1.1 304 E\r\nAttempt-Id: %A\r\n\r\n" },
  { "HTTP/1.1 302 E\r\nLocation: /FOREIGN\r\nContent-Length: 0\r\n\r\n" },
  { "HTTP/1.1 200 OK\r\nAttempt-Id: %A\r\nContent-Type: text/event-stream\r\n"
    "Content-Length: 0\r\n\r\n" },
  { "HTTP/1.1 500 E\r\nContent-Length: 7\r\nX-FOREIGN: 1\r\n\r\nFORE" },
  { "HTTP/1.1 200 OK\r\nContent-Ty" },
  { "FOREIGN, and no HTTP at all\r\n\r\n" },
  { "HTTP/1.1 102 P\r\n\r\nHTTP/1.1 500 E\r\nContent-Length: "
    "7\r\n\r\nFOREIGN" },
  { "", true },
  // An error whose body reads like the events that are due.
  { "HTTP/1.1 500 E\r\nAttempt-Id: %A\r\nContent-Type: text/event-stream\r\n"
    "Connection: close\r\n\r\nid: %E\ndata: FOREIGN %E\n\n" },
  // An error in the middle of the resumed stream: between, and within, chunks.
  { "HTTP/1.1 200 OK\r\nAttempt-Id: %A\r\nReplica-Seal: s.%A\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nid:\r\nHTTP/1.1 500 E\r\nContent-Length: 7\r\n\r\nFOREIGN" },
  { "HTTP/1.1 200 OK\r\nAttempt-Id: %A\r\nReplica-Seal: s.%A\r\n"
    "Content-Type: text/event-stream\r\nContent-Length: 500\r\n\r\n"
    "id: %E\nda",
    true },
};

/** A head of a response, in parts that it may end after. */
constexpr std::array<std::string_view, 9> kHeadParts{
  "HTTP/1.1 102 Proc",
  "essing\r\n",
  "X-Note: 1\r\n",
  "\r\n",
  "HTTP/1.1 2",
  "00 OK\r\nAttempt-Id: ",
  "%A\r\nReplica-Seal: s.%A\r\nConten",
  "t-Length: 40",
  "\r\n"
};

struct RawResponseFixture
{
  using Group = std::vector<std::unique_ptr<CellReplica>>;

  RawResponseFixture() { REQUIRE(cell.Start()); }

  template<typename Change>
  void SetFaults(Group& aGroup, Change aChange)
  {
    cell.Run([&] {
      std::ranges::for_each(aGroup,
                            [&](auto& aOne) { aChange(aOne->Faults()); });
    });
  }

  std::uint64_t RawResponses(Group& aGroup)
  {
    return cell.Run([&] {
      std::uint64_t count = 0;
      for (const auto& one : aGroup) {
        count += one->RawResponses();
      }
      return count;
    });
  }

  /** The beginning of the stream that the attempt is due, and nothing else. */
  static bool IsBeginning(const std::string& aBody,
                          const std::string& aAttemptId)
  {
    std::string whole;
    for (int event = 1; event <= kEventsPerStream; ++event) {
      whole += "id: " + std::to_string(event) + "\ndata: " + aAttemptId + " " +
               std::to_string(event) + "\n\n";
    }
    const std::size_t end = aBody.rfind("\n\n");
    return end == std::string::npos ||
           whole.starts_with(WithoutVersions(aBody.substr(0, end + 2)));
  }

  /** A stream to a client of an older protocol or with a kept connection. */
  std::string SendRaw(const CellRequest& aRequest, const std::string& aProtocol)
  {
    const RawSocket socket(cell.Gateways()[0].clientAddress);
    socket.Send("POST " + aRequest.path + " " + aProtocol +
                "\r\nHost: cell.example\r\nAttempt-Id: " + aRequest.attemptId +
                "\r\nCredential: " + aRequest.apiKey +
                "\r\nDeadline-Ms: 4000\r\nPrompt-Prefix: " + aRequest.prompt +
                "\r\nContent-Length: 2\r\n\r\n{}");
    return socket.ReadToEnd();
  }

  Cell cell{ CellSize{ 1, 3, 2, 2 } };
};

} // namespace

TEST_CASE_FIXTURE(RawResponseFixture,
                  "[RawResponse] an error of the next server never reaches the "
                  "client within its stream, nor ends it as complete")
{
  for (std::size_t index = 0; index < kErrors.size(); ++index) {
    CAPTURE(kErrors[index].bytes);
    SetFaults(cell.ModelReplicas(), [&](CellFaults& aFaults) {
      aFaults.truncate = 1.0;
      aFaults.raw = kErrors[index];
      aFaults.raw->onlyResumes = true;
    });
    const std::uint64_t before = RawResponses(cell.ModelReplicas());
    // Servers that have failed are avoided for a while.
    CHECK(WaitUntil([&] {
      const CellRequest stream = cell.MakeStreamRequest("/long/x");
      const CellResponse response =
        CellClient(cell.Gateways()[0].clientAddress).Send(stream);
      CAPTURE(response.body);
      CHECK(response.body.find(kForeign) == std::string::npos);
      CHECK_FALSE((response.status == 200 && response.isComplete));
      CHECK((response.status != 200 ||
             IsBeginning(response.body, stream.attemptId)));
      return RawResponses(cell.ModelReplicas()) >= before + 2;
    }));
  }
}

TEST_CASE_FIXTURE(RawResponseFixture,
                  "[RawResponse] an error of the next server never reaches a "
                  "client of HTTP/1.0 or with a kept connection")
{
  for (const CellRawResponse& error : kErrors) {
    CAPTURE(error.bytes);
    SetFaults(cell.ModelReplicas(), [&](CellFaults& aFaults) {
      aFaults.truncate = 1.0;
      aFaults.raw = error;
      aFaults.raw->onlyResumes = true;
    });
    for (const std::string protocol : { "HTTP/1.0", "HTTP/1.1" }) {
      const CellRequest stream = cell.MakeStreamRequest("/long/x");
      const std::string bytes = SendRaw(stream, protocol);
      CAPTURE(bytes);
      CHECK(bytes.find(kForeign) == std::string::npos);
      // One head, and no end of the chunks.
      CHECK(bytes.rfind("HTTP/1.") <= 0);
      CHECK_FALSE(bytes.ends_with("0\r\n\r\n"));
    }
  }
}

TEST_CASE_FIXTURE(RawResponseFixture,
                  "[RawResponse] a head that ends in its middle never becomes "
                  "a success")
{
  std::string head;
  for (const std::string_view part : kHeadParts) {
    head += part;
    for (const bool isReset : { false, true }) {
      CAPTURE(head);
      CAPTURE(isReset);
      const auto cut = [&](CellFaults& aFaults) {
        aFaults.raw = CellRawResponse{ head, isReset };
      };
      for (Group* const group : { &cell.ModelReplicas(),
                                  &cell.PlainServers(),
                                  &cell.StageServers() }) {
        SetFaults(*group, cut);
      }
      CellClient client(cell.Gateways()[0].clientAddress);
      for (const std::string path : { "/read/x", "/once/x" }) {
        CHECK(client.Send(cell.MakePlainRequest(path)).status != 200);
      }
      for (const std::string path : { "/chat/x", "/long/x" }) {
        CHECK(client.Send(cell.MakeStreamRequest(path)).status != 200);
      }
    }
  }
}

TEST_CASE_FIXTURE(RawResponseFixture,
                  "[RawResponse] a stage call whose head ends in its middle "
                  "leaves its request without a success")
{
  std::string head;
  for (const std::string_view part : kHeadParts) {
    head += part;
    CAPTURE(head);
    SetFaults(cell.StageServers(), [&](CellFaults& aFaults) {
      aFaults.raw = CellRawResponse{ head };
    });
    const CellRequest staged = cell.MakeStagedRequest();
    const CellResponse response =
      CellClient(cell.Gateways()[0].clientAddress).Send(staged);
    CHECK(response.status != 200);
    CHECK(cell.ExecutionsOf(staged.attemptId).empty());
  }
  SetFaults(cell.StageServers(), [](CellFaults& aFaults) { aFaults = {}; });
  CHECK(WaitUntil([&] {
    const CellRequest staged = cell.MakeStagedRequest();
    return IsCompleteStream(
      CellClient(cell.Gateways()[0].clientAddress).Send(staged).body,
      staged.attemptId);
  }));
}

TEST_CASE_FIXTURE(RawResponseFixture,
                  "[RawResponse] a store whose heads end in their middle "
                  "changes nothing, and is read again")
{
  CellClient client(cell.Gateways()[0].clientAddress);
  REQUIRE(WaitUntil([&] {
    return client.Send(cell.MakePlainRequest("/read/x")).status == 200;
  }));
  cell.Run([&] { cell.Store().SetMode(StoreMode::CutHead); });
  cell.configuration.hasLateRoute = true;
  cell.Publish();
  CellRequest late = cell.MakePlainRequest("/read/x");
  late.path = "/late/x";
  for (int round = 0; round < 10; ++round) {
    CHECK(client.Send(cell.MakePlainRequest("/read/x")).status == 200);
    late.attemptId += "1";
    CHECK(client.Send(late).status != 200);
  }
  cell.Run([&] { cell.Store().SetMode(StoreMode::Up); });
  CHECK(WaitUntil([&] {
    late.attemptId += "2";
    return CellClient(cell.Gateways()[0].clientAddress).Send(late).status ==
           200;
  }));
}

} // namespace gypsum::tests
