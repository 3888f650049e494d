#pragma once

#include "servers/gateway/attempt.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/peer_exchange.h"
#include "servers/gateway/piece_service.h"
#include "servers/gateway/response_observer.h"
#include "servers/gateway/stream_origin_service.h"

#include <boost/asio/awaitable.hpp>

#include <exception>
#include <functional>
#include <optional>
#include <set>

namespace gypsum {

/** Handles client requests: admission, stages, then sends to replicas. */
class RequestHandler
{
public:
  RequestHandler(GatewayState& aState,
                 PeerExchange& aPeers,
                 PieceService& aPieces,
                 StreamOriginService& aOrigins,
                 CrashService& aCrashes,
                 LimitService& aLimits,
                 ResponseObserver& aObserver);

  /** Serves one client connection until it ends. */
  boost::asio::awaitable<void> Serve(ClientConnectionPtr aClient);
  /** Answers the requests that no backend server has, as this process stops. */
  void EndWaiting();
  /** Answers or breaks off all requests. */
  void EndAll();

private:
  /** Lists an attempt as open while it is handled. */
  class OpenAttempt
  {
  public:
    OpenAttempt(std::set<Attempt*>& aOpen, Attempt& aAttempt)
      : open_(aOpen)
      , attempt_(&aAttempt)
    {
      open_.insert(attempt_);
    }
    ~OpenAttempt() { open_.erase(attempt_); }
    OpenAttempt(const OpenAttempt&) = delete;
    OpenAttempt& operator=(const OpenAttempt&) = delete;

  private:
    std::set<Attempt*>& open_;
    Attempt* attempt_;
  };

  template<typename Predicate>
  void EndAttempts(Predicate aMustEnd);
  /** Whether its stages would end too late for a send before the stop. */
  bool CannotEndBeforeStop(const Attempt& aAttempt) const;
  /** Ends a request whose handling has thrown. */
  boost::asio::awaitable<void> FailByException(ClientConnectionPtr aClient,
                                               std::exception_ptr aError);
  boost::asio::awaitable<void> HandleRequest(ClientConnectionPtr aClient,
                                             Instant aArrivedAt);
  /** Fills in the attempt; returns the error if the request is refused. */
  std::optional<ErrorKind> Admit(Attempt& aAttempt);
  /** The answer to a request that the configuration does not allow; final only
   * if that is up to date. */
  ErrorKind NotAllowed(ErrorKind aKind, Instant aNow) const;
  /** Finds the software that began the stream that the client resumes; returns
   * the error if the stream can't go on there. */
  boost::asio::awaitable<std::optional<ErrorKind>> FindResumeTarget(
    Attempt& aAttempt);
  /** The verdict on a request at its service and those of its stages; only
   * `Refuse` is of use. */
  TraitDecision DecideByCrashes(const Attempt& aAttempt) const;
  /** Refuses a request that crashes servers; false if it does not. */
  boost::asio::awaitable<bool> RefuseIfCrashing(Attempt& aAttempt);
  /** Refuses a request, before its stages run, whose servers are all held until
   * it would be too late; false if one opens in time. */
  boost::asio::awaitable<bool> RefuseIfHeld(Attempt& aAttempt);
  /** Refuses an attempt if all servers of a service that it needs lie in
   * evacuated zones. */
  boost::asio::awaitable<bool> RefuseIfEvacuated(Attempt& aAttempt);
  /** Estimates which model replica will serve the attempt, and when. */
  void EstimateReplica(Attempt& aAttempt) const;
  /** Whether a stage has more pieces than the configuration allows. */
  static bool HasTooManyPieces(const Attempt& aAttempt);
  /** Whether all replicas of each stage together could compute its pieces
   * before the deadline, if they had nothing else to do. */
  bool CanComputePieces(const Attempt& aAttempt) const;
  /** Returns the time for `Retry-After` if the stages would end too late. */
  std::optional<Duration> CheckDeadline(const Attempt& aAttempt) const;
  /** Expected time until the queues of the remaining stages are empty. */
  Duration RetryAfter(const Attempt& aAttempt) const;
  /** Runs all stages; returns the error if one failed or was too late. */
  boost::asio::awaitable<std::optional<ErrorKind>> RunStages(Attempt& aAttempt);
  boost::asio::awaitable<void> Refuse(Attempt& aAttempt,
                                      ErrorKind aKind,
                                      Duration aRetryAfter);
  /** Estimated time of a stage with the pieces of this request alone. */
  StageTime StageTimeOf(const Attempt& aAttempt,
                        std::uint32_t aStage,
                        bool aWithWait) const;
  /** Estimated time under load, when other requests fill the batch. */
  StageTime TypicalStageTimeOf(const Attempt& aAttempt,
                               std::uint32_t aStage) const;
  /** Preferred zone of a stage, and the bytes that cross zones otherwise. */
  struct ZonePreference
  {
    std::string zone;
    std::uint64_t bytes = 0;
  };
  ZonePreference ZonePreferenceOf(const Attempt& aAttempt,
                                  std::uint32_t aStage) const;
  PieceJob PieceJobFor(const Attempt& aAttempt, std::uint32_t aStage) const;

  GatewayState& state_;
  PeerExchange& peers_;
  PieceService& pieces_;
  StreamOriginService& origins_;
  CrashService& crashes_;
  LimitService& limits_;
  ResponseObserver& observer_;
  std::set<Attempt*> openAttempts_;
};

} // namespace gypsum
