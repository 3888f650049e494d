#include "servers/common/configuration_service.h"

#include "drivers/clock.h"
#include "drivers/log.h"
#include "drivers/peer/peer_transport.h"
#include "drivers/platform/platform_watcher.h"
#include "kernel/control_thread.h"
#include "kernel/kernel.h"

#include <boost/json/object.hpp>

#include <utility>
#include <variant>

namespace gypsum {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{ 20 };

} // namespace

ConfigurationService::ConfigurationService(FollowerOptions aOptions)
  : follower_(WithParser(std::move(aOptions)), Now())
{
}

FollowerOptions ConfigurationService::WithParser(FollowerOptions aOptions)
{
  aOptions.parse = [this](std::string_view aText) {
    return parser_.TakeResult(aText);
  };
  return aOptions;
}

void ConfigurationService::SetManifestHandler(ManifestHandler aHandler)
{
  onManifest_ = std::move(aHandler);
}

void ConfigurationService::SetLeavingHandler(LeavingHandler aHandler)
{
  onLeaving_ = std::move(aHandler);
}

void ConfigurationService::Start(Kernel& aKernel)
{
  control_ = &aKernel.Find<ControlThread>("control");
  peers_ = &aKernel.Find<PeerTransport>("peers");
  platform_ = &aKernel.Find<PlatformWatcher>("platform");
  platform_->SetManifestHandler([this](ManifestReadResult aResult) {
    if (aResult.status != PlatformStatus::Ok) {
      Post(std::move(aResult));
      return;
    }
    parser_.ParseAsync(std::move(aResult.text), [this](std::string aText) {
      Post(ManifestReadResult{ PlatformStatus::Ok, std::move(aText) });
    });
  });
  platform_->SetListHandler(
    [this](VmListReadResult aResult) { Post(std::move(aResult)); });
  control_->RunEvery(kTickPeriod, [this] { Handle(FollowerTick{}); });
}

void ConfigurationService::Stop()
{
  parser_.Stop();
}

bool ConfigurationService::OnMessage(const Route& aRoute, PeerMessage& aMessage)
{
  if (auto* const reply = std::get_if<ManifestReply>(&aMessage.body)) {
    parser_.ParseAsync(
      std::move(reply->text),
      [this, aRoute, header = aMessage.header](std::string aText) {
        Post(FollowerMessage{ aRoute,
                              { header, ManifestReply{ std::move(aText) } } });
      });
    return true;
  }
  if (ConfigurationFollower::IsForFollower(aMessage.body)) {
    Handle(FollowerMessage{ aRoute, std::move(aMessage) });
    return true;
  }
  // The follower needs only the header of other messages: a newer revision in
  // it makes the follower request the manifest.
  if (aMessage.header.revision > follower_.ActiveRevision()) {
    Handle(FollowerMessage{ aRoute, { aMessage.header, Hello{} } });
  }
  return false;
}

void ConfigurationService::Post(FollowerEvent aEvent)
{
  control_->Post(
    [this, event = std::move(aEvent)]() mutable { Handle(std::move(event)); });
}

void ConfigurationService::Handle(FollowerEvent aEvent)
{
  for (FollowerEffect& effect : follower_.Handle(std::move(aEvent), Now())) {
    std::visit([this](auto& aEffect) { Apply(aEffect); }, effect);
  }
}

void ConfigurationService::Apply(AdoptManifest& aEffect)
{
  onManifest_(std::move(aEffect.manifest));
}

void ConfigurationService::Apply(PublishLeavingList& aEffect)
{
  onLeaving_(std::move(aEffect.replicas));
}

void ConfigurationService::Apply(ReadManifest& aEffect)
{
  platform_->Read(aEffect);
}

void ConfigurationService::Apply(ReadVmList& aEffect)
{
  platform_->Read(aEffect);
}

void ConfigurationService::Apply(SendTo& aEffect)
{
  peers_->SendTo(std::move(aEffect.address), aEffect.message);
}

void ConfigurationService::Apply(SendBack& aEffect)
{
  peers_->SendBack(std::move(aEffect.route), aEffect.message);
}

void ConfigurationService::Apply(LogLine& aEffect)
{
  Log(aEffect);
}

void ConfigurationService::Describe(boost::json::object& aState) const
{
  follower_.Describe(aState);
}

} // namespace gypsum
