#pragma once

#include "tests/cell/cell.h"
#include "tests/cell/stream_check.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

/** Whether a request got its whole response, and no other's. */
inline bool IsServed(const CellRequest& aRequest, const CellResponse& aResponse)
{
  return aResponse.status == 200 && aResponse.isComplete &&
         (aRequest.prompt.empty() ||
          IsCompleteStream(aResponse.body, aRequest.attemptId));
}

/** A request of the kind that the route of a path is for. */
inline CellRequest MakeRequest(Cell& aCell, const std::string& aPath)
{
  if (aPath.starts_with("/staged/")) {
    return aCell.MakeStagedRequest();
  }
  return aPath.starts_with("/chat/") || aPath.starts_with("/long/")
           ? aCell.MakeStreamRequest(aPath)
           : aCell.MakePlainRequest(aPath);
}

/** Clients that send requests to all gateways of a cell until `Stop`. */
class CellLoad
{
public:
  using Maker = std::function<CellRequest()>;

  explicit CellLoad(Cell& aCell)
    : cell_(aCell)
  {
  }
  ~CellLoad() { Stop(); }
  CellLoad(const CellLoad&) = delete;
  CellLoad& operator=(const CellLoad&) = delete;

  /** Starts one client for each gateway. */
  void Start(const Maker& aMake, std::chrono::milliseconds aInterval)
  {
    for (std::size_t gateway = 0; gateway < cell_.Gateways().size();
         ++gateway) {
      clients_.emplace_back([this, gateway, aMake, aInterval] {
        while (!isOver_) {
          const CellRequest request = Make(aMake);
          const CellResponse response = Send(request, gateway);
          ++sent_;
          served_ += IsServed(request, response) ? 1 : 0;
          std::this_thread::sleep_for(aInterval);
        }
      });
    }
  }

  void Stop()
  {
    isOver_ = true;
    std::ranges::for_each(clients_, &std::thread::join);
    clients_.clear();
  }

  CellRequest Make(const Maker& aMake)
  {
    const std::lock_guard lock(mutex_);
    return aMake();
  }

  /** Sends on a new connection. */
  CellResponse Send(const CellRequest& aRequest, std::size_t aGateway)
  {
    return CellClient(cell_.Gateways()[aGateway].clientAddress).Send(aRequest);
  }

  /** Kills a gateway, starts it again, and waits until it is ready. */
  bool RestartGateway(std::size_t aGateway)
  {
    CellGateway& gateway = cell_.Gateways()[aGateway];
    gateway.process.reset();
    cell_.StartGateway(gateway);
    return cell_.WaitUntilReady(gateway);
  }

  int Sent() const { return sent_; }
  int Served() const { return served_; }
  void ResetCounts()
  {
    sent_ = 0;
    served_ = 0;
  }

private:
  Cell& cell_;
  std::mutex mutex_;
  std::vector<std::thread> clients_;
  std::atomic<bool> isOver_ = false;
  std::atomic<int> sent_ = 0;
  std::atomic<int> served_ = 0;
};

} // namespace gypsum::tests
