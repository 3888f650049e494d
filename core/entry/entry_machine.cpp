#include "core/entry/entry_machine.h"

#include "core/admission/admission_control.h"
#include "core/entry/run_description.h"
#include "core/hash.h"
#include "core/ownership/owner.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace gypsum {

namespace {

constexpr std::string_view kComponent = "entry";
constexpr std::uint32_t kMaxAttemptsPerStage = 3;
constexpr int kMissedReportsUntilUnresponsive = 4;
constexpr std::chrono::milliseconds kOwnerReportTimeout{ 500 };

/** Milliseconds between two instants; negative if the first was never set. */
std::int64_t MillisecondsSince(Instant aThen, Instant aNow)
{
  return aThen == Instant{}
           ? -1
           : std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aThen)
               .count();
}

} // namespace

EntryMachine::EntryMachine(EntryOptions aOptions)
  : options_(std::move(aOptions))
  , members_(options_.self.name)
  , router_(options_.policy, options_.seed)
  , admission_(options_.policy.objective)
{
}

EntryEffects EntryMachine::Handle(EntryEvent aEvent, ClockReading aNow)
{
  now_ = aNow;
  std::visit([this](auto& aBody) { On(aBody); }, aEvent);
  DropFinished();
  if (isStopping_ && runs_.empty() && shutdownLinger_.IsOver(now_.steady)) {
    effects_.emplace_back(EntryDrained{});
  }
  return std::exchange(effects_, {});
}

void EntryMachine::On(CallerRequest& aEvent)
{
  shutdownLinger_.OnTraffic(now_.steady);
  const ErrorKind error = Check(aEvent);
  if (error != ErrorKind::None) {
    Refuse(aEvent, error);
    return;
  }
  RequestRun run;
  run.call = aEvent.call;
  run.id = std::move(aEvent.id);
  run.manifest = manifest_;
  run.pipeline = manifest_->FindPipeline(aEvent.pipeline);
  run.customer = manifest_->FindCustomer(run.id.customer);
  run.effects = EffectTracker(*run.pipeline, aEvent.isFirstAttempt);
  run.requestHash = Checksum(aEvent.pipeline + "/" + aEvent.body);
  run.arrival = now_.steady;
  const Duration deadline =
    aEvent.deadline > Duration::zero()
      ? std::min(aEvent.deadline, run.pipeline->deadline)
      : run.pipeline->deadline;
  run.deadline = now_.steady + deadline;
  run.bodyBytes = aEvent.body.size();
  run.input = std::move(aEvent.body);
  if (run.id.key.empty()) {
    run.id.key = options_.self.name + "." +
                 std::to_string(options_.self.incarnation) + "." +
                 std::to_string(run.call);
  }
  if (options_.policy.hasAdmission && RefuseIfLate(run)) {
    return;
  }
  ++counters_.accepted;
  const auto added = runs_.emplace(run.call, std::move(run)).first;
  Advance(added->second);
}

ErrorKind EntryMachine::Check(const CallerRequest& aRequest) const
{
  if (isStopping_) {
    return ErrorKind::Stopping;
  }
  if (!manifest_) {
    return ErrorKind::NotReady;
  }
  const Pipeline* const pipeline = manifest_->FindPipeline(aRequest.pipeline);
  if (!pipeline) {
    return ErrorKind::UnknownPipeline;
  }
  if (!manifest_->FindCustomer(aRequest.id.customer)) {
    return ErrorKind::UnknownCustomer;
  }
  if (aRequest.id.key.empty() && HasNonRepeatableStage(*pipeline)) {
    return ErrorKind::MissingKey;
  }
  if (runs_.size() >= options_.maxRequests) {
    return ErrorKind::Overloaded;
  }
  return ErrorKind::None;
}

bool EntryMachine::RefuseIfLate(const RequestRun& aRun)
{
  const Duration lateness = admission_.CheckLateness(
    aRun, members_, router_, options_.zone, now_.steady);
  if (lateness == Duration::zero()) {
    return false;
  }
  CallerRequest request;
  request.call = aRun.call;
  request.id = aRun.id;
  request.pipeline = aRun.pipeline->name;
  request.isFirstAttempt = aRun.effects.Summary() == Outcome::NotRun;
  Refuse(request, ErrorKind::DeadlineTooShort, lateness);
  return true;
}

