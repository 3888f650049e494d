#include "servers/gateway/crash_detector.h"

#include "core/scope_exit.h"
#include "drivers/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** Time after a client has left until its server is probed: servers drop most
 * of such requests, and end under the others soon. */
constexpr Duration kClientLeftProbeDelay = std::chrono::milliseconds(300);
/** Longer pauses between two looks for silent servers are those of this
 * process. */
constexpr Duration kMaxExpireGap = std::chrono::milliseconds(400);
/** A few round trips between availability zones. */
constexpr Duration kUnheardAnswerTimeout =
  UnansweredSends::kSilenceTime - UnansweredSends::kUnheardTime;

} // namespace

std::shared_ptr<const RequestTraits> TraitsOfRequest(
  const std::string& aRequestName)
{
  RequestTraits traits;
  if (!aRequestName.empty()) {
    traits.push_back({ aRequestName, kWholeRequest });
  }
  return std::make_shared<const RequestTraits>(std::move(traits));
}

void CrashDetector::OnSent(SendNumber aNumber,
                           BackendPtr aBackend,
                           std::shared_ptr<const RequestTraits> aTraits)
{
  sends_.Add(aNumber, std::move(aBackend), std::move(aTraits));
}

void CrashDetector::OnConnected(SendNumber aNumber, Instant aOpenedAt)
{
  sends_.OnConnected(aNumber, aOpenedAt, Now().steady);
}

void CrashDetector::OnEvents(SendNumber aNumber, bool aIsComplete)
{
  const UnansweredSends::Sent sent = sends_.Find(aNumber);
  if (!sent.backend) {
    return;
  }
  const bool hasSurvived = sends_.OnEvents(aNumber, aIsComplete, Now().steady);
  handlers_.onResponse(*sent.backend, sent.openedAt);
  if (hasSurvived) {
    handlers_.onSurvival(*sent.backend, *sent.traits);
    handlers_.onEnd(aNumber);
  }
  if (aIsComplete) {
    OnEnded(aNumber);
  }
}

void CrashDetector::OnRejected(SendNumber aNumber)
{
  const UnansweredSends::Sent sent = sends_.Find(aNumber);
  if (sent.backend) {
    sends_.OnResponse(*sent.backend, sent.openedAt, Now().steady);
    handlers_.onResponse(*sent.backend, sent.openedAt);
  }
  OnEnded(aNumber);
}

void CrashDetector::OnEnded(SendNumber aNumber)
{
  if (sends_.Find(aNumber).backend) {
    sends_.Remove(aNumber);
    handlers_.onEnd(aNumber);
  }
}

bool CrashDetector::IsLeaving(const BackendRecord& aBackend) const
{
  // A server that is being asked was removed without notice, so that its end
  // still counts.
  return handlers_.isLeaving(aBackend) &&
         !asked_.contains(UnansweredSends::IncarnationOf(aBackend));
}

void CrashDetector::StartProbe(const BackendPtr& aBackend)
{
  auto& probe = probes_[UnansweredSends::IncarnationOf(*aBackend)];
  if (!probe) {
    probe = std::make_shared<asio::steady_timer>(
      loop_, asio::steady_timer::time_point::max());
    tasks_.Spawn("crash-probe", Probe(aBackend));
  }
}

void CrashDetector::OnBroken(SendNumber aNumber)
{
  const UnansweredSends::Sent sent = sends_.Find(aNumber);
  if (!sent.isOpen || IsLeaving(*sent.backend)) {
    OnEnded(aNumber);
    return;
  }
  sends_.OnBroken(aNumber, Now().steady);
  StartProbe(sent.backend);
}

void CrashDetector::OnTimedOut(SendNumber aNumber)
{
  const UnansweredSends::Sent sent = sends_.Find(aNumber);
  if (!sent.isOpen || IsLeaving(*sent.backend)) {
    OnEnded(aNumber);
    return;
  }
  sends_.OnTimedOut(aNumber, Now().steady);
  ReportSilences();
  StartProbe(sent.backend);
}

void CrashDetector::OnClientLeft(SendNumber aNumber)
{
  const UnansweredSends::Sent sent = sends_.Find(aNumber);
  if (!sent.isOpen || IsLeaving(*sent.backend)) {
    OnEnded(aNumber);
    return;
  }
  sends_.OnGivenUp(aNumber, Now().steady);
  tasks_.Spawn("crash-probe", ProbeAfterClientLeft(aNumber, sent.backend));
}

asio::awaitable<void> CrashDetector::ProbeAfterClientLeft(SendNumber aNumber,
                                                          BackendPtr aBackend)
{
  const Instant leftAt = Now().steady;
  asio::steady_timer timer(loop_, kClientLeftProbeDelay);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  // A response may have shown meanwhile that the server goes on.
  const bool isOpen = sends_.Find(aNumber).isOpen;
  if (isOpen && !handlers_.hasConnection(*aBackend, leftAt)) {
    StartProbe(aBackend);
    co_await AwaitProbe(aBackend);
  }
  handlers_.onEnd(aNumber);
}

