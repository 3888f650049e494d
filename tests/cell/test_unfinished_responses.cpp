#include "tests/cell/cell.h"
#include "tests/cell/stream_check.h"
#include "tests/support/raw_socket.h"
#include "tests/support/read_file.h"
#include "tests/support/wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace gypsum::tests {

namespace {

/** Just below the limit of the configuration, and more than a connection of
 * `kSmallConnection` holds at a time. */
constexpr std::size_t kUploadBytes = 4'190'000;
constexpr std::string_view kPart = "FOREIGN";

/** Statuses that no response has. */
constexpr std::array<std::string_view, 5> kNoStatuses{ "000",
                                                       "099",
                                                       "101",
                                                       "600",
                                                       "999" };

/** A server that responds as soon as it has read the head of a request, and
 * resets the connection. */
class EarlyServer
{
public:
  /** `aRest` follows the first headers of each response. */
  EarlyServer(const std::string& aAddress, std::string aRest)
    : rest_(std::move(aRest))
    , listener_(aAddress, kSmallConnection)
    , thread_([this] { Serve(); })
  {
  }
  ~EarlyServer()
  {
    isOver_ = true;
    thread_.join();
  }
  EarlyServer(const EarlyServer&) = delete;
  EarlyServer& operator=(const EarlyServer&) = delete;

  int Responses() const { return responses_; }

private:
  void Serve()
  {
    while (!isOver_) {
      if (!listener_.HasConnection(std::chrono::milliseconds(20))) {
        continue;
      }
      RawSocket socket = listener_.Accept();
      const std::string request = socket.ReadUntil("\r\n\r\n");
      constexpr std::string_view kName = "Attempt-Id: ";
      const auto at = request.find(kName);
      if (at == std::string::npos) {
        continue;
      }
      const auto begin = at + kName.size();
      const std::string id =
        request.substr(begin, request.find("\r\n", begin) - begin);
      std::string response = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
      response.append(id).append("\r\nReplica-Seal: s.").append(id);
      response.append("\r\n").append(rest_);
      socket.Send(response);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      socket.Reset();
      ++responses_;
    }
  }

  std::string rest_;
  RawListener listener_;
  std::atomic<bool> isOver_ = false;
  std::atomic<int> responses_ = 0;
  std::thread thread_;
};

struct UnfinishedResponseFixture
{
  using Group = std::vector<std::unique_ptr<CellReplica>>;

  UnfinishedResponseFixture() { REQUIRE(cell.Start()); }

  void SetRaw(Group& aGroup, const CellRawResponse& aRaw)
  {
    cell.Run([&] {
      std::ranges::for_each(aGroup,
                            [&](auto& aOne) { aOne->Faults().raw = aRaw; });
    });
  }

  CellResponse Send(const CellRequest& aRequest)
  {
    return CellClient(cell.Gateways()[0].clientAddress).Send(aRequest);
  }

  using EarlyServers = std::vector<std::unique_ptr<EarlyServer>>;

  /** Has an early server take the place of each server of a group. */
  EarlyServers StartEarly(Group& aGroup, std::string_view aRest)
  {
    EarlyServers servers;
    ++earlyGroups;
    cell.Run([&] {
      for (auto& server : aGroup) {
        const std::string& own = server->Address();
        const std::string address =
          own.substr(0, own.rfind(':')) + ":900" + std::to_string(earlyGroups);
        servers.push_back(
          std::make_unique<EarlyServer>(address, std::string(aRest)));
        server->Register(address);
      }
    });
    // The gateway learns the addresses.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    return servers;
  }

  static int ResponsesOf(const EarlyServers& aServers)
  {
    int responses = 0;
    for (const auto& server : aServers) {
      responses += server->Responses();
    }
    return responses;
  }

  static CellRequest WithUpload(CellRequest aRequest)
  {
    aRequest.body.assign(kUploadBytes, 'u');
    aRequest.deadline = std::chrono::seconds(9);
    return aRequest;
  }

  int earlyGroups = 0;
  Cell cell{ CellSize{ 1, 3, 2, 2 } };
};

std::string RawHead(std::string_view aStatus)
{
  return "HTTP/1.1 " + std::string(aStatus) +
         " X\r\nAttempt-Id: %A\r\nReplica-Seal: s.%A\r\n";
}

} // namespace

TEST_CASE_FIXTURE(UnfinishedResponseFixture,
                  "[UnfinishedResponse] a response whose status is none fails "
                  "its send, and never reaches the client")
{
  for (const std::string_view status : kNoStatuses) {
    CAPTURE(status);
    CellRawResponse raw{ RawHead(status) + "Content-Length: 7\r\n\r\nFOREIGN" };
    raw.keepsOpen = true;
    for (Group* const group : { &cell.ModelReplicas(),
                                &cell.PlainServers(),
                                &cell.StageServers() }) {
      SetRaw(*group, raw);
    }
    for (const std::string path : { "/read/x", "/once/x" }) {
      CHECK(Send(cell.MakePlainRequest(path)).status == 502);
    }
    for (const std::string path : { "/chat/x", "/long/x" }) {
      CHECK(Send(cell.MakeStreamRequest(path)).status == 502);
    }
    CHECK(Send(cell.MakeStagedRequest()).status >= 500);
  }
}