void EntryMachine::Advance(RequestRun& aRun)
{
  if (now_.steady >= aRun.deadline) {
    FailRequest(aRun, ErrorKind::DeadlineExceeded, Outcome::NotRun);
    return;
  }
  if (aRun.Stage().isRepeatable) {
    SendRepeatable(aRun);
  } else {
    SendOwned(aRun);
  }
}

void EntryMachine::SendRepeatable(RequestRun& aRun)
{
  auto candidates = members_.Usable(aRun.Stage().service);
  std::erase_if(candidates, [&](const Member* aMember) {
    return aRun.tried.contains(aMember->name);
  });
  const Member* const member =
    router_.Choose(std::move(candidates), RoutingInputOf(aRun));
  if (!member || aRun.attemptsOfStage >= kMaxAttemptsPerStage) {
    FailRequest(aRun, ErrorKind::NoReplica, Outcome::NotRun);
    return;
  }
  SendStage(aRun, *member);
}

RoutingInput EntryMachine::RoutingInputOf(const RequestRun& aRun) const
{
  RoutingInput input;
  input.zone = options_.zone;
  input.inputBytes = aRun.bodyBytes;
  input.priority = aRun.pipeline->priority;
  input.now = now_.steady;
  input.stage = StageKey(aRun.pipeline->name, aRun.stage);
  input.budget = aRun.deadline - now_.steady;
  input.prefixHash = PrefixHash(aRun.input);
  return input;
}

void EntryMachine::SendOwned(RequestRun& aRun)
{
  // Uses the newest manifest, not that of the request: the owner checks
  // ownership by its own manifest anyway.
  const ServiceSpec* const service =
    manifest_->FindService(aRun.Stage().service);
  const Member* const owner =
    service ? members_.TrackOnDemand(
                *manifest_, OwnerOf(*service, aRun.id), now_.steady)
            : nullptr;
  if (owner && AwaitOwnerReport(aRun, *owner)) {
    return;
  }
  if (!owner || !owner->IsReachable()) {
    FailRequest(aRun, ErrorKind::OwnerUnreachable, Outcome::NotRun);
    return;
  }
  if (owner->isListedLeaving) {
    // Arrives before the stage on the same connection, so that the owner knows
    // that it is leaving and refuses keys that are new to it.
    Send(*owner, Hello{ true });
  }
  aRun.effects.OnSent();
  SendStage(aRun, *owner);
}

bool EntryMachine::AwaitOwnerReport(RequestRun& aRun, const Member& aOwner)
{
  const bool hasWaited = !aRun.awaitedOwner.empty();
  if (aOwner.incarnation != 0 || hasWaited) {
    return false;
  }
  aRun.awaitedOwner = aOwner.name;
  aRun.ownerReportDeadline =
    std::min(now_.steady + kOwnerReportTimeout, aRun.deadline);
  ++awaitingOwner_;
  Send(aOwner, Hello{});
  return true;
}

void EntryMachine::ResumeAwaitingOwner(const std::string& aOwner)
{
  if (awaitingOwner_ == 0) {
    return;
  }
  awaitingOwner_ = 0;
  for (auto& [call, run] : runs_) {
    if (run.ownerReportDeadline == Instant{}) {
      continue;
    }
    if (run.awaitedOwner == aOwner) {
      run.ownerReportDeadline = {};
      Advance(run);
    } else {
      ++awaitingOwner_;
    }
  }
}

void EntryMachine::SendStage(RequestRun& aRun, const Member& aMember)
{
  aRun.attempt = nextAttempt_++;
  aRun.target = aMember.name;
  aRun.targetIncarnation = aMember.incarnation;
  if (++aRun.attemptsOfStage == 1) {
    retryBudget_.OnFirstAttempt();
  }
  callOfAttempt_.emplace(aRun.attempt, aRun.call);
  members_.OnSent(aMember.name);
  aRun.sent = router_.OnSent(aMember, RoutingInputOf(aRun));
  const StageSpec& stage = aRun.Stage();
  StageRequest request;
  request.id = { aRun.id, aRun.stage, aRun.attempt, options_.self.incarnation };
  request.pipeline = aRun.pipeline->name;
  request.service = stage.service;
  request.operation = stage.operation;
  request.isRepeatable = stage.isRepeatable;
  request.priority = aRun.pipeline->priority;
  request.weight = aRun.customer->weight;
  request.budget = aRun.deadline - now_.steady;
  request.requestHash = aRun.requestHash;
  request.checksum = Checksum(aRun.input);
  request.input = aRun.input;
  Send(aMember, std::move(request));
}

