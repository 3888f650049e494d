#include "core/gateway/crash_evidence.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>

namespace gypsum {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
/** Bounds the time until a refused part is tried again to some days. */
constexpr unsigned kMaxDoublings = 8;

std::uint64_t HashOf(std::string_view aText, std::uint64_t aNumber)
{
  return Checksum(std::string(aText) + "\n" + std::to_string(aNumber));
}

/** Time until which a part is refused after its crashes. */
Instant RefusedUntil(std::span<const Instant> aCrashes)
{
  unsigned failedTries = 0;
  for (std::size_t index = 1; index < aCrashes.size(); ++index) {
    const bool wasTry =
      aCrashes[index] - aCrashes[index - 1] >= CrashEvidence::kMemory;
    failedTries += wasTry ? 1 : 0;
  }
  return aCrashes.back() +
         CrashEvidence::kMemory * (1U << std::min(failedTries, kMaxDoublings));
}

} // namespace

std::string PartName(std::string_view aId)
{
  return aId.size() <= kMaxNameBytes ? std::string(aId)
                                     : "#" + std::to_string(Checksum(aId));
}

std::string_view NameOf(PartState aState)
{
  constexpr std::array<std::string_view, 3> kNames{ "sound",
                                                    "suspect",
                                                    "refused" };
  return kNames[static_cast<std::size_t>(aState)];
}

bool CrashEvidence::AddCrash(const ServerCrash& aCrash, Instant aNow)
{
  const CrashKey key{ aCrash.backend, aCrash.startedMs };
  const auto found = crashes_.find(key);
  const bool isKnown = found != crashes_.end();
  if (aCrash.parts.empty()) {
    return false;
  }
  const Instant at = aNow - aCrash.age;
  Crash& crash = isKnown ? found->second : crashes_[key];
  crash.at = isKnown ? std::min(crash.at, at) : at;
  crash.version = aCrash.version;
  bool isNew = !isKnown;
  for (const SharedPart& part : aCrash.parts) {
    if (crash.positions.size() < kMaxPartsPerCrash) {
      isNew |= crash.positions.emplace(part.name, part.position).second;
    }
  }
  return isNew;
}

bool CrashEvidence::AddSurvival(const PartSurvival& aSurvival, Instant aNow)
{
  // A part that is sound has no crash to take back.
  return verdicts_.contains(aSurvival.part) &&
         survivals_
           .emplace(SurvivalKey{ aSurvival.gateway, aSurvival.number },
                    Survival{
                      aSurvival.part, aSurvival.version, aNow - aSurvival.age })
           .second;
}

bool CrashEvidence::Add(const CrashReport& aReport, Instant aNow)
{
  bool isNew = false;
  for (const ServerCrash& crash : aReport.crashes) {
    isNew |= AddCrash(crash, aNow);
  }
  if (isNew) {
    BoundMemory();
    Judge();
  }
  std::vector<PartSurvival> survivals = aReport.survivals;
  std::ranges::sort(survivals, std::ranges::greater{}, &PartSurvival::age);
  for (const PartSurvival& survival : survivals) {
    if (AddSurvival(survival, aNow)) {
      isNew = true;
      BoundMemory();
      Judge();
    }
  }
  return isNew;
}

void CrashEvidence::BoundMemory()
{
  while (crashes_.size() > kMaxCrashes) {
    crashes_.erase(
      std::ranges::min_element(crashes_, {}, [](const auto& aItem) {
        return std::pair(aItem.second.isExplained, aItem.second.at);
      }));
  }
  while (survivals_.size() > kMaxSurvivals) {
    survivals_.erase(std::ranges::min_element(
      survivals_, {}, [](const auto& aItem) { return aItem.second.at; }));
  }
}

void CrashEvidence::Expire(Instant aNow)
{
  if (crashes_.empty() && survivals_.empty()) {
    return;
  }
  const std::size_t before = crashes_.size();
  std::erase_if(crashes_, [&](const auto& aItem) {
    const Crash& crash = aItem.second;
    const bool isKept =
      std::ranges::any_of(crash.positions, [&](const auto& aPart) {
        const auto verdict = verdicts_.find(aPart.first);
        // After its time, a refused part is kept long enough to be tried.
        return verdict != verdicts_.end() &&
               verdict->second.state == PartState::Refused &&
               aNow < verdict->second.refusedUntil + kMemory;
      });
    return !isKept && aNow - crash.at >= kMemory;
  });
  std::erase_if(survivals_, [&](const auto& aItem) {
    const bool isNeeded =
      std::ranges::any_of(crashes_, [&](const auto& aCrash) {
        return aCrash.second.positions.contains(aItem.second.part);
      });
    return !isNeeded && aNow - aItem.second.at >= kMemory;
  });
  if (crashes_.size() != before) {
    Judge();
  }
}

