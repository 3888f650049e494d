#include "servers/agent/agent_service.h"

#include "drivers/backend/backend_caller.h"
#include "drivers/clock.h"
#include "drivers/log.h"
#include "drivers/peer/peer_transport.h"
#include "kernel/control_thread.h"
#include "kernel/kernel.h"
#include "servers/common/configuration_service.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace gypsum {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 10 };

constexpr std::string_view kComponent = "agent";

void LogReply(const StageReply& aReply)
{
  const Severity severity =
    aReply.outcome == Outcome::Complete ? Severity::Debug : Severity::Info;
  if (!IsLogged(severity)) {
    return;
  }
  Log(severity,
      kComponent,
      "replied attempt=" + ToText(aReply.id) +
        " outcome=" + std::string(NameOf(aReply.outcome)) +
        " error=" + std::string(ErrorResponseOf(aReply.error).name) +
        " queue_us=" + std::to_string(aReply.queueTime.count()) +
        " service_us=" + std::to_string(aReply.serviceTime.count()));
}

} // namespace

AgentService::AgentService(AgentOptions aOptions)
  : machine_(std::move(aOptions), Now())
{
}

void AgentService::Start(Kernel& aKernel)
{
  control_ = &aKernel.Find<ControlThread>("control");
  peers_ = &aKernel.Find<PeerTransport>("peers");
  backend_ = &aKernel.Find<BackendCaller>("backend");
  configuration_ = &aKernel.Find<ConfigurationService>("configuration");
  peers_->SetHandler([this](Route aRoute, PeerMessage aMessage) {
    control_->Post([this,
                    route = std::move(aRoute),
                    message = std::move(aMessage)]() mutable {
      if (!configuration_->OnMessage(route, message)) {
        Handle(AgentMessage{ std::move(route), std::move(message) });
      }
    });
  });
  backend_->SetHandler(
    [this](BackendReturned aResult) { Post(std::move(aResult)); });
  configuration_->SetManifestHandler([this](ManifestPtr aManifest) {
    Handle(AgentManifestAdopted{ std::move(aManifest) });
  });
  configuration_->SetLeavingHandler(
    [this](const std::vector<std::string>& aLeaving) {
      Handle(AgentLeavingListUpdated{ aLeaving });
    });
  control_->RunEvery(kTickPeriod, [this] { Handle(AgentTick{}); });
}

void AgentService::Stop() {}

void AgentService::BeginStop()
{
  Post(AgentStopRequested{});
}

void AgentService::Post(AgentEvent aEvent)
{
  control_->Post(
    [this, event = std::move(aEvent)]() mutable { Handle(std::move(event)); });
}

void AgentService::Handle(AgentEvent aEvent)
{
  for (AgentEffect& effect : machine_.Handle(std::move(aEvent), Now())) {
    std::visit([this](auto& aEffect) { Apply(aEffect); }, effect);
  }
}

void AgentService::Apply(SendBack& aEffect)
{
  if (const auto* const reply =
        std::get_if<StageReply>(&aEffect.message.body)) {
    LogReply(*reply);
  }
  peers_->SendBack(std::move(aEffect.route), aEffect.message);
}

void AgentService::Apply(SendTo& aEffect)
{
  peers_->SendTo(std::move(aEffect.address), aEffect.message);
}

void AgentService::Apply(CallBackend& aEffect)
{
  backend_->Call(std::move(aEffect));
}

void AgentService::Apply(AbortBackend& aEffect)
{
  backend_->Abort(aEffect.call);
}

void AgentService::Apply(AgentDrained& /*aEffect*/)
{
  isDrained_ = true;
}

void AgentService::Apply(LogLine& aEffect)
{
  Log(aEffect);
}

void AgentService::Describe(boost::json::object& aState) const
{
  machine_.Describe(aState);
}

} // namespace gypsum
