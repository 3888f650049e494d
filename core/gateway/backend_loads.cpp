#include "core/gateway/backend_loads.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsum {

namespace {

/** Weight of one sample of slowness; about five samples make a belief. */
constexpr double kSlownessWeight = 0.2;
/** Weight of one outcome in the share of failures. */
constexpr double kFailureWeight = 0.15;
/** Beliefs lose half of their strength in this time without a sample. */
constexpr Duration kHalfLife = std::chrono::milliseconds(2'500);
/** One sample may not say more than this: a stall is no speed. */
constexpr double kMostRatio = 12.0;
constexpr double kLeastRatio = 0.25;

double Faded(double aValue, double aRest, Instant aAt, Instant aNow)
{
  const double lives = static_cast<double>((aNow - aAt).count()) /
                       static_cast<double>(kHalfLife.count());
  return aRest + (aValue - aRest) * std::exp2(-std::max(0.0, lives));
}

} // namespace

BackendLoads::Own& BackendLoads::OwnOf(std::string_view aId)
{
  const auto found = own_.find(aId);
  return found != own_.end() ? found->second : own_[std::string(aId)];
}

void BackendLoads::OnSent(std::string_view aId,
                          std::uint64_t aTokens,
                          Duration aExpected,
                          Instant aNow)
{
  Own& own = OwnOf(aId);
  if (own.running == 0) {
    own.quietSince = aNow;
    own.owed = Duration{};
  }
  ++own.running;
  own.pendingPromptTokens += aTokens;
  own.owed = std::max(own.owed, aExpected);
}

void BackendLoads::OnDataReceived(std::string_view aId, Instant aNow)
{
  Own& own = OwnOf(aId);
  own.quietSince = aNow;
}

bool BackendLoads::Own::IsSilent(Instant aNow) const
{
  return running > 0 && aNow - quietSince > kSilence + owed * 2;
}

void BackendLoads::OnFirstPart(std::string_view aId,
                               std::uint64_t aTokens,
                               Duration aExpected,
                               Duration aActual,
                               Instant aNow)
{
  Own& own = OwnOf(aId);
  own.quietSince = aNow;
  own.pendingPromptTokens -= std::min(own.pendingPromptTokens, aTokens);
  if (aExpected.count() <= 0) {
    return;
  }
  const double ratio = std::clamp(static_cast<double>(aActual.count()) /
                                    static_cast<double>(aExpected.count()),
                                  kLeastRatio,
                                  kMostRatio);
  const double before = Faded(own.latencyRatio, 1.0, own.slownessAt, aNow);
  own.latencyRatio = before + kSlownessWeight * (ratio - before);
  own.slownessAt = aNow;
}

void BackendLoads::OnEnded(std::string_view aId,
                           std::uint64_t aUnread,
                           SendOutcome aVerdict,
                           Instant aNow)
{
  Own& own = OwnOf(aId);
  own.running -= std::min(own.running, 1U);
  own.pendingPromptTokens -= std::min(own.pendingPromptTokens, aUnread);
  if (aVerdict == SendOutcome::Abandoned) {
    return;
  }
  const double before = Faded(own.failures, 0.0, own.failuresAt, aNow);
  const double sample = aVerdict == SendOutcome::Served ? 0.0 : 1.0;
  own.failures = before + kFailureWeight * (sample - before);
  own.failuresAt = aNow;
  if (aVerdict == SendOutcome::Served) {
    own.pause = Duration{};
    own.suspectUntil = aNow;
  }
  if (aVerdict == SendOutcome::Unreachable) {
    own.pause = own.pause.count() == 0 ? kFirstPause
                                       : std::min(own.pause * 2, kLongestPause);
    own.suspectUntil = aNow + own.pause;
  }
}

void BackendLoads::OnPeerReport(std::string_view aPeer,
                                std::vector<BackendLoad> aLoads,
                                Instant aNow)
{
  PeerReport& report = peers_[std::string(aPeer)];
  report.at = aNow;
  report.loads.clear();
  for (BackendLoad& load : aLoads) {
    std::string id = load.id;
    report.loads.emplace(std::move(id), std::move(load));
  }
}

void BackendLoads::OnPeerPromptSent(std::string_view aId,
                                    std::uint64_t aTokens,
                                    Instant aNow)
{
  auto found = peersReadBy_.find(aId);
  if (found == peersReadBy_.end()) {
    found = peersReadBy_.emplace(std::string(aId), aNow).first;
  }
  const double ms = static_cast<double>(aTokens) / kPromptTokensPerMs;
  found->second = std::max(found->second, aNow) +
                  Duration(static_cast<std::int64_t>(ms * 1'000.0));
}

void BackendLoads::RemovePeer(std::string_view aPeer)
{
  const auto found = peers_.find(aPeer);
  if (found != peers_.end()) {
    peers_.erase(found);
  }
}

LoadEstimate BackendLoads::Estimate(std::string_view aId, Instant aNow) const
{
  LoadEstimate estimate;
  const auto found = own_.find(aId);
  if (found != own_.end()) {
    const Own& own = found->second;
    estimate.running = own.running;
    estimate.pendingPromptTokens = static_cast<double>(own.pendingPromptTokens);
    estimate.latencyRatio = Faded(own.latencyRatio, 1.0, own.slownessAt, aNow);
    estimate.failures = Faded(own.failures, 0.0, own.failuresAt, aNow);
    estimate.isSuspect = aNow < own.suspectUntil || own.IsSilent(aNow);
  }
  const auto tokensIn = [](Duration aTime) {
    return std::chrono::duration<double, std::milli>(aTime).count() *
           kPromptTokensPerMs;
  };
  double reported = 0.0;
  for (const auto& [name, report] : peers_) {
    if (aNow - report.at > kPeerReportLife) {
      continue;
    }
    const auto load = report.loads.find(aId);
    if (load != report.loads.end()) {
      estimate.isSuspect = estimate.isSuspect || load->second.isUnresponsive;
      estimate.running += load->second.running;
      // The replica has read on since the report.
      reported +=
        std::max(0.0,
                 static_cast<double>(load->second.pendingPromptTokens) -
                   tokensIn(aNow - report.at));
    }
  }
  const auto readBy = peersReadBy_.find(aId);
  const double told = readBy == peersReadBy_.end() || readBy->second <= aNow
                        ? 0.0
                        : tokensIn(readBy->second - aNow);
  // Both speak of the same prompts; either may be lost.
  estimate.pendingPromptTokens += std::max(reported, told);
  return estimate;
}

std::vector<BackendLoad> BackendLoads::OwnLoads(Instant aNow) const
{
  std::vector<BackendLoad> loads;
  for (const auto& [id, own] : own_) {
    if (own.running > 0) {
      loads.push_back(
        { id, own.running, own.pendingPromptTokens, own.IsSilent(aNow) });
    }
  }
  return loads;
}

void BackendLoads::Retain(std::span<const std::string_view> aIds)
{
  std::erase_if(own_, [&](const auto& aItem) {
    return aItem.second.running == 0 &&
           std::ranges::find(aIds, aItem.first) == aIds.end();
  });
  std::erase_if(peersReadBy_, [&](const auto& aItem) {
    return std::ranges::find(aIds, aItem.first) == aIds.end();
  });
}

} // namespace gypsum
