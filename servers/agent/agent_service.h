#pragma once

#include "core/agent/agent_machine.h"

#include <boost/json/fwd.hpp>

#include <atomic>

namespace gypsum {

class BackendCaller;
class ConfigurationService;
class ControlThread;
class Kernel;
class PeerTransport;

/** Passes events to the agent's state machine and executes its effects. */
class AgentService
{
public:
  explicit AgentService(AgentOptions aOptions);

  /** Starts the graceful stop; may be called on any thread. */
  void BeginStop();
  bool IsDrained() const { return isDrained_; }
  /** Call on the control thread only. */
  bool IsReady() const { return machine_.ActiveRevision() != 0; }

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  void Post(AgentEvent aEvent);
  void Handle(AgentEvent aEvent);
  void Apply(SendBack& aEffect);
  void Apply(SendTo& aEffect);
  void Apply(CallBackend& aEffect);
  void Apply(AbortBackend& aEffect);
  void Apply(AgentDrained& aEffect);
  void Apply(LogLine& aEffect);

  AgentMachine machine_;
  ControlThread* control_ = nullptr;
  PeerTransport* peers_ = nullptr;
  ConfigurationService* configuration_ = nullptr;
  BackendCaller* backend_ = nullptr;
  std::atomic<bool> isDrained_ = false;
};

} // namespace gypsum
