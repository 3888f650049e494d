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

void BackendLoads::DropReport(const std::string& aPeer,
                              std::vector<PeerLoads*>& aServers)
{
  for (PeerLoads* const loads : aServers) {
    std::erase_if(*loads,
                  [&](const PeerLoad& aLoad) { return aLoad.peer == &aPeer; });
  }
  aServers.clear();
}

void BackendLoads::OnPeerReport(std::string_view aPeer,
                                std::span<const BackendLoad> aLoads,
                                Instant aNow)
{
  auto found = reported_.find(aPeer);
  if (found == reported_.end()) {
    found = reported_.try_emplace(std::string(aPeer)).first;
  }
  auto& [peer, servers] = *found;
  DropReport(peer, servers);
  for (const BackendLoad& load : aLoads) {
    PeerLoads& loads = peerLoads_[load.id];
    const bool isNamedTwice = !loads.empty() && loads.back().peer == &peer;
    if (isNamedTwice) {
      continue;
    }
    loads.push_back({ &peer,
                      load.running,
                      load.pendingPromptTokens,
                      load.isUnresponsive,
                      aNow });
    servers.push_back(&loads);
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
  const auto found = reported_.find(aPeer);
  if (found != reported_.end()) {
    DropReport(found->first, found->second);
    reported_.erase(found);
  }
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
  const auto loads = peerLoads_.find(aId);
  const std::span<const PeerLoad> ofPeers =
    loads == peerLoads_.end() ? std::span<const PeerLoad>{}
                              : std::span<const PeerLoad>(loads->second);
  for (const PeerLoad& load : ofPeers) {
    ++peerLoadsVisited_;
    if (aNow - load.at > kPeerReportMaxAge) {
      continue;
    }
    estimate.isSuspect = estimate.isSuspect || load.isUnresponsive;
    estimate.running += load.running;
    // The replica has gone on processing prompts since the report.
    reported += std::max(0.0,
                         static_cast<double>(load.pendingPromptTokens) -
                           tokensIn(aNow - load.at));
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