void EntryMachine::On(EntryMessage& aEvent)
{
  const PeerHeader& header = aEvent.message.header;
  if (header.target != options_.self.incarnation) {
    ++counters_.misdirected;
    return;
  }
  if (const auto* const report = std::get_if<Report>(&aEvent.message.body)) {
    OnReport(header, *report);
  } else if (auto* const reply =
               std::get_if<StageReply>(&aEvent.message.body)) {
    OnStageReply(header, *reply);
  } else {
    ++counters_.misdirected;
  }
}

void EntryMachine::OnReport(const PeerHeader& aHeader, const Report& aReport)
{
  const bool areAttemptsLost = members_.OnReport(
    aHeader.sender.name, aHeader.sender.incarnation, aReport, now_.steady);
  if (areAttemptsLost) {
    FailLostAttempts();
  }
  ResumeAwaitingOwner(aHeader.sender.name);
}

void EntryMachine::OnStageReply(const PeerHeader& aHeader, StageReply& aReply)
{
  const auto attempt = callOfAttempt_.find(aReply.id.attempt);
  const auto found =
    attempt == callOfAttempt_.end() ? runs_.end() : runs_.find(attempt->second);
  const bool isExpected =
    found != runs_.end() && found->second.attempt == aReply.id.attempt &&
    found->second.id == aReply.id.request &&
    found->second.stage == aReply.id.stage &&
    found->second.targetIncarnation == aHeader.sender.incarnation;
  if (!isExpected) {
    ++counters_.stale;
    return;
  }
  members_.OnReport(
    aHeader.sender.name, aHeader.sender.incarnation, aReply.load, now_.steady);
  members_.OnReplied(aHeader.sender.name);
  callOfAttempt_.erase(attempt);
  RequestRun& run = found->second;
  effects_.emplace_back(StageReplied{ aReply.id,
                                      run.pipeline->name,
                                      run.Stage().name,
                                      run.target,
                                      aReply.outcome,
                                      aReply.error,
                                      aReply.queueTime,
                                      aReply.serviceTime });
  run.attempt = 0;
  if (!run.Stage().isRepeatable) {
    run.effects.OnOutcome(aReply.outcome);
  }
  if (aReply.outcome == Outcome::Complete) {
    router_.OnComplete(run.sent, aReply.serviceTime, now_.steady);
  } else {
    router_.OnFailed(
      run.sent, aReply.error == ErrorKind::BackendFailed, now_.steady);
  }
  if (aReply.outcome != Outcome::Complete) {
    OnStageFailed(run, aReply);
    return;
  }
  if (Checksum(aReply.output) != aReply.checksum) {
    ++counters_.corrupt;
    aReply.outcome = Outcome::Unknown;
    aReply.error = ErrorKind::CorruptResult;
    OnStageFailed(run, aReply);
    return;
  }
  OnStageComplete(run, std::move(aReply.output));
}

void EntryMachine::OnStageComplete(RequestRun& aRun, std::string aOutput)
{
  aRun.hasStarted = true;
  if (aRun.IsLastStage()) {
    Finish(aRun,
           { Outcome::Complete,
             ErrorKind::None,
             {},
             std::move(aOutput),
             {},
             aRun.effects.Summary() });
    return;
  }
  ++aRun.stage;
  aRun.attemptsOfStage = 0;
  aRun.tried.clear();
  aRun.awaitedOwner.clear();
  aRun.input = std::move(aOutput);
  Advance(aRun);
}

void EntryMachine::OnStageFailed(RequestRun& aRun, const StageReply& aReply)
{
  if (aReply.outcome == Outcome::Unknown &&
      aReply.error != ErrorKind::NotOwner) {
    aRun.hasStarted = true;
  }
  if (aReply.error == ErrorKind::NotOwner && HasOwnerMoved(aRun)) {
    ++counters_.retries;
    Advance(aRun);
    return;
  }
  const bool isRetryable = aRun.Stage().isRepeatable &&
                           aReply.error != ErrorKind::DeadlineExceeded &&
                           aRun.attemptsOfStage < kMaxAttemptsPerStage;
  if (!isRetryable || !retryBudget_.Take()) {
    FailRequest(aRun, aReply.error, aReply.outcome);
    return;
  }
  ++counters_.retries;
  aRun.tried.insert(aRun.target);
  Advance(aRun);
}

