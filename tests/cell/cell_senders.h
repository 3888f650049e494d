#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace gypsum::tests {

/** Which gateway each client attempt was sent to; for use by any thread. */
class CellSenders
{
public:
  /** Stands for the gateway that owns the queue of a stage service. */
  static constexpr std::size_t kQueueOwner = 1'000'000;

  void Add(const std::string& aAttemptId, std::size_t aGateway)
  {
    const std::lock_guard lock(mutex_);
    gateways_[aAttemptId] = aGateway;
  }

  /** `kQueueOwner` if no client has sent the attempt. */
  std::size_t GatewayOf(const std::string& aAttemptId) const
  {
    const std::lock_guard lock(mutex_);
    const auto found = gateways_.find(aAttemptId);
    return found == gateways_.end() ? kQueueOwner : found->second;
  }

private:
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> gateways_;
};

} // namespace gypsum::tests
