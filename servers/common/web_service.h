#pragma once

#include "drivers/http/http_server.h"

#include <boost/json/fwd.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace gypsum {

class Kernel;

/** The HTTP server of a process; dispatches requests by path prefix. */
class WebService
{
public:
  using Handler = HttpServer::Handler;

  explicit WebService(HttpServerOptions aOptions);

  /** Registers the handler of a path prefix; call before `Start`. */
  void Serve(std::string aPrefix, Handler aHandler);

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  HttpReply Handle(const HttpRequest& aRequest) const;

  std::string address_;
  std::vector<std::pair<std::string, Handler>> routes_;
  HttpServer server_;
};

} // namespace gypsum
