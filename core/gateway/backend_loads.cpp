#include "core/gateway/backend_loads.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsum {

namespace {

/** Weight of one sample; the estimate averages over about five. */
constexpr double kLatencyRatioWeight = 0.2;
/** Weight of one outcome in the share of failed sends. */
constexpr double kFailureWeight = 0.15;
/** Without samples, an estimate moves halfway to its baseline in this time. */
constexpr Duration kHalfLife = std::chrono::milliseconds(2'500);
/** Bounds of one sample: a single stall does not measure a server's speed. */
constexpr double kMaxLatencyRatio = 12.0;
constexpr double kMinLatencyRatio = 0.25;

double Decayed(double aValue, double aBaseline, Instant aAt, Instant aNow)
{
  const double halfLives = static_cast<double>((aNow - aAt).count()) /
                           static_cast<double>(kHalfLife.count());
  return aBaseline +
         (aValue - aBaseline) * std::exp2(-std::max(0.0, halfLives));
}

} // namespace

BackendLoads::LocalLoad& BackendLoads::LocalLoadOf(std::string_view aId)
{
  const auto found = localLoads_.find(aId);
  return found != localLoads_.end() ? found->second
                                    : localLoads_[std::string(aId)];
}

void BackendLoads::OnSent(std::string_view aId,
                          std::uint64_t aTokens,
                          Duration aExpected,
                          Instant aNow)
{
  LocalLoad& local = LocalLoadOf(aId);
  if (local.running == 0) {
    local.lastActivityAt = aNow;
    local.maxExpectedTime = Duration{};
  }
  ++local.running;
  local.pendingPromptTokens += aTokens;
  local.maxExpectedTime = std::max(local.maxExpectedTime, aExpected);
}

void BackendLoads::OnDataReceived(std::string_view aId, Instant aNow)
{
  LocalLoad& local = LocalLoadOf(aId);
  local.lastActivityAt = aNow;
}

bool BackendLoads::LocalLoad::IsUnresponsive(Instant aNow) const
{
  return running > 0 &&
         aNow - lastActivityAt > kUnresponsiveMargin + maxExpectedTime * 2;
}

void BackendLoads::OnFirstPart(std::string_view aId,
                               std::uint64_t aTokens,
                               Duration aExpected,
                               Duration aActual,
                               Instant aNow)
{
  LocalLoad& local = LocalLoadOf(aId);
  local.lastActivityAt = aNow;
  local.pendingPromptTokens -= std::min(local.pendingPromptTokens, aTokens);
  if (aExpected.count() <= 0) {
    return;
  }
  const double ratio = std::clamp(static_cast<double>(aActual.count()) /
                                    static_cast<double>(aExpected.count()),
                                  kMinLatencyRatio,
                                  kMaxLatencyRatio);
  const double before =
    Decayed(local.latencyRatio, 1.0, local.latencyRatioAt, aNow);
  local.latencyRatio = before + kLatencyRatioWeight * (ratio - before);
  local.latencyRatioAt = aNow;
}

void BackendLoads::OnEnded(std::string_view aId,
                           std::uint64_t aPendingTokens,
                           SendOutcome aOutcome,
                           Instant aNow)
{
  LocalLoad& local = LocalLoadOf(aId);
  local.running -= std::min(local.running, 1U);
  local.pendingPromptTokens -=
    std::min(local.pendingPromptTokens, aPendingTokens);
  if (aOutcome == SendOutcome::Abandoned) {
    return;
  }
  const double before = Decayed(local.failures, 0.0, local.failuresAt, aNow);
  const double sample = aOutcome == SendOutcome::Served ? 0.0 : 1.0;
  local.failures = before + kFailureWeight * (sample - before);
  local.failuresAt = aNow;
  if (aOutcome == SendOutcome::Served) {
    local.backoff = Duration{};
    local.suspectUntil = aNow;
  }
  if (aOutcome == SendOutcome::Endless) {
    // An avoidance that ended long ago says little of the next one.
    const bool isRepeated = aNow < local.avoidedUntil + kMaxAvoidance;
    local.avoidance = isRepeated && local.avoidance.count() > 0
                        ? std::min(local.avoidance * 2, kMaxAvoidance)
                        : kInitialAvoidance;
    local.avoidedUntil = aNow + local.avoidance;
  }
  if (aOutcome == SendOutcome::Unreachable) {
    local.backoff = local.backoff.count() == 0
                      ? kInitialBackoff
                      : std::min(local.backoff * 2, kMaxBackoff);
    local.suspectUntil = aNow + local.backoff;
  }
}

void BackendLoads::OnPeerReport(std::string_view aPeer,
                                std::vector<BackendLoad> aLoads,
                                Instant aNow)
{
  RemovePeer(aPeer);
  if (aLoads.empty()) {
    return;
  }
  std::vector<std::string>& servers = reported_[std::string(aPeer)];
  for (BackendLoad& load : aLoads) {
    servers.push_back(load.id);
    PeerLoads& loads = peerLoads_[load.id];
    loads.insert_or_assign(std::string(aPeer),
                           PeerLoad{ std::move(load), aNow });
  }
}

void BackendLoads::OnPeerPromptSent(std::string_view aId,
                                    std::uint64_t aTokens,
                                    Instant aNow)
{
  auto found = peerPromptsDoneAt_.find(aId);
  if (found == peerPromptsDoneAt_.end()) {
    found = peerPromptsDoneAt_.emplace(std::string(aId), aNow).first;
  }
  const double ms = static_cast<double>(aTokens) / kPromptTokensPerMs;
  found->second = std::max(found->second, aNow) +
                  Duration(static_cast<std::int64_t>(ms * 1'000.0));
}

void BackendLoads::RemovePeer(std::string_view aPeer)
{
  const auto reported = reported_.find(aPeer);
  if (reported == reported_.end()) {
    return;
  }
  for (const std::string& server : reported->second) {
    const auto loads = peerLoads_.find(server);
    if (loads == peerLoads_.end()) {
      continue;
    }
    const auto load = loads->second.find(aPeer);
    if (load != loads->second.end()) {
      loads->second.erase(load);
    }
    if (loads->second.empty()) {
      peerLoads_.erase(loads);
    }
  }
  reported_.erase(reported);
}

LoadEstimate BackendLoads::Estimate(std::string_view aId, Instant aNow) const
{
  LoadEstimate estimate;
  const auto found = localLoads_.find(aId);
  if (found != localLoads_.end()) {
    const LocalLoad& local = found->second;
    estimate.running = local.running;
    estimate.pendingPromptTokens =
      static_cast<double>(local.pendingPromptTokens);
    estimate.latencyRatio =
      Decayed(local.latencyRatio, 1.0, local.latencyRatioAt, aNow);
    estimate.failures = Decayed(local.failures, 0.0, local.failuresAt, aNow);
    estimate.isSuspect = aNow < local.suspectUntil || local.IsToAvoid(aNow);
  }
  const auto tokensIn = [](Duration aTime) {
    return std::chrono::duration<double, std::milli>(aTime).count() *
           kPromptTokensPerMs;
  };
  double reported = 0.0;
  static const PeerLoads kNone;
  const auto loads = peerLoads_.find(aId);
  for (const auto& [peer, report] :
       loads == peerLoads_.end() ? kNone : loads->second) {
    ++peerLoadsVisited_;
    if (aNow - report.at > kPeerReportMaxAge) {
      continue;
    }
    estimate.isSuspect = estimate.isSuspect || report.load.isUnresponsive;
    estimate.running += report.load.running;
    // The replica has gone on processing prompts since the report.
    reported += std::max(0.0,
                         static_cast<double>(report.load.pendingPromptTokens) -
                           tokensIn(aNow - report.at));
  }
  const auto doneAt = peerPromptsDoneAt_.find(aId);
  const double announced =
    doneAt == peerPromptsDoneAt_.end() || doneAt->second <= aNow
      ? 0.0
      : tokensIn(doneAt->second - aNow);
  // Reports and announcements cover the same prompts, and either message may
  // be lost.
  estimate.pendingPromptTokens += std::max(reported, announced);
  return estimate;
}

std::vector<BackendLoad> BackendLoads::OwnLoads(Instant aNow) const
{
  std::vector<BackendLoad> loads;
  for (const auto& [id, local] : localLoads_) {
    if (local.running > 0 || local.IsToAvoid(aNow)) {
      loads.push_back({ id,
                        local.running,
                        local.pendingPromptTokens,
                        local.IsToAvoid(aNow) });
    }
  }
  return loads;
}

} // namespace gypsum
