#include "servers/gateway/gateway_process.h"

#include "core/gateway/bind_schedule.h"
#include "drivers/clock.h"
#include "kernel/signal_block.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** Interval of the periodic tasks: expiry, log flush, settings check. */
constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(200);
constexpr int kRoundsPerSettingsCheck = 5;
/** Lag of the event loop that callers notice. */
constexpr Duration kLoggedLoopLag = std::chrono::milliseconds(200);
/** Time after which the load balancer has removed a gateway that is not ready.
 * It polls once a second and removes a gateway after two failed polls: that
 * takes at most 2 s, and 0.6 s are added as a margin. */
constexpr Duration kReadinessPropagationTime = std::chrono::milliseconds(2'600);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

EdgeResponse Text(unsigned aStatus, std::string aBody)
{
  EdgeResponse response;
  response.status = aStatus;
  response.fields.set("Content-Type", "text/plain");
  response.body = std::move(aBody);
  return response;
}

std::string ToMs(Duration aTime)
{
  return std::to_string(
           std::chrono::duration_cast<std::chrono::milliseconds>(aTime)
             .count()) +
         " ms";
}

/** Why a backend server gets no requests now; empty if it may. */
std::string DescribeHold(const SendPermission& aPermission, Instant aNow)
{
  if (aPermission.IsGranted()) {
    return "";
  }
  std::string text = ", held: " + std::string(NameOf(aPermission.hold));
  if (aPermission.EndsByItself()) {
    text += " for " + ToMs(aPermission.until - aNow);
  }
  return text;
}

/** For how long a backend server takes few requests; empty if it is warm. */
std::string DescribeCold(const ColdBackends& aCold,
                         const BackendRecord& aBackend,
                         Instant aNow)
{
  return aCold.IsCold(aBackend, aNow)
           ? ", cold for " + ToMs(aCold.ColdUntil(aBackend) - aNow)
           : "";
}

ListeningPort PortOf(std::string_view aName,
                     const std::string& aAddress,
                     EdgeListener& aListener)
{
  return { aName,
           aAddress,
           [&aListener] { return aListener.Bind(); },
           [&aListener] { return aListener.Listen(); } };
}

ProcessId MakeProcessId(const GatewaySettings& aSettings)
{
  return { aSettings.name, DrawIncarnation() };
}

} // namespace

