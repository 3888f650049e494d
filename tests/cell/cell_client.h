#pragma once

#include "core/time.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsum::tests {

/** A request to a gateway. */
struct CellRequest
{
  std::string method = "POST";
  std::string path;
  std::string attemptId;
  std::string apiKey;
  std::chrono::milliseconds deadline{ 2'000 };
  std::string prompt; ///< `Prompt-Prefix` header; empty for plain requests.
  std::string pieces; ///< Piece counts by stage, comma-separated.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body = "{}";
};

/** A response as received by the client. */
struct CellResponse
{
  unsigned status = 0; ///< Zero if no response header arrived.
  bool isComplete = false;
  std::string body;
  std::string replicaSeal;
  std::string retryAfter;
  bool closesConnection = false;
  bool saysLeaving = false; ///< Its server says that it leaves.
  Instant sentAt{};
  Instant endedAt{};
};

/** A blocking HTTP client with one connection and its own timeouts. */
class CellClient
{
public:
  explicit CellClient(std::string aAddress);
  ~CellClient();
  CellClient(const CellClient&) = delete;
  CellClient& operator=(const CellClient&) = delete;

  /** Sends on the open connection, or on a new one if there is none. */
  CellResponse Send(const CellRequest& aRequest);
  /** Sends a request and disconnects after a delay without reading the
   * response. */
  void SendAndDisconnect(const CellRequest& aRequest,
                         std::chrono::milliseconds aDelay);

private:
  struct Connection;

  bool Connect();
  std::string address_;
  std::unique_ptr<Connection> connection_;
};

} // namespace gypsum::tests
