#include "servers/gateway/crash_detector.h"

#include "drivers/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** Time after the first event until a server has survived a request. */
constexpr Duration kSurvivalTime = std::chrono::milliseconds(300);
/** The registry lists a crashed server as gone or restarted after a few of its
 * heartbeats. */
constexpr Duration kConfirmationTime = std::chrono::seconds(6);

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

CrashDetector::BackendKey CrashDetector::KeyOf(const BackendRecord& aBackend)
{
  return { aBackend.id, aBackend.startedMs };
}

void CrashDetector::OnSent(SendNumber aNumber,
                           BackendPtr aBackend,
                           std::shared_ptr<const RequestTraits> aTraits)
{
  Send& send = sends_[aNumber];
  send.backend = std::move(aBackend);
  send.traits = std::move(aTraits);
}

void CrashDetector::OnConnected(SendNumber aNumber, Instant aOpenedAt)
{
  const auto found = sends_.find(aNumber);
  if (found != sends_.end()) {
    found->second.openedAt = aOpenedAt;
  }
}

void CrashDetector::OnEvents(SendNumber aNumber, bool aIsComplete)
{
  const auto found = sends_.find(aNumber);
  if (found == sends_.end()) {
    return;
  }
  Send& send = found->second;
  const Instant now = Now().steady;
  if (send.firstEventAt == Instant{}) {
    send.firstEventAt = now;
  }
  if (aIsComplete || now - send.firstEventAt >= kSurvivalTime) {
    handlers_.onSurvival(*send.backend, *send.traits);
    OnEnded(aNumber);
  }
}

void CrashDetector::OnEnded(SendNumber aNumber)
{
  if (sends_.erase(aNumber) > 0) {
    handlers_.onEnd(aNumber);
  }
}

void CrashDetector::OnBroken(SendNumber aNumber)
{
  const auto found = sends_.find(aNumber);
  if (found == sends_.end()) {
    return;
  }
  Send& send = found->second;
  if (handlers_.isLeaving(*send.backend)) {
    OnEnded(aNumber);
    return;
  }
  send.brokenAt = Now().steady;
  auto& probe = probes_[KeyOf(*send.backend)];
  if (!probe) {
    probe = std::make_shared<asio::steady_timer>(
      loop_, asio::steady_timer::time_point::max());
    asio::co_spawn(loop_, Probe(send.backend), asio::detached);
  }
}

asio::awaitable<void> CrashDetector::Probe(BackendPtr aBackend)
{
  const BackendKey key = KeyOf(*aBackend);
  const Liveness liveness =
    co_await ProbeLiveness(loop_.get_executor(), aBackend->address);
  handlers_.onProbe(liveness);
  const auto probe = probes_.find(key);
  probe->second->cancel();
  probes_.erase(probe);
  for (auto& [number, send] : sends_) {
    if (send.IsBroken() && KeyOf(*send.backend) == key) {
      send.liveness = liveness;
      handlers_.onEnd(number);
    }
  }
  if (liveness == Liveness::Gone) {
    ReportCrash(key, "refuses-connections");
  }
}

asio::awaitable<void> CrashDetector::AwaitProbe(BackendPtr aBackend)
{
  const auto running = probes_.find(KeyOf(*aBackend));
  if (running == probes_.end()) {
    co_return;
  }
  const std::shared_ptr<asio::steady_timer> probe = running->second;
  boost::system::error_code ignored;
  co_await probe->async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

void CrashDetector::ReportCrash(const BackendKey& aKey,
                                std::string_view aEvidence)
{
  Crash crash;
  crash.crash.backend = aKey.first;
  crash.crash.startedMs = aKey.second;
  crash.evidence = aEvidence;
  const Instant now = Now().steady;
  std::vector<SendNumber> ended;
  for (const auto& [number, send] : sends_) {
    if (KeyOf(*send.backend) != aKey) {
      continue;
    }
    ++crash.requests;
    crash.crash.version = send.backend->version;
    if (send.IsBroken()) {
      crash.crash.age =
        std::max(crash.crash.age, Duration(now - send.brokenAt));
      crash.openedAt = std::max(crash.openedAt, send.openedAt);
      ended.push_back(number);
    }
    std::ranges::copy(*send.traits, std::back_inserter(crash.crash.traits));
  }
  std::ranges::for_each(ended,
                        [this](SendNumber aNumber) { OnEnded(aNumber); });
  if (crash.requests > 0) {
    handlers_.onCrash(crash);
  }
}

void CrashDetector::OnRestarted(std::string_view aBackend,
                                std::uint64_t aStartedMs)
{
  std::set<BackendKey> crashed;
  for (const auto& [number, send] : sends_) {
    if (send.backend->id == aBackend && send.backend->startedMs != aStartedMs) {
      crashed.insert(KeyOf(*send.backend));
    }
  }
  for (const BackendKey& key : crashed) {
    ReportCrash(key, "restarted");
  }
}

void CrashDetector::OnRemoved(std::string_view aBackend)
{
  std::set<BackendKey> crashed;
  for (const auto& [number, send] : sends_) {
    if (send.backend->id == aBackend && send.IsBroken() &&
        send.liveness == Liveness::Silent) {
      crashed.insert(KeyOf(*send.backend));
    }
  }
  for (const BackendKey& key : crashed) {
    ReportCrash(key, "removed");
  }
}

void CrashDetector::Expire()
{
  const Instant now = Now().steady;
  std::erase_if(sends_, [&](const auto& aItem) {
    return aItem.second.IsBroken() &&
           now - aItem.second.brokenAt >= kConfirmationTime;
  });
}

} // namespace gypsum
