#pragma once

#include "core/gateway/batch_queue.h"
#include "core/gateway/gateway_messages.h"
#include "core/gateway/stage_plan.h"
#include "servers/gateway/gateway_state.h"
#include "servers/gateway/peer_exchange.h"
#include "servers/gateway/request_life.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsum {

/**
 * Makes the pieces of stages.
 *
 * One gateway owns the queue of a stage service, so that calls carry pieces of
 * requests from all gateways. When the owner does not take a job or falls
 * silent, the pieces are made from a queue of this gateway: they may be made
 * again.
 */
class PieceService
{
public:
  PieceService(GatewayState& aState, PeerExchange& aPeers);

  void Start();
  /** Makes the pieces of a job, or says why they could not be made. */
  boost::asio::awaitable<PieceJobEnd> Make(std::string aService,
                                           PieceJob aJob,
                                           CancellationToken& aCancellation);
  /** Priorities that are told apart; the last stands for all above it. */
  static constexpr std::uint32_t kPriorities = 6;

  Duration ExpectedWait(std::string_view aService,
                        std::uint32_t aPriority) const;
  /** Gives results up at their makers, by way of the queue's owner. */
  void Free(const std::string& aService, std::vector<std::string> aHandles);
  void Free(std::vector<StagePlan::Released> aReleased);
  /** Waits of the queues at work here, for the peers. */
  std::vector<ServiceWait> LocalQueueWaits() const;
  void OnPeerMessage(Route aRoute, const PeerHeader& aHeader, PeerBody aBody);

private:
  struct Waiter
  {
    explicit Waiter(boost::asio::io_context& aLoop)
      : timer(aLoop)
    {
    }
    boost::asio::steady_timer timer;
    std::optional<PieceJobEnd> end;
    bool isAccepted = false;
  };
  struct Asker
  {
    Route route; ///< Empty: this gateway.
    Incarnation incarnation = 0;
  };
  struct Queue
  {
    Queue(boost::asio::io_context& aLoop, BatchSpec aSpec)
      : queue(aSpec)
      , timer(aLoop)
    {
    }
    BatchQueue queue;
    boost::asio::steady_timer timer; ///< For the queue's next wake-up.
  };

  Queue* QueueOf(const std::string& aService);
  void Submit(const std::string& aService, PieceJob aJob, Asker aAsker);
  void Pump(const std::string& aService);
  void DeliverEnded(Queue& aQueue);
  void FreeHere(std::vector<std::string> aHandles);
  boost::asio::awaitable<void> RunBatch(std::string aService, Batch aBatch);
  boost::asio::awaitable<BatchEnd> CallReplica(
    const std::string& aService,
    const Batch& aBatch,
    std::vector<BatchItemResult>& aResults);
  boost::asio::awaitable<void> FreeLoop();
  boost::asio::awaitable<void> FreeAt(std::string aAddress,
                                      std::vector<std::string> aHandles);
  /** Tells the queues that the room of results is free again. */
  void OnResultsReleased(std::span<const std::string> aHandles);

  GatewayState& state_;
  PeerExchange& peers_;
  std::map<std::string, std::unique_ptr<Queue>, std::less<>> queues_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
  std::map<PieceJobId, Asker> askers_;
  std::map<std::string, std::vector<std::string>, std::less<>> toFree_;
  std::uint64_t lastNumber_ = 0;
};

} // namespace gypsum
