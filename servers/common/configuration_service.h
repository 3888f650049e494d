#pragma once

#include "core/fleet/configuration_follower.h"
#include "servers/common/manifest_parser.h"

#include <boost/json/fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace gypsum {

class ControlThread;
class Kernel;
class PeerTransport;
class PlatformWatcher;

/**
 * Passes events to the configuration follower and executes its effects.
 *
 * Apart from construction, start and stop, it runs on the control thread.
 */
class ConfigurationService
{
public:
  using ManifestHandler = std::function<void(ManifestPtr)>;
  using LeavingHandler = std::function<void(std::vector<std::string>)>;

  explicit ConfigurationService(FollowerOptions aOptions);

  void SetManifestHandler(ManifestHandler aHandler);
  void SetLeavingHandler(LeavingHandler aHandler);
  /** Processes a message from a peer; true if it needs no other handler. */
  bool OnMessage(const Route& aRoute, PeerMessage& aMessage);

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  FollowerOptions WithParser(FollowerOptions aOptions);
  void Post(FollowerEvent aEvent);
  void Handle(FollowerEvent aEvent);
  void Apply(AdoptManifest& aEffect);
  void Apply(PublishLeavingList& aEffect);
  void Apply(ReadManifest& aEffect);
  void Apply(ReadVmList& aEffect);
  void Apply(SendTo& aEffect);
  void Apply(SendBack& aEffect);
  void Apply(LogLine& aEffect);

  ManifestParser parser_;
  ConfigurationFollower follower_;
  ManifestHandler onManifest_;
  LeavingHandler onLeaving_;
  ControlThread* control_ = nullptr;
  PeerTransport* peers_ = nullptr;
  PlatformWatcher* platform_ = nullptr;
};

} // namespace gypsum
