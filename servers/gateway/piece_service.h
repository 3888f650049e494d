#pragma once

#include "core/gateway/batch_queue.h"
#include "core/gateway/gateway_messages.h"
#include "core/gateway/response_time.h"
#include "core/gateway/stage_plan.h"
#include "drivers/edge/backend_exchange.h"
#include "platform/backend_response_head.h"
#include "servers/gateway/cancellation_token.h"
#include "servers/gateway/coalesced_task.h"
#include "servers/gateway/crash_service.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/limit_service.h"
#include "servers/gateway/peer_exchange.h"
#include "servers/gateway/response_observer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum {

/**
 * Computes the pieces of stages by batched calls to backend servers.
 *
 * One gateway owns the queue of a stage service, so that calls carry pieces of
 * requests from all gateways. If the owner does not accept a job or becomes
 * unresponsive, this gateway moves the job to its local queue; pieces may then
 * be computed twice.
 */
class PieceService
{
public:
  PieceService(GatewayState& aState,
               PeerExchange& aPeers,
               LimitService& aLimits,
               CrashService& aCrashes,
               ResponseObserver& aObserver);

  void Start();
  /** Computes the pieces of a job; returns their handles or the failure. */
  boost::asio::awaitable<PieceJobEnd> ComputePieces(
    std::string aService,
    PieceJob aJob,
    CancellationToken& aCancellation);
  /** Hands jobs to the next owners of the local queues, as this gateway
   * stops. */
  void HandOver(BatchQueue::Leaving aLeaving);
  /** Number of priority classes; the last one includes all higher numbers. */
  static constexpr std::uint32_t kPriorityClasses = 6;

  /** Expected time until a call starts; zero if unknown. */
  Duration ExpectedWait(std::string_view aService,
                        std::uint32_t aPriority) const;
  /** Releases results through the owner of the queue. */
  void Release(const std::string& aService, std::vector<std::string> aHandles);
  void Release(std::vector<StagePlan::Released> aReleased);
  /** Zones were evacuated or taken back. */
  void OnZonesChanged();
  /** Expected waits of the local queues, for the peers. */
  std::vector<ServiceWait> LocalQueueWaits() const;
  void OnPeerMessage(const Route& aRoute,
                     const PeerHeader& aHeader,
                     PeerBody aBody);

private:
  /** A job that a request of this gateway waits for. */
  struct PendingJob
  {
    explicit PendingJob(boost::asio::io_context& aLoop)
      : timer(aLoop)
    {
    }
    boost::asio::steady_timer timer;
    std::optional<PieceJobEnd> end;
    std::string owner; ///< Empty for this gateway.
    Instant sentAt{};
    bool isAccepted = false;
  };
  /** The gateway that has submitted a job. */
  struct Requester
  {
    Route route; ///< Empty for this gateway.
    Incarnation incarnation = 0;
  };
  struct Queue
  {
    Queue(boost::asio::io_context& aLoop,
          BatchSpec aSpec,
          std::function<void()> aStartBatches)
      : queue(aSpec)
      , startTask(aLoop, std::move(aStartBatches))
      , timer(aLoop)
    {
    }
    BatchQueue queue;
    CoalescedTask startTask;         ///< Of `StartBatches`.
    boost::asio::steady_timer timer; ///< For the next wake-up of the queue.
    Instant lastJobAt{};             ///< Zero before the first job.
  };