asio::awaitable<void> CrashDetector::Probe(BackendPtr aBackend)
{
  const BackendKey key = UnansweredSends::IncarnationOf(*aBackend);
  Liveness liveness{};
  {
    // Requests wait for the end of the probe, however it ends.
    const ScopeExit end([this, &key] {
      const auto probe = probes_.find(key);
      probe->second->cancel();
      probes_.erase(probe);
    });
    liveness = co_await ProbeLiveness(loop_.get_executor(), aBackend->address);
    handlers_.onProbe(liveness);
  }
  for (const SendNumber number : sends_.EndedAt(key)) {
    handlers_.onEnd(number);
  }
  if (liveness == Liveness::Gone && !IsLeaving(*aBackend)) {
    ReportCrash(key, "refuses-connections", false);
  }
}

asio::awaitable<void> CrashDetector::AwaitProbe(BackendPtr aBackend)
{
  const auto running = probes_.find(UnansweredSends::IncarnationOf(*aBackend));
  if (running == probes_.end()) {
    co_return;
  }
  const std::shared_ptr<asio::steady_timer> probe = running->second;
  boost::system::error_code ignored;
  co_await probe->async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> CrashDetector::Ask(BackendPtr aBackend,
                                         std::string_view aEvidence)
{
  const BackendKey key = UnansweredSends::IncarnationOf(*aBackend);
  if (!asked_.insert(key).second) {
    co_return;
  }
  const Instant askedAt = Now().steady;
  Liveness liveness{};
  {
    const ScopeExit end([this, &key] { asked_.erase(key); });
    ProbeRequest question = handlers_.makeQuestion(*aBackend);
    liveness = co_await ProbeResponse(
      loop_.get_executor(), aBackend->address, std::move(question));
  }
  handlers_.onProbe(liveness);
  if (liveness == Liveness::Alive) {
    sends_.OnResponse(*aBackend, askedAt, Now().steady);
    co_return;
  }
  ReportCrash(key, aEvidence, liveness == Liveness::Silent);
}

asio::awaitable<void> CrashDetector::AskUnheard(BackendPtr aBackend)
{
  const BackendKey key = UnansweredSends::IncarnationOf(*aBackend);
  Liveness liveness = Liveness::Silent;
  {
    const ScopeExit end([this, &key, &liveness] {
      sends_.OnQuestionEnd(key, liveness == Liveness::Alive, Now().steady);
    });
    ProbeRequest question = handlers_.makeQuestion(*aBackend);
    liveness =
      co_await ProbeResponse(loop_.get_executor(),
                             aBackend->address,
                             std::move(question),
                             kUnheardAnswerTimeout + handlers_.readLag());
  }
  handlers_.onProbe(liveness);
  if (liveness != Liveness::Alive) {
    ReportSilences();
  }
}

void CrashDetector::ReportCrash(const BackendKey& aKey,
                                std::string_view aEvidence,
                                bool aWasSilent)
{
  NoticedEnd end = sends_.EndOf(aKey, Now().steady);
  end.crash.wasSilent = aWasSilent;
  for (const SendNumber number : sends_.EndedAt(aKey)) {
    OnEnded(number);
  }
  if (end.requests > 0) {
    handlers_.onCrash(end, aEvidence);
  }
}

void CrashDetector::OnPeerResponse(const BackendKey& aServer, Instant aAt)
{
  sends_.OnPeerResponse(aServer, aAt);
}

void CrashDetector::OnRestarted(std::string_view aBackend,
                                std::uint64_t aStartedMs)
{
  for (const BackendPtr& server : sends_.ServersById(aBackend)) {
    if (server->startedMs != aStartedMs) {
      ReportCrash(UnansweredSends::IncarnationOf(*server), "restarted", false);
    }
  }
}

void CrashDetector::OnRemoved(std::string_view aBackend, bool aHadAnnounced)
{
  if (aHadAnnounced) {
    return;
  }
  for (const BackendPtr& server : sends_.ServersById(aBackend)) {
    tasks_.Spawn("crash-question", Ask(server, "removed"));
  }
}

void CrashDetector::ReportSilences()
{
  for (const NoticedEnd& silence : sends_.TakeSilences(Now().steady)) {
    const BackendPtr server = sends_.Find(silence.sends.front()).backend;
    if (!IsLeaving(*server)) {
      handlers_.onSilence(silence);
    }
    // The suspicion bounds how many may follow; the next one may show sooner
    // that the request is sound.
    std::ranges::for_each(silence.sends, handlers_.onEnd);
  }
}

void CrashDetector::Expire()
{
  const Instant now = Now().steady;
  if (now - lastExpiredAt_ > kMaxExpireGap) {
    sends_.OnOwnPause(now);
  }
  lastExpiredAt_ = now;
  for (const BackendPtr& server : sends_.TakeUnheard(now)) {
    if (handlers_.mayAsk(*server)) {
      tasks_.Spawn("crash-question", AskUnheard(server));
    } else {
      sends_.OnQuestionEnd(UnansweredSends::IncarnationOf(*server), false, now);
    }
  }
  ReportSilences();
  for (const BackendPtr& server : sends_.TakeUnexplained(now)) {
    tasks_.Spawn("crash-question", Ask(server, "silent"));
  }
  sends_.Expire(now);
}

} // namespace gypsum
