#pragma once

#include "drivers/http/http_message.h"

#include <boost/json/fwd.hpp>

#include <atomic>
#include <functional>

namespace gypsum {

class ControlThread;
class Kernel;

/** HTTP API for operators: health, readiness, metrics and state dump. */
class OperatorApi
{
public:
  /** Called on the control thread. */
  using ReadyCheck = std::function<bool()>;

  explicit OperatorApi(ReadyCheck aIsReady);

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  HttpReply ServeReady() const;
  HttpReply ServeMetrics() const;
  HttpReply ServeDump(const HttpRequest& aRequest) const;

  ReadyCheck isReady_;
  Kernel* kernel_ = nullptr;
  ControlThread* control_ = nullptr;
};

} // namespace gypsum
