#pragma once

#include "core/entry/entry_machine.h"

#include <boost/json/fwd.hpp>

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>

namespace gypsum {

class ConfigurationService;
class ControlThread;
class Kernel;
class Metrics;
class PeerTransport;

/** Passes events to the entry's state machine and executes its effects. */
class EntryService
{
public:
  explicit EntryService(EntryOptions aOptions);

  /** Submits a request; the future receives its answer. */
  std::future<Answer> Submit(CallerRequest aRequest);
  /** Starts the graceful stop; may be called on any thread. */
  void BeginStop();
  bool IsDrained() const { return isDrained_; }
  /** Call on the control thread only. */
  bool IsReady() const { return machine_.IsReady(); }

  void Start(Kernel& aKernel);
  void Stop();
  void Describe(boost::json::object& aState) const;

private:
  void Post(EntryEvent aEvent);
  void Handle(EntryEvent aEvent);
  void Apply(AnswerCaller& aEffect);
  void Apply(StageReplied& aEffect);
  void Apply(SendTo& aEffect);
  void Apply(EntryDrained& aEffect);
  void Apply(LogLine& aEffect);

  EntryMachine machine_;
  ControlThread* control_ = nullptr;
  PeerTransport* peers_ = nullptr;
  ConfigurationService* configuration_ = nullptr;
  Metrics* metrics_ = nullptr;
  std::mutex mutex_;
  /** By caller number, which the events of the entry carry as `call`. */
  std::map<std::uint64_t, std::promise<Answer>> pendingAnswers_;
  std::uint64_t nextCallerNumber_ = 1;
  std::atomic<bool> isDrained_ = false;
};

} // namespace gypsum
