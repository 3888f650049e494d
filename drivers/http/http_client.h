#pragma once

#include "core/time.h"
#include "drivers/http/http_message.h"

#include <memory>
#include <optional>
#include <string>

namespace gypsum {

/** Result of one HTTP call. */
struct HttpCallResult
{
  bool wasSent = true;            ///< False only if no byte was sent.
  std::optional<HttpReply> reply; ///< Empty if no complete reply arrived.
  std::string failure;            ///< Reason why there is no reply.
};

/**
 * Whether a call may reuse a connection.
 *
 * If a reused connection turns out to be closed, the library sends the request
 * a second time.
 */
enum class ConnectionUse
{
  Reusable, ///< May reuse a connection; only for reads.
  Fresh,    ///< Uses a new connection and closes it afterwards.
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
   * Sends one request and waits for the complete reply or the timeout.
   *
   * A reply is complete only if its length is known and all bytes arrived.
   */
  HttpCallResult Call(const HttpRequest& aRequest,
                      ConnectionUse aUse,
                      Duration aTimeout);
  /** Aborts the current call and all later ones; callable from any thread. */
  void Abort();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gypsum
