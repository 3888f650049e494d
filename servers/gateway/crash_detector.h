#pragma once

#include "core/gateway/unanswered_sends.h"
#include "drivers/edge/liveness_probe.h"
#include "servers/gateway/task_guard.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace gypsum {

/** Traits of a request whose prompt does not matter; none if it has no name. */
std::shared_ptr<const RequestTraits> TraitsOfRequest(
  const std::string& aRequestName);

/**
 * Notices when backend servers crash or survive, and on which traits of
 * requests.
 *
 * Neither a broken connection nor silence alone is a crash: the server must
 * refuse a new connection, the registry must list a new incarnation of it, or
 * it must leave a question unanswered after the registry has removed it or
 * after a long silence. A server that has said that it leaves doesn't crash.
 *
 * A server that has not been heard for a while is asked as well, before it is
 * reported as silent: peers need not hear of one that is busy.
 */
class CrashDetector
{
public:
  using SendNumber = UnansweredSends::Number;

  /** The second argument is the evidence. */
  using CrashHandler = std::function<void(const NoticedEnd&, std::string_view)>;
  using SilenceHandler = std::function<void(const NoticedEnd&)>;
  /** A server has responded on a connection that was opened at a time. */
  using ResponseHandler = std::function<void(const BackendRecord&, Instant)>;
  using SurvivalHandler =
    std::function<void(const BackendRecord&, const RequestTraits&)>;
  /** A send has survived, has ended, or its server was probed. */
  using EndHandler = std::function<void(SendNumber)>;
  using ProbeHandler = std::function<void(Liveness)>;
  /** Whether a server is about to leave as announced, or has left. */
  using LeavingCheck = std::function<bool(const BackendRecord&)>;
  /** Whether a connection to a server that was opened before a time is open. */
  using ConnectionCheck = std::function<bool(const BackendRecord&, Instant)>;
  /** Whether a server may be asked now. */
  using AskCheck = std::function<bool(const BackendRecord&)>;
  /** By how much this process handles an answer late. */
  using LagReader = std::function<Duration()>;
  /** A request that each server answers at once, and none executes. */
  using QuestionMaker = std::function<ProbeRequest(const BackendRecord&)>;

  struct Handlers
  {
    CrashHandler onCrash;
    SilenceHandler onSilence;
    ResponseHandler onResponse;
    SurvivalHandler onSurvival;
    EndHandler onEnd;
    ProbeHandler onProbe;
    LeavingCheck isLeaving;
    ConnectionCheck hasConnection;
    AskCheck mayAsk;
    LagReader readLag;
    QuestionMaker makeQuestion;
  };

  CrashDetector(TaskGuard& aTasks, Handlers aHandlers)
    : tasks_(aTasks)
    , loop_(aTasks.Loop())
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
  /** The server has turned the request away. */
  void OnRejected(SendNumber aNumber);
  /** The server has ended the connection; starts a probe, unless the server
   * leaves: its end is none of the requests' doing. */
  void OnBroken(SendNumber aNumber);
  /** The server did not respond in time; starts a probe likewise. */
  void OnTimedOut(SendNumber aNumber);
  /** The client has left. The server may still work on the request, and is
   * probed a while later. */
  void OnClientLeft(SendNumber aNumber);
  /** The send has ended and says nothing of the server. */
  void OnEnded(SendNumber aNumber);
  /** Waits for the end of a probe of the server, if one runs. */
  boost::asio::awaitable<void> AwaitProbe(BackendPtr aBackend);

  /** The server has responded to another gateway. */
  void OnPeerResponse(const UnansweredSends::Incarnation& aServer, Instant aAt);
  /** The registry lists a new incarnation of the server. */
  void OnRestarted(std::string_view aBackend, std::uint64_t aStartedMs);
  /** The registry no longer lists the server, which may go on for a while;
   * `aHadAnnounced` if it had said that it leaves. */
  void OnRemoved(std::string_view aBackend, bool aHadAnnounced);
  /** Looks for silent servers and forgets what is old; call it several times a
   * second. */
  void Expire();

private:
  using BackendKey = UnansweredSends::Incarnation;

  /** Asks a server whether it lives; reports its silence if not. */
  boost::asio::awaitable<void> AskUnheard(BackendPtr aBackend);
  /** Reports servers that have fallen silent. */
  void ReportSilences();
  /** Starts a probe, unless one runs. */
  void StartProbe(const BackendPtr& aBackend);
  /** Whether the end of a send to the server says nothing, as it leaves. */
  bool IsLeaving(const BackendRecord& aBackend) const;
  boost::asio::awaitable<void> Probe(BackendPtr aBackend);
  boost::asio::awaitable<void> ProbeAfterClientLeft(SendNumber aNumber,
                                                    BackendPtr aBackend);
  /** Asks a server that is not known to live; reports its crash if it does not
   * answer. */
  boost::asio::awaitable<void> Ask(BackendPtr aBackend,
                                   std::string_view aEvidence);
  /** Reports the crash with the traits of all sends that it may concern. */
  void ReportCrash(const BackendKey& aKey,
                   std::string_view aEvidence,
                   bool aWasSilent);

  TaskGuard& tasks_;
  boost::asio::io_context& loop_;
  Handlers handlers_;
  UnansweredSends sends_;
  Instant lastExpiredAt_{};
  /** Probes under way; each timer is cancelled at the end. */
  std::map<BackendKey, std::shared_ptr<boost::asio::steady_timer>> probes_;
  std::set<BackendKey> asked_; ///< Without an answer yet.
};

} // namespace gypsum
