#pragma once

#include "core/time.h"
#include "drivers/http/http_message.h"

#include <memory>
#include <optional>
#include <string>

namespace gypsum {

/** What one HTTP call came to. */
struct HttpCallResult
{
  bool wasSent = true;            ///< False only if not one byte went out.
  std::optional<HttpReply> reply; ///< Absent if no whole reply came.
  std::string failure;            ///< Why no reply came.
};

/** Whether a call may find its connection closed and be sent a second time. */
enum class ConnectionUse
{
  Reusable, ///< May reuse a connection; for reads only.
  Fresh,    ///< One connection, one request, then closed.
};

/** One connection to one HTTP server; one call at a time. */
class HttpClient
{
public:
  explicit HttpClient(const std::string& aAddress);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Sends one request and waits for the whole reply or the timeout.
   *
   * A reply counts as whole only if its length is known and all of it came.
   */
  HttpCallResult Call(const HttpRequest& aRequest,
                      ConnectionUse aUse,
                      Duration aTimeout);
  /** Ends the call in progress and all later ones; from any thread. */
  void Abort();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gypsum