GatewayProcess::GatewayProcess(const GatewaySettings& aSettings,
                               EventLog& aLog,
                               Reload aReload)
  : state_(loop_, aSettings, MakeProcessId(aSettings), aLog)
  , platformState_(state_)
  , peers_(state_, platformState_)
  , knowledge_(state_, platformState_, peers_)
  , limits_(state_, peers_)
  , observer_(state_, peers_, limits_)
  , crashes_(state_, peers_)
  , pieces_(state_, peers_, limits_, crashes_, observer_)
  , origins_(state_, peers_)
  , store_(state_,
           platformState_,
           [this](StorePart aPart) { return knowledge_.IsReader(aPart); })
  , requests_(state_, peers_, pieces_, origins_, crashes_, limits_, observer_)
  , reload_(std::move(aReload))
  , clientListener_(loop_,
                    aSettings.clientAddress,
                    [this](ClientConnectionPtr aClient) {
                      return requests_.Serve(std::move(aClient));
                    })
  , readinessListener_(loop_,
                       aSettings.readyAddress,
                       [this](ClientConnectionPtr aClient) {
                         return ServeOperatorEndpoint(std::move(aClient));
                       })
  , ports_(aLog)
  , metricsPort_(aLog)
  , bindTimer_(loop_)
  , signals_(loop_, SIGTERM, SIGINT, SIGHUP)
{
  const auto serveOperatorEndpoint = [this](ClientConnectionPtr aClient) {
    return ServeOperatorEndpoint(std::move(aClient));
  };
  if (!aSettings.controlAddress.empty()) {
    controlListener_.emplace(
      loop_, aSettings.controlAddress, serveOperatorEndpoint);
  }
  if (!aSettings.metricsAddress.empty()) {
    metricsListener_.emplace(
      loop_, aSettings.metricsAddress, serveOperatorEndpoint);
  }
  ports_.Add(PortOf("clients", aSettings.clientAddress, clientListener_));
  ports_.Add(PortOf("ready", aSettings.readyAddress, readinessListener_));
  if (controlListener_) {
    ports_.Add(PortOf("control", aSettings.controlAddress, *controlListener_));
  }
  if (metricsListener_) {
    metricsPort_.Add(
      PortOf("metrics", aSettings.metricsAddress, *metricsListener_));
  }
  // Last, since it accepts connections as soon as it is bound.
  ports_.Add({ "peers",
               aSettings.peerAddress,
               [this] { return peers_.Bind(); },
               [] { return std::error_code(); } });
  peers_.SetHandler(
    [this](const Route& aRoute, const PeerHeader& aHeader, PeerBody aBody) {
      if (!knowledge_.OnPeerMessage(aRoute, aHeader, aBody) &&
          !origins_.OnPeerMessage(aRoute, aHeader, aBody) &&
          !crashes_.OnPeerMessage(aRoute, aHeader, aBody) &&
          !limits_.OnPeerMessage(aRoute, aHeader, aBody)) {
        pieces_.OnPeerMessage(aRoute, aHeader, std::move(aBody));
      }
    });
  peers_.SetQueueWaitProvider([this] { return pieces_.LocalQueueWaits(); });
  peers_.SetCrashStatus(
    [this](GatewayStatus& aStatus) { crashes_.FillStatus(aStatus); },
    [this](const GatewayStatus& aStatus) { crashes_.OnPeerStatus(aStatus); });
  peers_.SetClaimsHandler(
    [this](const std::string& aPeer, const GatewayStatus& aStatus) {
      knowledge_.OnPeerStatus(aPeer, aStatus);
    });
  origins_.SetRegistryReader([this] { store_.RequestBackendList(); });
  platformState_.SetVersionObserver(
    [this](StorePart) { knowledge_.Announce(); });
  peers_.SetFailureHandler([this](std::string_view aReason) {
    state_.log.Write(
      LogClass::StateChange, "peers-failed", { { "reason", aReason } });
    hasFailed_ = true;
    BeginStop();
  });
  peers_.SetLimitsHandler(
    [this](const std::string& aPeer, std::span<const BackendLimit> aLimits) {
      limits_.OnPeerLimits(aPeer, aLimits);
    });
  platformState_.SetZoneObserver([this] { pieces_.OnZonesChanged(); });
  platformState_.SetBackendObserver([this](const RegistryEvent& aEvent) {
    if (aEvent.kind == "restarted") {
      crashes_.Detector().OnRestarted(aEvent.id, aEvent.startedMs);
    } else if (aEvent.kind == "removed") {
      crashes_.Detector().OnRemoved(aEvent.id, aEvent.wasLeaving);
    }
  });
}

int GatewayProcess::Run(const sigset_t& aMask)
{
  std::signal(SIGPIPE, SIG_IGN);
  state_.log.Write(LogClass::StateChange,
                   "start",
                   { { "name", state_.settings.name },
                     { "incarnation", state_.self.incarnation },
                     { "zone", state_.settings.zone },
                     { "clients", state_.settings.clientAddress },
                     { "peers", state_.settings.peerAddress },
                     { "store", state_.settings.storeAddress } });
  asio::co_spawn(
    loop_, StartServing(), [this](const std::exception_ptr& aError) {
      if (aError) {
        state_.tasks.Report("start", aError);
        hasFailed_ = true;
        loop_.stop();
      }
    });
  state_.tasks.SpawnEndless("signals", [this] { return HandleSignals(); });
  SetSignalMask(aMask);
  state_.tasks.RunLoop();
  // A signal after the last request has no handler any more.
  BlockSignals();
  peers_.Stop();
  const bool isDrained = clientListener_.BusyCount() == 0;
  state_.log.Write(LogClass::StateChange,
                   "stop",
                   { { "drained", isDrained ? 1U : 0U },
                     { "left", clientListener_.BusyCount() } });
  // Tasks refer to members that are destroyed before the loop.
  loop_.DestroyTasks();
  return hasFailed_ ? 1 : 0;
}

