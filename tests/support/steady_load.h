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
  std::uint64_t notExecuted = 0; ///< After all retries.
  std::uint64_t unknown = 0;
  std::uint64_t connectionLost = 0; ///< Closed without a reply.
  std::uint64_t mismatched = 0; ///< Complete, but with another request's body.
};

/**
 * Callers that send requests without a pause while processes restart.
 *
 * A request is retried at the next entry if its connection is refused or its
 * outcome is `not-run`. Like a load balancer, callers skip an entry that
 * reported that it is stopping until its /readyz succeeds. Retries of a booking
 * keep its idempotency key.
 */
class SteadyLoad
{
public:
  SteadyLoad(const Deployment& aDeployment, std::vector<std::string> aEntries);
  ~SteadyLoad();
  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;

  void Stop();
  /** Outcomes of the pipeline `answer`. */
  LoadCounts AnswerCounts() const;
  /** Outcomes of the pipeline `book`. */
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
  bool IsInUse(std::size_t aEntry);
  void SetInUse(std::size_t aEntry, bool aIsInUse);
  void RecordOutcome(const std::string& aPipeline, const std::string& aOutcome);
  void RecordFailure(const std::string& aPipeline,
                     const std::string& aEntry,
                     const HttpCallResult& aResult);

  const Deployment& deployment_;
  std::vector<std::string> entries_;
  std::vector<bool> isInUse_; ///< By index of the entry.
  std::atomic<bool> isStopping_ = false;
  mutable std::mutex mutex_;
  std::map<std::string, LoadCounts> counts_;    ///< By pipeline.
  std::map<std::string, std::string> outcomes_; ///< By key of the booking.
  std::string failureLog_;
  std::vector<std::thread> threads_;
};

} // namespace gypsum::tests