void CrashEvidence::Score::OnCrash(const Crash& aCrash, std::uint32_t aPosition)
{
  position = aPosition;
  const bool counts =
    countedAt.empty() || aCrash.at - countedAt.back() >= kCrashSpacing;
  if (counts) {
    ++crashes;
    ++crashesByVersion[aCrash.version];
    countedAt.push_back(aCrash.at);
  }
}

void CrashEvidence::Score::OnSurvival(const Survival& aSurvival)
{
  survivedVersions.insert(aSurvival.version);
  const auto found = crashesByVersion.find(aSurvival.version);
  if (found == crashesByVersion.end()) {
    return;
  }
  --crashes;
  if (--found->second == 0) {
    crashesByVersion.erase(found);
  }
}

PartVerdict CrashEvidence::Score::ToVerdict(PartState aState) const
{
  PartVerdict verdict{
    aState, crashes,         countedAt.back(), RefusedUntil(countedAt),
    {},     survivedVersions
  };
  for (const auto& [version, count] : crashesByVersion) {
    verdict.crashedVersions.insert(version);
  }
  return verdict;
}

std::map<std::string, CrashEvidence::Score, std::less<>>
CrashEvidence::ScoreUnexplained() const
{
  struct Event
  {
    Instant at{};
    const Crash* crash = nullptr;
    const Survival* survival = nullptr; ///< One of the two is set.
  };
  std::map<std::string, std::vector<Event>, std::less<>> events;
  for (const auto& [key, crash] : crashes_) {
    if (crash.isExplained) {
      continue;
    }
    for (const auto& [part, position] : crash.positions) {
      events[part].push_back({ crash.at, &crash, nullptr });
    }
  }
  for (const auto& [key, survival] : survivals_) {
    const auto found = events.find(survival.part);
    if (found != events.end()) {
      found->second.push_back({ survival.at, nullptr, &survival });
    }
  }
  std::map<std::string, Score, std::less<>> scores;
  for (auto& [part, list] : events) {
    std::ranges::sort(list, {}, &Event::at);
    Score& score = scores[part];
    for (const Event& event : list) {
      if (event.crash) {
        score.OnCrash(*event.crash, event.crash->positions.find(part)->second);
      } else {
        score.OnSurvival(*event.survival);
      }
    }
  }
  return scores;
}

void CrashEvidence::Judge()
{
  verdicts_.clear();
  for (auto& [key, crash] : crashes_) {
    crash.isExplained = false;
  }
  for (;;) {
    const auto scores = ScoreUnexplained();
    const auto best =
      std::ranges::max_element(scores, {}, [](const auto& aItem) {
        // The first parts of prompts are common to many requests, so that the
        // later of two equal ones is the likelier cause.
        return std::pair(aItem.second.crashes, aItem.second.position);
      });
    const bool isRefused =
      best != scores.end() && best->second.crashes >= kCrashesToRefuse;
    for (const auto& [part, score] : scores) {
      if (score.crashes == 0 || (isRefused && part != best->first)) {
        continue;
      }
      verdicts_[part] =
        score.ToVerdict(isRefused ? PartState::Refused : PartState::Suspect);
    }
    if (!isRefused) {
      return;
    }
    for (auto& [key, crash] : crashes_) {
      crash.isExplained =
        crash.isExplained || crash.positions.contains(best->first);
    }
  }
}

PartState CrashEvidence::StateOf(std::string_view aPart,
                                 std::string_view aVersion,
                                 Instant aNow) const
{
  const auto found = verdicts_.find(aPart);
  if (found == verdicts_.end()) {
    return PartState::Sound;
  }
  const PartVerdict& verdict = found->second;
  if (verdict.state == PartState::Suspect || aNow >= verdict.refusedUntil) {
    return PartState::Suspect;
  }
  if (verdict.crashedVersions.contains(aVersion) ||
      verdict.crashedVersions.size() >= kMaxCrashedVersions) {
    return PartState::Refused;
  }
  return verdict.survivedVersions.contains(aVersion) ? PartState::Sound
                                                     : PartState::Suspect;
}

CrashReport CrashEvidence::Report(Instant aNow) const
{
  CrashReport report;
  for (const auto& [key, crash] : crashes_) {
    ServerCrash copy{
      key.first, key.second, crash.version, aNow - crash.at, {}
    };
    for (const auto& [part, position] : crash.positions) {
      copy.parts.push_back({ part, position });
    }
    report.crashes.push_back(std::move(copy));
  }
  for (const auto& [key, survival] : survivals_) {
    report.survivals.push_back({ survival.part,
                                 survival.version,
                                 key.first,
                                 key.second,
                                 aNow - survival.at });
  }
  return report;
}

std::uint64_t CrashEvidence::Digest() const
{
  std::uint64_t digest = 0;
  for (const auto& [part, verdict] : verdicts_) {
    digest ^= HashOf(part, verdict.crashes);
  }
  return digest;
}

} // namespace gypsum
