#include "main/process.h"

#include "drivers/backend/backend_caller.h"
#include "drivers/clock.h"
#include "drivers/log.h"
#include "drivers/peer/peer_transport.h"
#include "drivers/platform/platform_watcher.h"
#include "kernel/control_thread.h"
#include "kernel/kernel.h"
#include "kernel/signal_block.h"
#include "servers/agent/agent_service.h"
#include "servers/common/configuration_service.h"
#include "servers/common/metrics.h"
#include "servers/common/operator_api.h"
#include "servers/common/web_service.h"
#include "servers/entry/caller_api.h"
#include "servers/entry/entry_service.h"

#include <unistd.h>

#include <csignal>
#include <ctime>
#include <memory>
#include <utility>

namespace gypsum {

namespace {

constexpr std::string_view kComponent = "main";
constexpr unsigned kOperatorThreads = 8;
constexpr std::uint64_t kMaxOperatorBodyBytes = 65'536;
constexpr long kSignalPollNs = 20'000'000;

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/**
 * Waits for a stop signal, then until the role has drained.
 *
 * False if the role has not drained within the grace period.
 */
template<typename Role>
bool WaitUntilDrained(Role& aRole,
                      const sigset_t& aSignals,
                      Duration aGracePeriod)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
  Log(Severity::Info, kComponent, "stop requested");
  aRole.BeginStop();
  const Instant deadline = Now().steady + aGracePeriod;
  const timespec signalPollInterval{ 0, kSignalPollNs };
  while (!aRole.IsDrained() && Now().steady < deadline) {
    // Consumes further stop signals; they do not shorten the grace period.
    sigtimedwait(&aSignals, nullptr, &signalPollInterval);
  }
  return aRole.IsDrained();
}

/** Registers the services with which both roles follow the configuration. */
void RegisterConfiguration(Kernel& aKernel,
                           const Settings& aSettings,
                           const ProcessId& aSelf)
{
  FollowerOptions options;
  options.self = aSelf;
  options.zone = aSettings.zone;
  options.address = aSettings.peerAddress;
  options.seeds = aSettings.seedAddresses;
  options.hasPlatform = !aSettings.platformAddresses.empty();
  options.pollInterval = aSettings.platformPollInterval;
  options.seed = aSelf.incarnation;
  aKernel.Register("configuration",
                   std::make_unique<ConfigurationService>(std::move(options)));
  auto peers = std::make_unique<PeerTransport>(aSettings.peerBindAddress);
  peers->SetFailureHandler(
    [](std::string_view /*aReason*/) { kill(getpid(), SIGTERM); });
  aKernel.Register("peers", std::move(peers));
  aKernel.Register(
    "platform", std::make_unique<PlatformWatcher>(aSettings.platformAddresses));
}

template<typename Role>
int RunUntilStopped(Kernel& aKernel, Role& aRole, const Settings& aSettings)
{
  BlockSignals();
  const sigset_t signals = StopSignals();
  aKernel.Start();
  Log(Severity::Info,
      kComponent,
      "started name=" + aSettings.name + " http=" + aSettings.httpAddress +
        " peer=" + aSettings.peerAddress);
  const bool isDrained =
    WaitUntilDrained(aRole, signals, aSettings.gracePeriod);
  aKernel.Stop();
  Log(isDrained ? Severity::Info : Severity::Error,
      kComponent,
      isDrained ? "stopped"
                : "stopped with unfinished work: grace period exceeded");
  return isDrained ? 0 : 1;
}

} // namespace

int RunEntry(const Settings& aSettings)
{
  StartLog(aSettings.name, aSettings.logLevel);
  const Incarnation incarnation = DrawIncarnation();
  EntryOptions options;
  options.self = { aSettings.name, incarnation };
  options.zone = aSettings.zone;
  options.maxRequests = aSettings.maxRequests;
  options.reportInterval = aSettings.reportInterval;
  options.seed = incarnation;
  options.policy = aSettings.policy;
  Kernel kernel;
  kernel.Register("control", std::make_unique<ControlThread>());
  kernel.Register("metrics", std::make_unique<Metrics>());
  EntryService& entry =
    kernel.Register("entry", std::make_unique<EntryService>(options));
  kernel.Register("caller-api", std::make_unique<CallerApi>());
  kernel.Register("operator-api", std::make_unique<OperatorApi>([&entry] {
                    return entry.IsReady();
                  }));
  RegisterConfiguration(kernel, aSettings, options.self);
  kernel.Register(
    "web",
    std::make_unique<WebService>(HttpServerOptions{
      aSettings.httpAddress, aSettings.httpThreads, aSettings.maxBodyBytes }));
  return RunUntilStopped(kernel, entry, aSettings);
}

int RunAgent(const Settings& aSettings)
{
  StartLog(aSettings.name, aSettings.logLevel);
  AgentOptions options;
  options.self = { aSettings.name, DrawIncarnation() };
  options.peerAddress = aSettings.peerAddress;
  options.maxQueued = aSettings.maxQueued;
  options.records = { aSettings.maxRecords,
                      aSettings.recordLifetime,
                      aSettings.clockError,
                      aSettings.maxRecordBytes };
  options.policy = aSettings.policy;
  Kernel kernel;
  kernel.Register("control", std::make_unique<ControlThread>());
  kernel.Register("metrics", std::make_unique<Metrics>());
  AgentService& agent =
    kernel.Register("agent", std::make_unique<AgentService>(options));
  kernel.Register("operator-api", std::make_unique<OperatorApi>([&agent] {
                    return agent.IsReady();
                  }));
  kernel.Register("backend",
                  std::make_unique<BackendCaller>(aSettings.backendAddress));
  RegisterConfiguration(kernel, aSettings, options.self);
  kernel.Register(
    "web",
    std::make_unique<WebService>(HttpServerOptions{
      aSettings.httpAddress, kOperatorThreads, kMaxOperatorBodyBytes }));
  return RunUntilStopped(kernel, agent, aSettings);
}

} // namespace gypsum