asio::awaitable<bool> GatewayProcess::BindPorts()
{
  const BindSchedule schedule(Now().steady, state_.settings.gracePeriod);
  while (!ports_.TryAll()) {
    state_.log.Flush();
    const auto next =
      ports_.MayRetry() ? schedule.NextTry(Now().steady) : std::nullopt;
    if (!next) {
      ports_.LogFailure();
      hasFailed_ = true;
      co_return false;
    }
    bindTimer_.expires_at(*next);
    boost::system::error_code ignored;
    co_await bindTimer_.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    if (state_.IsStopping()) {
      co_return false;
    }
  }
  co_return true;
}

void GatewayProcess::TryMetricsPort()
{
  if (!metricsListener_ || hasMetricsPort_ || !metricsPort_.TryAll()) {
    return;
  }
  hasMetricsPort_ = true;
  metricsListener_->Start();
}

asio::awaitable<void> GatewayProcess::StartServing()
{
  const Instant begin = Now().steady;
  if (!co_await BindPorts()) {
    loop_.stop();
    co_return;
  }
  isServing_ = true;
  clientListener_.Start();
  readinessListener_.Start();
  if (controlListener_) {
    controlListener_->Start();
  }
  TryMetricsPort();
  peers_.Start();
  knowledge_.Start();
  pieces_.Start();
  store_.Start();
  state_.tasks.SpawnEndless("housekeeping", [this] { return Housekeeping(); });
  state_.log.Write(
    LogClass::StateChange, "listening", { { "waited", Now().steady - begin } });
}

bool GatewayProcess::IsReady() const
{
  return state_.KnowsEnoughToServe() && !state_.IsStopping();
}

EdgeResponse GatewayProcess::RespondToReadinessCheck(
  std::string_view aTarget) const
{
  if (aTarget.ends_with("/readyz")) {
    const std::string failedLists = platformState_.FailedLists();
    return IsReady() ? Text(kOk, "ready\n" + failedLists)
                     : Text(kUnavailable, "not ready\n" + failedLists);
  }
  return Text(kNotFound, "no such path\n");
}

asio::awaitable<void> GatewayProcess::ServeOperatorEndpoint(
  ClientConnectionPtr aClient)
{
  const ClientLimits limits;
  while (co_await aClient->ReadRequest(limits) == RequestReadResult::Complete) {
    const auto target = aClient->GetRequest().target();
    const std::string path(target.data(), target.size());
    EdgeResponse response = path == "/metrics" ? Text(kOk, MetricsText())
                            : path == "/dump"  ? Text(kOk, StateText())
                                               : RespondToReadinessCheck(path);
    co_await aClient->WriteResponse(std::move(response));
    if (!aClient->KeepsAlive()) {
      co_return;
    }
  }
}

std::string GatewayProcess::MetricsText()
{
  GatewayMetrics& metrics = state_.metrics;
  const Instant now = Now().steady;
  metrics.Set(
    "store_age_seconds",
    "",
    "",
    std::chrono::duration<double>(now - state_.lastStoreResponseAt).count());
  for (const StorePart part : kStoreParts) {
    metrics.Set(
      "store_knowledge_age_seconds",
      "part",
      NameOf(part),
      std::chrono::duration<double>(state_.Knowledge(part).Age(now)).count());
  }
  metrics.Set("peers", "", "", static_cast<double>(peers_.LiveGateways() - 1));
  metrics.Set("client_connections",
              "",
              "",
              static_cast<double>(clientListener_.Connections()));
  metrics.Set("backend_connections_opened",
              "",
              "",
              static_cast<double>(state_.pool.OpenedCount()));
  metrics.Set("backend_writes_failed",
              "",
              "",
              static_cast<double>(state_.pool.FailedWrites()));
  metrics.Set("loop_delay_seconds",
              "",
              "",
              std::chrono::duration<double>(maxLoopDelay_).count());
  metrics.Set("log_lines_left_out",
              "",
              "",
              static_cast<double>(state_.log.SuppressedLines()));
  metrics.Set(
    "log_lines_lost", "", "", static_cast<double>(state_.log.DroppedLines()));
  SetWorkMetrics();
  if (state_.routes) {
    for (const auto& [name, service] :
         state_.routes->Configuration().services) {
      metrics.Set("repeats_left",
                  "service",
                  name,
                  state_.retryBudget.Remaining(name, now));
      metrics.Set(
        "stage_wait_expected_seconds",
        "service",
        name,
        std::chrono::duration<double>(pieces_.ExpectedWait(name, 0)).count());
    }
  }
  maxLoopDelay_ = Duration{};
  return metrics.Text();
}