bool EntryMachine::HasOwnerMoved(const RequestRun& aRun) const
{
  // A replica that is not the owner has not run the attempt and never will.
  const ServiceSpec* const service =
    manifest_->FindService(aRun.Stage().service);
  return service && aRun.attemptsOfStage < kMaxAttemptsPerStage &&
         OwnerOf(*service, aRun.id) != aRun.target;
}

void EntryMachine::FailLostAttempts()
{
  for (auto& [call, run] : runs_) {
    if (run.attempt == 0) {
      continue;
    }
    const Member* const member = members_.Find(run.target);
    const bool isReplaced = member && member->incarnation != 0 &&
                            member->incarnation != run.targetIncarnation;
    const bool isLost = !member || isReplaced || member->isUnresponsive;
    if (isLost) {
      OnTargetLost(run);
    }
  }
}

void EntryMachine::OnTargetLost(RequestRun& aRun)
{
  CancelAttempt(aRun);
  members_.OnReplied(aRun.target);
  router_.OnAbandoned(aRun.sent, now_.steady);
  callOfAttempt_.erase(aRun.attempt);
  aRun.attempt = 0;
  aRun.hasStarted = true;
  if (!aRun.Stage().isRepeatable) {
    FailRequest(aRun, ErrorKind::OwnerUnreachable, Outcome::Unknown);
    return;
  }
  ++counters_.retries;
  aRun.tried.insert(aRun.target);
  Advance(aRun);
}

void EntryMachine::CancelAttempt(const RequestRun& aRun)
{
  const Member* const member = members_.Find(aRun.target);
  if (aRun.attempt == 0 || !member ||
      member->incarnation != aRun.targetIncarnation) {
    return;
  }
  Send(
    *member,
    Cancel{ { aRun.id, aRun.stage, aRun.attempt, options_.self.incarnation } });
}

void EntryMachine::FailRequest(RequestRun& aRun,
                               ErrorKind aError,
                               Outcome aStageOutcome)
{
  // The whole request is not "not run" if an earlier stage ran, or if an
  // earlier attempt may have run.
  const auto effect = aRun.effects.Summary();
  const bool isNotRun = aStageOutcome == Outcome::NotRun && !aRun.hasStarted &&
                        effect.value_or(Outcome::NotRun) == Outcome::NotRun;
  Answer answer;
  answer.effect = effect;
  answer.outcome = isNotRun ? Outcome::NotRun : Outcome::Unknown;
  answer.error = aError;
  answer.retryAfter = ErrorResponseOf(aError).retryAfter;
  answer.text = "stage " + aRun.Stage().name + ": " +
                std::string(ErrorResponseOf(aError).text);
  Finish(aRun, std::move(answer));
}

void EntryMachine::Finish(RequestRun& aRun, Answer aAnswer)
{
  switch (aAnswer.outcome) {
    case Outcome::Complete:
      ++counters_.complete;
      break;
    case Outcome::NotRun:
      ++counters_.notRun;
      break;
    case Outcome::Unknown:
      ++counters_.unknown;
      break;
  }
  shutdownLinger_.OnTraffic(now_.steady);
  effects_.emplace_back(AnswerCaller{ aRun.call,
                                      aRun.id,
                                      aRun.pipeline->name,
                                      now_.steady - aRun.arrival,
                                      std::move(aAnswer) });
  finished_.push_back(aRun.call);
}

void EntryMachine::Refuse(const CallerRequest& aRequest,
                          ErrorKind aError,
                          Duration aMinRetryAfter)
{
  const ErrorResponse& rule = ErrorResponseOf(aError);
  Answer answer;
  answer.outcome = OutcomeOfRefusal(aRequest);
  answer.error = aError;
  answer.retryAfter = std::max(rule.retryAfter, aMinRetryAfter);
  answer.text = rule.text;
  if (answer.outcome == Outcome::Unknown) {
    ++counters_.unknown;
    answer.effect = Outcome::Unknown;
    answer.text += "; this attempt did not run, an earlier one with the key "
                   "may have";
  } else {
    ++counters_.notRun;
  }
  effects_.emplace_back(AnswerCaller{
    aRequest.call, aRequest.id, aRequest.pipeline, {}, std::move(answer) });
}

