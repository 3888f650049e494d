#pragma once

#include "tests/support/deployment.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsum::tests {

/** Number of requests by their final outcome. */
struct LoadCounts
{
  std::uint64_t complete = 0;
  /** Requests that no entry executed in any of their attempts. */
  std::uint64_t notExecuted = 0;
  std::uint64_t unknown = 0;
  /** Requests that were sent but got no response. */
  std::uint64_t connectionLost = 0;
  /** Complete responses that do not contain the body of their request. */
  std::uint64_t mismatched = 0;
};

/**
 * Callers that send requests without a pause while processes restart.
 *
 * A request that was not executed, because its outcome is `not-run` or the
 * connection was refused, is retried at the next entry. Like a load balancer,
 * callers skip an entry that has reported that it is stopping, and use it again
 * once its /readyz succeeds. Retries of a booking keep its idempotency key.
 */
class SteadyLoad
{
public:
  SteadyLoad(const Deployment& aDeployment, std::vector<std::string> aEntries);
  ~SteadyLoad();
  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;

  void Stop();
  LoadCounts AnswerPipelineCounts() const;
  LoadCounts BookingCounts() const;
  /** Calls that were neither complete nor retried, one per line. */
  std::string FailureLog() const;
  /** Final outcome of each booking by its idempotency key. */
  std::map<std::string, std::string> BookingOutcomes() const;

private:
  void Loop(const std::string& aPipeline, std::size_t aCaller);
  void SendOneRequest(const std::string& aPipeline,
                      const std::string& aBody,
                      std::size_t aFirstEntry);
  /** Whether the entry may get requests; probes /readyz of a skipped one. */
  bool IsUsable(std::size_t aEntry);
  void SetUsable(std::size_t aEntry, bool aIsUsable);
  void RecordOutcome(const std::string& aPipeline, const std::string& aOutcome);
  void RecordFailure(const std::string& aPipeline,
                     const std::string& aEntry,
                     const HttpCallResult& aResult);

  const Deployment& deployment_;
  std::vector<std::string> entries_;
  std::vector<bool> isUsable_; ///< By index of the entry.
  std::atomic<bool> isStopping_ = false;
  mutable std::mutex mutex_;
  std::map<std::string, LoadCounts> counts_;    ///< By pipeline.
  std::map<std::string, std::string> outcomes_; ///< By key of the booking.
  std::string failureLog_;
  std::vector<std::thread> threads_;
};

} // namespace gypsum::tests