void GatewayProcess::SetWorkMetrics()
{
  GatewayMetrics& metrics = state_.metrics;
  const auto setSeconds = [&](std::string_view aThread, ProcessorTime aTime) {
    metrics.Set("processor_seconds",
                "thread",
                aThread,
                std::chrono::duration<double>(aTime).count());
  };
  const PeerTransport::Work transport = peers_.TransportWork();
  setSeconds("all", ProcessProcessorTime());
  setSeconds("loop", ThreadProcessorTime());
  setSeconds("peers", transport.time);
  const auto set = [&](std::string_view aName, std::uint64_t aCount) {
    metrics.Set(aName, "", "", static_cast<double>(aCount));
  };
  set("peer_transport_turns", transport.turns);
  set("peer_sockets_visited", transport.socketsVisited);
  set("peer_messages_sent", transport.sent);
  set("peer_messages_received", transport.received);
  set("crash_judgements", crashes_.Judgements());
  for (const auto& [kind, work] : state_.work.All()) {
    metrics.Set("work_seconds",
                "kind",
                kind,
                std::chrono::duration<double>(work.time).count());
    metrics.Set("work_times", "kind", kind, static_cast<double>(work.times));
  }
}

void GatewayProcess::LogWork()
{
  const PeerTransport::Work transport = peers_.TransportWork();
  const WorkTotals now{ ProcessProcessorTime(),
                        ThreadProcessorTime(),
                        transport,
                        crashes_.Judgements() };
  const WorkTotals before = std::exchange(loggedWork_, now);
  const auto since = [](ProcessorTime aNow, ProcessorTime aBefore) {
    return std::chrono::duration_cast<Duration>(aNow - aBefore);
  };
  state_.log.Write(
    LogClass::StateChange,
    "work",
    { { "processor", since(now.process, before.process) },
      { "loop", since(now.loop, before.loop) },
      { "peers", since(transport.time, before.transport.time) },
      { "received", transport.received - before.transport.received },
      { "sent", transport.sent - before.transport.sent },
      { "turns", transport.turns - before.transport.turns },
      { "sockets", transport.socketsVisited - before.transport.socketsVisited },
      { "judgements", now.judgements - before.judgements },
      { "busy", clientListener_.BusyCount() },
      { "kinds", state_.work.TakeLargest() } });
}

std::string GatewayProcess::StateText() const
{
  const Instant now = Now().steady;
  std::string text = "name: " + state_.settings.name + "\n";
  text += "version: " + std::to_string(platformState_.Version()) + "\n";
  text += "registry: " + TextOf(state_.registry.Revision()) + "\n";
  text += "evacuated zones:";
  for (const std::string& zone : state_.zones.Zones()) {
    text += " " + zone;
  }
  text += "\n";
  text += platformState_.FailedLists();
  text += "peers: " + std::to_string(peers_.LiveGateways() - 1) + "\n";
  text += "work: " + WorkText() + "\n";
  text +=
    "loop lag: " + std::to_string(state_.loopLag.At(now).count()) + " us\n";
  for (const RegistryChange& entry :
       state_.registry.Snapshot(Now().steady).entries) {
    if (!entry.record) {
      continue;
    }
    const LoadEstimate load = state_.loads.Estimate(entry.id, now);
    text +=
      "backend " + entry.id + ": service " + entry.record->service +
      ", software " + entry.record->version + ", zone " + entry.record->zone +
      (entry.record->isDraining ? ", draining" : "") +
      DescribeCold(state_.coldBackends, *entry.record, now) + ", running " +
      std::to_string(load.running) + ", slowness " +
      std::to_string(load.latencyRatio) + ", failures " +
      std::to_string(load.failures) + (load.isSuspect ? ", suspect" : "") +
      DescribeHold(state_.permissions.Ask(*entry.record, LimitPlace::Open, now),
                   now) +
      "\n";
  }
  return text + crashes_.StateText() + limits_.StateText();
}

