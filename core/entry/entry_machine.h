#pragma once

#include "core/admission/admission_control.h"
#include "core/entry/entry_events.h"
#include "core/entry/request_run.h"
#include "core/membership/member_table.h"
#include "core/membership/shutdown_linger.h"
#include "core/routing/policy_options.h"
#include "core/routing/retry_budget.h"
#include "core/routing/router.h"

#include <boost/json/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace gypsum {

/** Settings that the decisions of an entry depend on. */
struct EntryOptions
{
  ProcessId self;
  std::string zone;
  std::size_t maxRequests = 0; ///< Limit of requests in flight.
  Duration reportInterval{};
  std::uint64_t seed = 0;
  PolicyOptions policy{};
};

/** Counters of an entry since its start. */
struct EntryCounters
{
  std::uint64_t accepted = 0;
  std::uint64_t complete = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t stale = 0;   ///< Replies to attempts that are not outstanding.
  std::uint64_t corrupt = 0; ///< Replies whose checksum does not match.
  /** Messages for another incarnation or of an unexpected type. */
  std::uint64_t misdirected = 0;
};

/**
 * Makes all decisions of an entry: admission, the progress of each request
 * through its pipeline, the choice of replicas, and the answer to the caller.
 *
 * A pure state machine: takes an event and the time, and returns effects. Not
 * thread-safe.
 */
class EntryMachine
{
public:
  explicit EntryMachine(EntryOptions aOptions);

  EntryEffects Handle(EntryEvent aEvent, ClockReading aNow);

  const EntryCounters& Counters() const { return counters_; }
  Revision ActiveRevision() const;
  bool IsReady() const;
  void Describe(boost::json::object& aState) const;

private:
  using Runs = std::map<std::uint64_t, RequestRun>;

  void On(CallerRequest& aEvent);
  void On(EntryMessage& aEvent);
  void On(EntryManifestAdopted& aEvent);
  void On(EntryLeavingListUpdated& aEvent);
  void On(EntryStopRequested& aEvent);
  void On(EntryTick& aEvent);

  void OnReport(const PeerHeader& aHeader, const Report& aReport);
  void OnStageReply(const PeerHeader& aHeader, StageReply& aReply);

  ErrorKind Check(const CallerRequest& aRequest) const;
  void Advance(RequestRun& aRun);
  RoutingInput RoutingInputOf(const RequestRun& aRun) const;
  void SendOwned(RequestRun& aRun);
  void SendRepeatable(RequestRun& aRun);
  void SendStage(RequestRun& aRun, const Member& aMember);
  void OnStageComplete(RequestRun& aRun, std::string aOutput);
  void OnStageFailed(RequestRun& aRun, const StageReply& aReply);
  bool HasOwnerMoved(const RequestRun& aRun) const;
  void OnTargetLost(RequestRun& aRun);
  void FailLostAttempts();
  /**
   * Sends a hello to an owner that has not reported yet.
   *
   * Returns true if the request now waits for its report.
   */
  bool AwaitOwnerReport(RequestRun& aRun, const Member& aOwner);
  void ResumeAwaitingOwner(const std::string& aOwner);
  void CancelAttempt(const RequestRun& aRun);
  void Finish(RequestRun& aRun, Answer aAnswer);
  void FailRequest(RequestRun& aRun, ErrorKind aError, Outcome aStageOutcome);
  bool RefuseIfLate(const RequestRun& aRun);
  /** Refuses a request before any stage ran; retry after `aMinRetryAfter`. */
  void Refuse(const CallerRequest& aRequest,
              ErrorKind aError,
              Duration aMinRetryAfter = {});
  Outcome OutcomeOfRefusal(const CallerRequest& aRequest) const;
  void Send(const Member& aMember, PeerBody aBody);
  void DropFinished();

  EntryOptions options_;
  MemberTable members_;
  Router router_;
  AdmissionControl admission_;
  RetryBudget retryBudget_;
  Runs runs_;
  std::map<std::uint64_t, std::uint64_t> callOfAttempt_;
  std::vector<std::uint64_t> finished_;
  EntryCounters counters_;
  ManifestPtr manifest_;
  bool isStopping_ = false;
  ShutdownLinger shutdownLinger_;
  std::uint64_t nextAttempt_ = 1;
  /** Upper bound of the requests that await the report of an owner. */
  std::size_t awaitingOwner_ = 0;
  ClockReading now_;
  EntryEffects effects_;
};

} // namespace gypsum