  /** Waits until owners of queues are known, at most until the deadline. */
  boost::asio::awaitable<void> AwaitOwners(
    Instant aDeadline,
    const CancellationToken& aCancellation);
  /** Expected wait in the local queue; zero if there is none. */
  Duration ExpectedLocalWait(std::string_view aService,
                             std::uint32_t aPriority) const;
  /** Computes the pieces at one owner; an empty one is this gateway. The result
   * is empty if the owner does not answer. */
  boost::asio::awaitable<std::optional<PieceJobEnd>> ComputeAt(
    std::string aOwner,
    const std::string& aService,
    PieceJob aJob,
    CancellationToken& aCancellation);
  /** The owner that a gateway has named when it moved a job; this gateway if
   * empty, nobody if that owner isn't known here. */
  std::optional<std::string> OwnerNamedBy(const PieceJobEnd& aEnd) const;
  /** Returns jobs that wait here to their requesters if another gateway owns
   * the queue now. */
  void MoveJobs(const std::string& aService, BatchQueue& aQueue) const;
  /** The local queue with current settings; null if not a stage service. */
  Queue* FindOrCreateQueue(const std::string& aService);
  /** Notes that a queue gets jobs after a rest, and how this gateway came to
   * own it. */
  void LogQueueBegin(const std::string& aService,
                     Queue& aQueue,
                     const Requester& aRequester) const;
  /** Adds a job to the local queue. */
  void Submit(const std::string& aService, PieceJob aJob, Requester aRequester);
  /** Starts all calls that can start now, and sets the wake-up timer. */
  void StartBatches(const std::string& aService);
  /** Starts calls again at a time, unless another one is set meanwhile. */
  void WakeAt(const std::string& aService, Queue& aQueue, Instant aTime);
  /** Returns ended jobs to their requesters. */
  void DeliverFinishedJobs(Queue& aQueue);
  /** Schedules results for release by this gateway. */
  void ReleaseLocally(std::vector<std::string> aHandles);
  /** Priority of the most urgent job of a call. */
  std::uint32_t UrgencyOf(const std::string& aService, const Batch& aBatch);
  /** Keeps jobs that may crash servers apart from others, and fails those that
   * do; true if one has to wait for its turn. */
  bool AdmitJobs(const std::string& aService, BatchQueue& aQueue);
  /** Has the crash detector follow a call; its jobs are what it may crash on.
   */
  CrashService::SendNumber Follow(const std::string& aService,
                                  const BatchQueue& aQueue,
                                  const Batch& aBatch);
  boost::asio::awaitable<void> RunBatch(std::string aService,
                                        Batch aBatch,
                                        CrashService::SendNumber aSend);
  /** Tells the crash detector how a call has ended. */
  void ReportEnd(CrashService::SendNumber aSend, BatchEnd aEnd, bool aIsLate);
  /** Makes one call; sets `aResults` only if it returns `Answered`. */
  /** A response that is complete and no copy of an earlier one. */
  struct CallResponse
  {
    BackendResponseHead head;
    std::string body;
  };
  /** Reads the response to a call, and skips late copies of earlier ones; empty
   * if none arrived whole. */
  boost::asio::awaitable<std::optional<CallResponse>> ReadCallResponse(
    BackendExchange& aExchange,
    BackendPtr aBackend,
    SendPath aPath,
    Instant aDeadline);
  boost::asio::awaitable<BatchEnd> CallReplica(
    const std::string& aService,
    const Batch& aBatch,
    CrashService::SendNumber aSend,
    LimitTicket aTicket,
    std::vector<BatchItemResult>& aResults);
  boost::asio::awaitable<void> ReleaseLoop();
  /** Releases results with later ones; what is too much expires at its server.
   */
  void KeepForLater(const std::string& aAddress,
                    std::vector<std::string> aHandles);
  boost::asio::awaitable<void> SendReleaseCall(
    BackendPtr aBackend,
    std::vector<std::string> aHandles);
  /** How many servers of a stage service may get calls now. */
  ServiceAvailability AvailabilityOfServers(std::string_view aService) const;
  /** Notifies the local queues that results no longer occupy memory. */
  void OnResultsReleased(std::span<const std::string> aHandles);

  GatewayState& state_;
  PeerExchange& peers_;
  LimitService& limits_;
  CrashService& crashes_;
  ResponseObserver& observer_;
  std::map<std::string, std::unique_ptr<Queue>, std::less<>> queues_;
  std::map<std::uint64_t, std::shared_ptr<PendingJob>> pendingJobs_;
  std::map<PieceJobId, Requester> requesters_;
  /** Handles by address of the backend server that holds the results. */
  std::map<std::string, std::vector<std::string>, std::less<>>
    resultsToRelease_;
  /** Time until an owner accepts a job, by its address. */
  std::map<std::string, ResponseTime, std::less<>> acceptTimes_;
  std::uint64_t lastJobNumber_ = 0;
};

} // namespace gypsum