std::string GatewayProcess::WorkText() const
{
  std::string text;
  for (const auto& [kind, work] : state_.work.All()) {
    text.append(text.empty() ? "" : ", ").append(ToText(kind, work));
  }
  return text;
}

void GatewayProcess::CheckSettings()
{
  const auto settings = reload_ ? reload_() : std::nullopt;
  if (!settings || *settings == state_.settings) {
    return;
  }
  // Listener addresses cannot change while the process runs.
  state_.settings.seedAddresses = settings->seedAddresses;
  state_.settings.storeAddress = settings->storeAddress;
  state_.settings.gracePeriod = settings->gracePeriod;
  state_.settings.processorShare = settings->processorShare;
  state_.settings.retryBudget = settings->retryBudget;
  state_.retryBudget.SetOptions(settings->retryBudget);
  state_.log.Write(LogClass::StateChange,
                   "settings-adopted",
                   { { "seeds", settings->seedAddresses.size() },
                     { "store", settings->storeAddress } });
}

void GatewayProcess::NoteLoopLag()
{
  const Duration lag = state_.loopLag.TakeLargest();
  maxLoopDelay_ = std::max(maxLoopDelay_, lag);
  if (lag >= kLoggedLoopLag) {
    state_.log.Write(LogClass::Failure,
                     "loop-late",
                     { { "lag", lag },
                       { "busy", clientListener_.BusyCount() },
                       { "connections", clientListener_.Connections() } });
  }
}

asio::awaitable<void> GatewayProcess::Housekeeping()
{
  asio::steady_timer timer(loop_);
  for (int round = 0;; ++round) {
    timer.expires_after(kHousekeepingInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    const Instant now = Now().steady;
    {
      const WorkMeter::Scope work(state_.work, "housekeeping");
      NoteLoopLag();
      platformState_.Expire();
      origins_.RemoveExpired();
      crashes_.Expire();
      limits_.Expire();
      state_.rests.Expire(now);
      state_.pool.CloseExpired(now);
      state_.log.Flush();
    }
    TryMetricsPort();
    if (round % kRoundsPerSettingsCheck == 0) {
      CheckSettings();
      LogWork();
    }
  }
}

asio::awaitable<void> GatewayProcess::HandleSignals()
{
  for (;;) {
    boost::system::error_code error;
    const int signal = co_await signals_.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    if (signal == SIGHUP) {
      state_.log.Write(LogClass::StateChange, "reload", {});
      CheckSettings();
      continue;
    }
    BeginStop();
  }
}

void GatewayProcess::BeginStop()
{
  if (state_.IsStopping()) {
    return;
  }
  state_.stop.emplace(Now().steady, state_.settings.gracePeriod);
  if (!isServing_) {
    bindTimer_.cancel();
    return;
  }
  clientListener_.CloseAfterResponses();
  state_.log.Write(LogClass::StateChange,
                   "stopping",
                   { { "busy", clientListener_.BusyCount() },
                     { "connections", clientListener_.Connections() } });
  peers_.AnnounceStop();
  origins_.HandOver();
  pieces_.HandOver(BatchQueue::Leaving::NotBegun);
  state_.tasks.SpawnEndless("drain", [this] { return Drain(); });
}

asio::awaitable<void> GatewayProcess::Drain()
{
  const Instant begin = Now().steady;
  asio::steady_timer timer(loop_);
  for (;;) {
    timer.expires_after(kDrainPollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    const Instant now = Now().steady;
    if (now >= state_.stop->SendUntil()) {
      requests_.EndWaiting();
    }
    if (now >= state_.stop->AnswerAt()) {
      requests_.EndAll();
      clientListener_.EndReading();
    }
    const bool hasReadinessPropagated = now > begin + kReadinessPropagationTime;
    if ((hasReadinessPropagated && clientListener_.BusyCount() == 0) ||
        now > state_.stop->ExitAt()) {
      break;
    }
  }
  clientListener_.StopAccepting();
  clientListener_.CloseIdle();
  pieces_.HandOver(BatchQueue::Leaving::All);
  // Time for the last messages to peers.
  timer.expires_after(kDrainPollInterval);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  loop_.stop();
}

} // namespace gypsum