TEST_CASE_FIXTURE(
  UnfinishedResponseFixture,
  "[UnfinishedResponse] a repeatable request goes on at another "
  "server after a status that is none")
{
  cell.Run([&] {
    CellRawResponse raw{ RawHead("000") + "Content-Length: 0\r\n\r\n" };
    raw.keepsOpen = true;
    cell.PlainServers()[0]->Faults().raw = raw;
  });
  for (int round = 0; round < 10; ++round) {
    CHECK(Send(cell.MakePlainRequest("/read/x")).status == 200);
  }
}

TEST_CASE_FIXTURE(
  UnfinishedResponseFixture,
  "[UnfinishedResponse] a response without a length that is reset "
  "never looks complete, on any path")
{
  const std::string interim = "HTTP/1.1 102 P\r\n\r\n";
  const std::string stream = RawHead("200") +
                             "Content-Type: text/event-stream\r\n\r\n"
                             "id: %E\ndata: FOREIGN\n\n";
  for (const std::string& before : { std::string(), interim }) {
    CAPTURE(before);
    SetRaw(cell.PlainServers(),
           { before + RawHead("200") + "\r\nFOREIGN", true });
    SetRaw(cell.StageServers(),
           { before + RawHead("200") + "\r\n{\"items\":[", true });
    SetRaw(cell.ModelReplicas(), { before + stream, true });
    for (const std::string path : { "/read/x", "/once/x" }) {
      const CellResponse response = Send(cell.MakePlainRequest(path));
      CHECK(response.status == 502);
      CHECK(response.body.find(kPart) == std::string::npos);
    }
    for (const std::string path : { "/chat/x", "/long/x" }) {
      const CellResponse response = Send(cell.MakeStreamRequest(path));
      CHECK_FALSE((response.status == 200 && response.isComplete));
    }
    CHECK(Send(cell.MakeStagedRequest()).status != 200);
  }
}

TEST_CASE_FIXTURE(
  UnfinishedResponseFixture,
  "[UnfinishedResponse] a chunked response that is reset between "
  "or within chunks never looks complete")
{
  for (const std::string_view chunks :
       { "7\r\nFOREIGN\r\n", "7\r\nFORE", "7\r\nFOREIGN\r\n0\r\n" }) {
    CAPTURE(chunks);
    const std::string head =
      RawHead("200") + "Transfer-Encoding: chunked\r\n\r\n";
    SetRaw(cell.PlainServers(), { head + std::string(chunks), true });
    for (const std::string path : { "/read/x", "/once/x" }) {
      const CellResponse response = Send(cell.MakePlainRequest(path));
      CHECK(response.status == 502);
      CHECK(response.body.find(kPart) == std::string::npos);
    }
  }
}

// The error of the connection reaches the write of the upload, not the read of
// the response.
TEST_CASE_FIXTURE(
  UnfinishedResponseFixture,
  "[UnfinishedResponse] a part that is reset while a long upload "
  "is written never looks complete")
{
  for (const std::string_view rest :
       { "\r\nFOREIGN", "Transfer-Encoding: chunked\r\n\r\n7\r\nFOREIGN" }) {
    CAPTURE(rest);
    const EarlyServers servers = StartEarly(cell.PlainServers(), rest);
    for (const std::string path : { "/read/x", "/once/x", "/once/x" }) {
      const CellResponse response =
        Send(WithUpload(cell.MakePlainRequest(path)));
      CHECK(response.status == 502);
      CHECK(response.body.find(kPart) == std::string::npos);
    }
    CHECK(ResponsesOf(servers) >= 3);
  }
}

TEST_CASE_FIXTURE(
  UnfinishedResponseFixture,
  "[UnfinishedResponse] a stream without a length that is reset between two "
  "events while a long upload is written never looks complete")
{
  const EarlyServers servers =
    StartEarly(cell.ModelReplicas(),
               "Content-Type: text/event-stream\r\n\r\n"
               "id: 1\ndata: FOREIGN\n\n");
  for (const std::string path : { "/chat/x", "/chat/x", "/long/x" }) {
    const CellResponse response =
      Send(WithUpload(cell.MakeStreamRequest(path)));
    CHECK_FALSE((response.status == 200 && response.isComplete));
  }
  CHECK(ResponsesOf(servers) >= 3);
}

TEST_CASE_FIXTURE(UnfinishedResponseFixture,
                  "[UnfinishedResponse] a reset under a long upload is logged "
                  "as a failed write, and counted")
{
  const EarlyServers servers = StartEarly(cell.PlainServers(), "\r\nFOREIGN");
  const CellRequest upload = WithUpload(cell.MakePlainRequest("/once/x"));
  REQUIRE(Send(upload).status == 502);
  const CellGateway& gateway = cell.Gateways()[0];
  CHECK(
    cell.Get(gateway, "/metrics").find("gypsum_backend_writes_failed 1.0") !=
    std::string::npos);
  CHECK(WaitUntil([&] {
    const std::string log = ReadFile(gateway.logFile);
    const auto at = log.find("event=send-failed id=" + upload.attemptId);
    const std::string line = log.substr(std::min(at, log.size()));
    return line.find("framing=connection-end connection=reset write=failed") <
           line.find('\n');
  }));
}

} // namespace gypsum::tests
