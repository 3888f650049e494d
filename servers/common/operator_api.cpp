#include "servers/common/operator_api.h"

#include "kernel/kernel.h"
#include "servers/common/call_on_control_thread.h"
#include "servers/common/metrics.h"
#include "servers/common/state_dump.h"
#include "servers/common/web_service.h"

#include <boost/json/object.hpp>

#include <string>
#include <utility>

namespace gypsum {

namespace {

constexpr unsigned kUnavailable = 503;

HttpReply PlainTextReply(unsigned aStatus, std::string aText)
{
  return { aStatus,
           aStatus == kUnavailable ? "unavailable" : "OK",
           { { "Content-Type", "text/plain" } },
           std::move(aText) };
}

} // namespace

OperatorApi::OperatorApi(ReadyCheck aIsReady)
  : isReady_(std::move(aIsReady))
{
}

void OperatorApi::Start(Kernel& aKernel)
{
  kernel_ = &aKernel;
  control_ = &aKernel.Find<ControlThread>("control");
  WebService& web = aKernel.Find<WebService>("web");
  web.Serve("/healthz",
            [](const HttpRequest&) { return PlainTextReply(200, "alive\n"); });
  web.Serve("/readyz", [this](const HttpRequest&) { return ServeReady(); });
  web.Serve("/metrics", [this](const HttpRequest&) { return ServeMetrics(); });
  web.Serve("/dump", [this](const HttpRequest& aRequest) {
    return ServeDump(aRequest);
  });
}

void OperatorApi::Stop() {}

void OperatorApi::Describe(boost::json::object& aState) const
{
  aState["ready"] = isReady_();
}

HttpReply OperatorApi::ServeReady() const
{
  const auto isReady =
    CallOnControlThread(*control_, [this] { return isReady_(); });
  return isReady.value_or(false) ? PlainTextReply(200, "ready\n")
                                 : PlainTextReply(kUnavailable, "not ready\n");
}

HttpReply OperatorApi::ServeMetrics() const
{
  // Copy on the control thread, format on this one.
  const auto snapshot = CallOnControlThread(*control_, [this] {
    boost::json::object state;
    kernel_->Describe(state);
    return std::pair(kernel_->Find<Metrics>("metrics").Families(),
                     std::move(state));
  });
  if (!snapshot) {
    return PlainTextReply(kUnavailable, "the control thread does not answer\n");
  }
  HttpReply reply =
    PlainTextReply(200, MetricsText(snapshot->first, snapshot->second));
  reply.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
  return reply;
}

HttpReply OperatorApi::ServeDump(const HttpRequest& aRequest) const
{
  // Build the tree on the control thread, format it on this one.
  const auto tree = CallOnControlThread(*control_, [this] {
    boost::json::object state;
    kernel_->Describe(state);
    return state;
  });
  if (!tree) {
    return PlainTextReply(kUnavailable, "the control thread does not answer\n");
  }
  if (aRequest.query == "format=json") {
    return {
      200, "OK", { { "Content-Type", "application/json" } }, DumpAsJson(*tree)
    };
  }
  return PlainTextReply(200, DumpAsText(*tree));
}

} // namespace gypsum
