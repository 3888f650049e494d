#pragma once

#include "drivers/http/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gypsum {

/** What the server asks of its surroundings. */
struct HttpServerOptions
{
  std::string address;
  unsigned threads = 0;           ///< Requests that can be in work at once.
  std::uint64_t maxBodyBytes = 0; ///< A longer body is answered 413.
  /** After so long without a byte a connection is closed. */
  std::chrono::milliseconds readTimeout{ 10'000 };
  /** After so long a body that is not whole is answered 408. */
  std::chrono::milliseconds bodyTimeout{ 10'000 };
};

/**
 * Serves HTTP with cxxtools; a handler blocks its thread until it has a reply.
 *
 * Lengths are checked before a body is read, which cxxtools leaves undone.
 */
class HttpServer
{
public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  HttpServer(HttpServerOptions aOptions, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Binds and serves; throws if the address cannot be had. */
  void Begin();
  /** Lets replies in progress go out, then stops. */
  void End();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace gypsum
