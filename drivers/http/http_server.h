#pragma once

#include "drivers/http/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gypsum {

/** Address, limits and timeouts of an HTTP server. */
struct HttpServerOptions
{
  std::string address;
  unsigned threads = 0;           ///< Requests that can be handled in parallel.
  std::uint64_t maxBodyBytes = 0; ///< Larger bodies are refused with 413.
  /** A connection is closed when no byte arrives for this long. */
  std::chrono::milliseconds readTimeout{ 10'000 };
  /** A body that is still incomplete after this time is refused with 408. */
  std::chrono::milliseconds bodyTimeout{ 10'000 };
};

/**
 * Serves HTTP with cxxtools; a handler blocks its thread until it returns.
 *
 * The length of a body is validated before it is read; cxxtools does not do so.
 */
class HttpServer
{
public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  HttpServer(HttpServerOptions aOptions, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Binds and serves; throws if the address is unavailable. */
  void Begin();
  /** Sends the replies in progress, then stops. */
  void End();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gypsum
