#pragma once

#include "core/gateway/gateway_settings.h"
#include "drivers/edge/edge_listener.h"
#include "drivers/event_loop.h"
#include "servers/gateway/crash_service.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/knowledge_service.h"
#include "servers/gateway/limit_service.h"
#include "servers/gateway/peer_exchange.h"
#include "servers/gateway/piece_service.h"
#include "servers/gateway/platform_state.h"
#include "servers/gateway/port_binding.h"
#include "servers/gateway/request_handler.h"
#include "servers/gateway/store_follower.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gypsum {

/**
 * Wires up one gateway process: its listeners, its peers and the store, its
 * periodic tasks and its graceful stop.
 */
class GatewayProcess
{
public:
  /** Reads the settings again; empty if they are invalid. */
  using Reload = std::function<std::optional<GatewaySettings>()>;

  GatewayProcess(const GatewaySettings& aSettings,
                 EventLog& aLog,
                 Reload aReload);

  /** Serves until a stop signal and its drain; returns the exit code. Signals
   * are blocked when it is called and when it returns; `aMask` is that of the
   * calling thread while it handles them. */
  int Run(const sigset_t& aMask);

private:
  boost::asio::awaitable<void> ServeOperatorEndpoint(
    ClientConnectionPtr aClient);
  /** Binds the ports, and serves as soon as all are bound. */
  boost::asio::awaitable<void> StartServing();
  /** Tries to bind until the ports are had, the gateway is stopped or the wait
   * for them is over; returns whether they are. */
  boost::asio::awaitable<bool> BindPorts();
  /** Binds the port of the metrics, without which the gateway serves too. */
  void TryMetricsPort();
  boost::asio::awaitable<void> HandleSignals();
  /** Starts the graceful stop; has no effect on a gateway that stops. */
  void BeginStop();
  boost::asio::awaitable<void> Housekeeping();
  boost::asio::awaitable<void> Drain();
  EdgeResponse RespondToReadinessCheck(std::string_view aTarget) const;
  std::string MetricsText();
  std::string StateText() const;
  bool IsReady() const;
  /** Processor time, messages and judgements, for the metrics. */
  void SetWorkMetrics();
  /** The same since the last call, as a log line. */
  void LogWork();
  /** Processor time by kind of work since the start, for the dump. */
  std::string WorkText() const;
  void CheckSettings();
  /** Keeps the lag of the event loop for the metrics, and logs a large one. */
  void NoteLoopLag();

  EventLoop loop_{ 1 };
  GatewayState state_;
  PlatformState platformState_;
  PeerExchange peers_;
  KnowledgeService knowledge_;
  LimitService limits_;
  ResponseObserver observer_;
  CrashService crashes_;
  PieceService pieces_;
  StreamOriginService origins_;
  StoreFollower store_;
  RequestHandler requests_;
  Reload reload_;
  EdgeListener clientListener_;
  EdgeListener readinessListener_;
  std::optional<EdgeListener> controlListener_;
  std::optional<EdgeListener> metricsListener_;
  PortBinding ports_; ///< Those that the gateway needs to serve.
  PortBinding metricsPort_;
  bool hasMetricsPort_ = false;
  bool isServing_ = false; ///< The ports are bound.
  boost::asio::steady_timer bindTimer_;
  boost::asio::signal_set signals_;
  /** Maximum lag of the event loop since the last metrics report. */
  Duration maxLoopDelay_{};
  struct WorkTotals
  {
    ProcessorTime process{};
    ProcessorTime loop{};
    PeerTransport::Work transport;
    std::uint64_t judgements = 0;
  };
  WorkTotals loggedWork_; ///< At the last log line about it.
  /** A thread has ended by an error, which is why the gateway stops. */
  bool hasFailed_ = false;
};

} // namespace gypsum
