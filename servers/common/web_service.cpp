#include "servers/common/web_service.h"

#include "servers/common/http_reply.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace gypsum {

WebService::WebService(HttpServerOptions aOptions)
  : address_(aOptions.address)
  , server_(std::move(aOptions),
            [this](const HttpRequest& aRequest) { return Handle(aRequest); })
{
}

void WebService::Serve(std::string aPrefix, Handler aHandler)
{
  routes_.emplace_back(std::move(aPrefix), std::move(aHandler));
}

HttpReply WebService::Handle(const HttpRequest& aRequest) const
{
  const auto route = std::ranges::find_if(routes_, [&](const auto& aRoute) {
    return aRequest.path.starts_with(aRoute.first);
  });
  if (route == routes_.end()) {
    return ToHttpReply(ErrorKind::UnknownPath, Outcome::NotRun, {});
  }
  return route->second(aRequest);
}

void WebService::Start(Kernel& /*aKernel*/)
{
  server_.Begin();
}

void WebService::Stop()
{
  server_.End();
}

void WebService::Describe(boost::json::object& aState) const
{
  aState["address"] = address_;
}

} // namespace gypsum
