#pragma once

#include "drivers/http/http_message.h"

#include <boost/json/fwd.hpp>

namespace gypsum {

class EntryService;
class Kernel;

/** HTTP API for callers: `POST /v1/pipelines/NAME`. */
class CallerApi
{
public:
  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  HttpReply Serve(const HttpRequest& aRequest) const;

  EntryService* entry_ = nullptr;
};

} // namespace gypsum
