#pragma once

#include "core/gateway/backend_registry.h"
#include "core/gateway/crash_evidence.h"
#include "drivers/edge/liveness_probe.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum {

using RequestTraits = std::vector<RequestTrait>;

/** Traits of a request whose prompt does not matter; none if it has no name. */
std::shared_ptr<const RequestTraits> TraitsOfRequest(
  const std::string& aRequestName);

/**
 * Notices when backend servers crash or survive, and on which traits of
 * requests.
 *
 * A broken connection alone is no crash: the server must refuse a new
 * connection, or the registry must list a new incarnation of it.
 */
class CrashDetector
{
public:
  using SendNumber = std::uint64_t;

  struct Crash
  {
    ServerCrash crash;
    std::string_view evidence; ///< How it became known.
    std::size_t requests = 0;  ///< Without a settled response.
    /** When the last connection was opened that broke with the server. */
    Instant openedAt{};
  };
  using CrashHandler = std::function<void(const Crash&)>;
  using SurvivalHandler =
    std::function<void(const BackendRecord&, const RequestTraits&)>;
  /** A send has survived, has ended, or its server was probed. */
  using EndHandler = std::function<void(SendNumber)>;
  using ProbeHandler = std::function<void(Liveness)>;
  /** Whether a server is about to leave as announced, or has left. */
  using LeavingCheck = std::function<bool(const BackendRecord&)>;

  struct Handlers
  {
    CrashHandler onCrash;
    SurvivalHandler onSurvival;
    EndHandler onEnd;
    ProbeHandler onProbe;
    LeavingCheck isLeaving;
  };

  CrashDetector(boost::asio::io_context& aLoop, Handlers aHandlers)
    : loop_(aLoop)
    , handlers_(std::move(aHandlers))
  {
  }

  void OnSent(SendNumber aNumber,
              BackendPtr aBackend,
              std::shared_ptr<const RequestTraits> aTraits);
  /** The send has a connection, which was opened at a time. */
  void OnConnected(SendNumber aNumber, Instant aOpenedAt);
  /** The response goes on; `aIsComplete` at its end. */
  void OnEvents(SendNumber aNumber, bool aIsComplete);
  /** The connection broke or the server fell silent; starts a probe, unless the
   * server leaves: its end is none of the requests' doing. */
  void OnBroken(SendNumber aNumber);
  /** The send has ended and says nothing of the server. */
  void OnEnded(SendNumber aNumber);
  /** Waits for the end of a probe of the server, if one runs. */
  boost::asio::awaitable<void> AwaitProbe(BackendPtr aBackend);

  /** The registry lists a new incarnation of the server. */
  void OnRestarted(std::string_view aBackend, std::uint64_t aStartedMs);
  /** The registry no longer lists the server, which may only be leaving. */
  void OnRemoved(std::string_view aBackend);
  /** Forgets what is old; call it several times a second. */
  void Expire();

private:
  using BackendKey = std::pair<std::string, std::uint64_t>;

  /** A send to which the server may only be about to respond. */
  struct Send
  {
    BackendPtr backend;
    std::shared_ptr<const RequestTraits> traits;
    Instant openedAt{}; ///< Of its connection; zero without one.
    Instant firstEventAt{};
    Instant brokenAt{};                  ///< Zero while the send runs.
    Liveness liveness = Liveness::Alive; ///< After it broke.

    bool IsBroken() const { return brokenAt != Instant{}; }
  };

  static BackendKey KeyOf(const BackendRecord& aBackend);
  boost::asio::awaitable<void> Probe(BackendPtr aBackend);
  /** Reports the crash with the traits of all sends that it may concern. */
  void ReportCrash(const BackendKey& aKey, std::string_view aEvidence);

  boost::asio::io_context& loop_;
  Handlers handlers_;
  std::map<SendNumber, Send> sends_;
  /** Probes under way; each timer is cancelled at the end. */
  std::map<BackendKey, std::shared_ptr<boost::asio::steady_timer>> probes_;
};

} // namespace gypsum
