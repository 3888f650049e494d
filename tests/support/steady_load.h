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

/** What the callers of a load were told. */
struct LoadCounts
{
  std::uint64_t complete = 0;
  std::uint64_t notExecuted =
    0; ///< After every entry was tried again and again.
  std::uint64_t unknown = 0;
  std::uint64_t connectionLost = 0; ///< Connections that ended without a reply.
  std::uint64_t mismatched = 0; ///< Complete, with the body of another request.
};

/**
 * Callers that ask without a pause while processes come and go.
 *
 * They go to the other entry when one refuses the connection or answers "not
 * run". Like a balancer they leave an entry alone that said it stops, until
 * its /readyz says that it is ready. A booking keeps its key.
 */
class SteadyLoad
{
public:
  SteadyLoad(const Deployment& aDeployment, std::vector<std::string> aEntries);
  ~SteadyLoad();
  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;

  void Stop();
  LoadCounts AnswerCounts() const;
  LoadCounts BookingCounts() const;
  /** What callers got that was neither complete nor tried again. */
  std::string FailureLog() const;
  /** Keys of bookings with the final outcome that the caller was told. */
  std::map<std::string, std::string> BookingOutcomes() const;

private:
  void Loop(const std::string& aPipeline, std::size_t aCaller);
  void SendOneRequest(const std::string& aPipeline,
                      const std::string& aBody,
                      std::size_t aFirst);
  /** Whether the entry may be asked; probes one that said it stops. */
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
  std::map<std::string, LoadCounts> counts_; ///< By pipeline.
  std::map<std::string, std::string> outcomes_;
  std::string failureLog_;
  std::vector<std::thread> threads_;
};

} // namespace gypsum::tests
