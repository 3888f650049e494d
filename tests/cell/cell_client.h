#pragma once

#include "core/time.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsum::tests {

/** What a client asks for. */
struct CellRequest
{
  std::string method = "POST";
  std::string path;
  std::string attemptId;
  std::string key;
  std::chrono::milliseconds deadline{ 2'000 };
  std::string prompt; ///< Parts of a prompt; empty for plain requests.
  std::string pieces; ///< Counts by stage.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body = "{}";
};

/** What a client got. */
struct CellResponse
{
  unsigned status = 0; ///< Zero: no answer.
  bool isComplete = false;
  std::string body;
  std::string replicaSeal;
  std::string retryAfter;
  bool closesConnection = false;
  Instant sentAt{};
  Instant endedAt{};
};

/** One connection of a client, blocking, with its own time-outs. */
class CellClient
{
public:
  explicit CellClient(std::string aAddress);
  ~CellClient();
  CellClient(const CellClient&) = delete;
  CellClient& operator=(const CellClient&) = delete;

  /** Sends on the kept connection, or on a new one. */
  CellResponse Send(const CellRequest& aRequest);
  /** Sends and leaves after a time, without reading. */
  void SendAndDisconnect(const CellRequest& aRequest,
                         std::chrono::milliseconds aTime);

private:
  struct Connection;

  bool Connect();
  std::string address_;
  std::unique_ptr<Connection> connection_;
};

} // namespace gypsum::tests