Outcome EntryMachine::OutcomeOfRefusal(const CallerRequest& aRequest) const
{
  // An earlier attempt with the key may have run through another entry,
  // possibly under a manifest that this entry does not have.
  const Pipeline* const pipeline =
    manifest_ ? manifest_->FindPipeline(aRequest.pipeline) : nullptr;
  const bool mayRepeat = pipeline && !HasNonRepeatableStage(*pipeline);
  const bool isProvablyNew = aRequest.isFirstAttempt || aRequest.id.key.empty();
  return mayRepeat || isProvablyNew ? Outcome::NotRun : Outcome::Unknown;
}

void EntryMachine::DropFinished()
{
  for (const std::uint64_t call : std::exchange(finished_, {})) {
    const auto found = runs_.find(call);
    if (found != runs_.end()) {
      callOfAttempt_.erase(found->second.attempt);
      runs_.erase(found);
    }
  }
}

void EntryMachine::On(EntryManifestAdopted& aEvent)
{
  if (aEvent.manifest->revision <= ActiveRevision()) {
    return;
  }
  manifest_ = std::move(aEvent.manifest);
  members_.SetManifest(*manifest_);
}

void EntryMachine::On(EntryLeavingListUpdated& aEvent)
{
  members_.OnLeavingListUpdated(aEvent.replicas);
}

void EntryMachine::On(EntryStopRequested& /*aEvent*/)
{
  isStopping_ = true;
  shutdownLinger_.Begin(now_.steady);
  effects_.emplace_back(LogLine{
    Severity::Info, kComponent, "stopping; finishing outstanding requests" });
}

void EntryMachine::On(EntryTick& /*aEvent*/)
{
  for (const Member* const member :
       members_.TakeDueHellos(now_.steady, options_.reportInterval)) {
    Send(*member, Hello{ member->isListedLeaving });
  }
  const bool areAttemptsLost = members_.Expire(
    now_.steady, options_.reportInterval * kMissedReportsUntilUnresponsive);
  if (areAttemptsLost) {
    FailLostAttempts();
  }
  for (auto& [call, run] : runs_) {
    const bool hasOwnerTimedOut = run.ownerReportDeadline != Instant{} &&
                                  now_.steady >= run.ownerReportDeadline;
    if (hasOwnerTimedOut) {
      run.ownerReportDeadline = {};
      Advance(run);
    }
    const bool isLate = run.attempt != 0 && now_.steady >= run.deadline;
    if (isLate) {
      CancelAttempt(run);
      members_.OnReplied(run.target);
      router_.OnAbandoned(run.sent, now_.steady);
      FailRequest(run, ErrorKind::DeadlineExceeded, Outcome::Unknown);
    }
  }
}

void EntryMachine::Send(const Member& aMember, PeerBody aBody)
{
  PeerHeader header{ options_.self, aMember.incarnation, ActiveRevision() };
  effects_.emplace_back(
    SendTo{ aMember.address, { std::move(header), std::move(aBody) } });
}

Revision EntryMachine::ActiveRevision() const
{
  return manifest_ ? manifest_->revision : 0;
}

bool EntryMachine::IsReady() const
{
  return manifest_ && !isStopping_;
}

void EntryMachine::Describe(boost::json::object& aState) const
{
  aState["name"] = options_.self.name;
  aState["incarnation"] = options_.self.incarnation;
  aState["revision"] = ActiveRevision();
  aState["stopping"] = isStopping_;
  aState["requests"] = runs_.size();
  aState["accepted"] = counters_.accepted;
  aState["complete"] = counters_.complete;
  aState["not_run"] = counters_.notRun;
  aState["unknown"] = counters_.unknown;
  aState["retries"] = counters_.retries;
  aState["retry_budget"] = retryBudget_.Remaining();
  aState["stale"] = counters_.stale;
  aState["corrupt"] = counters_.corrupt;
  aState["misdirected"] = counters_.misdirected;
  DescribeRuns(runs_, now_.steady, aState["in_flight"].emplace_object());
  boost::json::object& members = aState["members"].emplace_object();
  for (const auto& [name, member] : members_.All()) {
    boost::json::object& info = members[name].emplace_object();
    info["state"] = NameOf(member.state);
    info["incarnation"] = member.incarnation;
    info["listed_leaving"] = member.isListedLeaving;
    info["flaps"] = member.flaps;
    info["outstanding"] = member.outstanding;
    info["queued"] = member.report.queued;
    info["running"] = member.report.running;
    info["zone"] = member.zone;
    info["heard_ms_ago"] = MillisecondsSince(member.lastReportAt, now_.steady);
  }
}

} // namespace gypsum
