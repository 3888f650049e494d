#include "servers/entry/entry_service.h"

#include "drivers/clock.h"
#include "drivers/log.h"
#include "drivers/peer/peer_transport.h"
#include "kernel/control_thread.h"
#include "kernel/kernel.h"
#include "servers/common/configuration_service.h"
#include "servers/common/metrics.h"

#include <boost/json/object.hpp>

#include <string>
#include <utility>
#include <variant>

namespace gypsum {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 10 };
constexpr std::string_view kComponent = "entry";

} // namespace

EntryService::EntryService(EntryOptions aOptions)
  : machine_(std::move(aOptions))
{
}

void EntryService::Start(Kernel& aKernel)
{
  control_ = &aKernel.Find<ControlThread>("control");
  peers_ = &aKernel.Find<PeerTransport>("peers");
  metrics_ = &aKernel.Find<Metrics>("metrics");
  configuration_ = &aKernel.Find<ConfigurationService>("configuration");
  peers_->SetHandler([this](Route aRoute, PeerMessage aMessage) {
    control_->Post([this,
                    route = std::move(aRoute),
                    message = std::move(aMessage)]() mutable {
      if (!configuration_->OnMessage(route, message)) {
        Handle(EntryMessage{ std::move(message) });
      }
    });
  });
  configuration_->SetManifestHandler([this](ManifestPtr aManifest) {
    Handle(EntryManifestAdopted{ std::move(aManifest) });
  });
  configuration_->SetLeavingHandler([this](std::vector<std::string> aLeaving) {
    Handle(EntryLeavingListUpdated{ std::move(aLeaving) });
  });
  control_->RunEvery(kTickPeriod, [this] { Handle(EntryTick{}); });
}

void EntryService::Stop() {}

std::future<Answer> EntryService::Submit(CallerRequest aRequest)
{
  std::future<Answer> future;
  {
    const std::lock_guard lock(mutex_);
    aRequest.call = nextCallerNumber_++;
    future = pendingAnswers_[aRequest.call].get_future();
  }
  Post(std::move(aRequest));
  return future;
}

void EntryService::BeginStop()
{
  Post(EntryStopRequested{});
}

void EntryService::Post(EntryEvent aEvent)
{
  control_->Post(
    [this, event = std::move(aEvent)]() mutable { Handle(std::move(event)); });
}

void EntryService::Handle(EntryEvent aEvent)
{
  if (const auto* const adopted = std::get_if<EntryManifestAdopted>(&aEvent)) {
    metrics_->SetManifest(adopted->manifest);
  }
  for (EntryEffect& effect : machine_.Handle(std::move(aEvent), Now())) {
    std::visit([this](auto& aEffect) { Apply(aEffect); }, effect);
  }
}

void EntryService::Apply(StageReplied& aEffect)
{
  metrics_->RecordStage(StageSample{ aEffect.pipeline,
                                     aEffect.stage,
                                     aEffect.outcome,
                                     aEffect.queueTime,
                                     aEffect.serviceTime });
  const Severity severity =
    aEffect.outcome == Outcome::Complete ? Severity::Debug : Severity::Info;
  if (!IsLogged(severity)) {
    return;
  }
  Log(severity,
      kComponent,
      "stage replied attempt=" + ToText(aEffect.id) +
        " stage=" + aEffect.stage + " replica=" + aEffect.replica +
        " outcome=" + std::string(NameOf(aEffect.outcome)) +
        " error=" + std::string(ErrorResponseOf(aEffect.error).name) +
        " queue_us=" + std::to_string(aEffect.queueTime.count()) +
        " service_us=" + std::to_string(aEffect.serviceTime.count()));
}

void EntryService::Apply(AnswerCaller& aEffect)
{
  metrics_->RecordRequest(RequestSample{ aEffect.pipeline,
                                         aEffect.id.customer,
                                         aEffect.answer.outcome,
                                         aEffect.answer.error,
                                         aEffect.elapsed });
  Log(Severity::Info,
      kComponent,
      "answered request=" + ToText(aEffect.id) +
        " pipeline=" + aEffect.pipeline +
        " outcome=" + std::string(NameOf(aEffect.answer.outcome)) +
        " error=" + std::string(ErrorResponseOf(aEffect.answer.error).name) +
        " elapsed_us=" + std::to_string(aEffect.elapsed.count()));
  std::promise<Answer> promise;
  {
    const std::lock_guard lock(mutex_);
    const auto pending = pendingAnswers_.extract(aEffect.call);
    if (pending.empty()) {
      return;
    }
    promise = std::move(pending.mapped());
  }
  promise.set_value(std::move(aEffect.answer));
}

void EntryService::Apply(SendTo& aEffect)
{
  peers_->SendTo(std::move(aEffect.address), aEffect.message);
}

void EntryService::Apply(EntryDrained& /*aEffect*/)
{
  isDrained_ = true;
}

void EntryService::Apply(LogLine& aEffect)
{
  Log(aEffect);
}

void EntryService::Describe(boost::json::object& aState) const
{
  machine_.Describe(aState);
}

} // namespace gypsum
