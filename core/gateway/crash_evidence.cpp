#include "core/gateway/crash_evidence.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>
#include <optional>
#include <tuple>

namespace gypsum {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
/** Bounds the time until a refused trait is tried again to some days. */
constexpr unsigned kMaxDoublings = 8;

std::uint64_t HashOf(std::string_view aText, std::uint64_t aNumber)
{
  return Checksum(std::string(aText) + "\n" + std::to_string(aNumber));
}

/** Time until which a trait is refused after its crashes. */
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

std::string NameOfPart(std::string_view aId)
{
  return aId.size() <= kMaxNameBytes ? std::string(aId)
                                     : "#" + std::to_string(Checksum(aId));
}

std::string_view NameOf(TraitState aState)
{
  constexpr std::array<std::string_view, 3> kNames{ "sound",
                                                    "suspect",
                                                    "refused" };
  return kNames[static_cast<std::size_t>(aState)];
}

std::uint32_t CrashEvidence::RestartsBefore(std::string_view aBackend,
                                            std::uint64_t aStartedMs,
                                            Instant aOpenedAt) const
{
  std::uint32_t restarts = 0;
  for (const auto& [key, crash] : crashes_) {
    const auto& [backend, startedMs, before] = key;
    if (backend == aBackend && startedMs == aStartedMs &&
        crash.at < aOpenedAt && !crash.wasSilent) {
      restarts = std::max(restarts, before + 1);
    }
  }
  return restarts;
}

bool CrashEvidence::AddCrash(const ServerCrash& aCrash, Instant aNow)
{
  const CrashKey key{ aCrash.backend,
                      aCrash.startedMs,
                      aCrash.unlistedRestarts };
  const auto found = crashes_.find(key);
  const bool isKnown = found != crashes_.end();
  if (aCrash.traits.empty()) {
    return false;
  }
  const Instant at = aNow - aCrash.age;
  Crash& crash = isKnown ? found->second : crashes_[key];
  // What reached a server that had long fallen silent did not end it.
  const bool isSilence = isKnown && crash.wasSilent && aCrash.wasSilent;
  const bool isTooLate = isSilence && at >= crash.at + kCrashSpacing;
  if (isSilence && crash.at >= at + kCrashSpacing) {
    crash.positions.clear();
  }
  crash.at = isKnown ? std::min(crash.at, at) : at;
  crash.version = aCrash.version;
  const bool isFirstProof = !isKnown || crash.proof < aCrash.proof;
  bool isNew = isFirstProof;
  if (aCrash.proof == EndProof::Confirmed) {
    // A gateway that remembers longer knows better.
    const bool isLifted = crash.isFleetNew && !aCrash.isFleetNew;
    isNew |= isLifted;
    crash.isFleetNew = aCrash.isFleetNew && (isFirstProof || crash.isFleetNew);
  }
  crash.proof = std::max(isKnown ? crash.proof : aCrash.proof, aCrash.proof);
  crash.wasSilent |= aCrash.wasSilent;
  for (const RequestTrait& trait : aCrash.traits) {
    if (!isTooLate && crash.positions.size() < kMaxTraitsPerCrash) {
      isNew |= crash.positions.emplace(trait.name, trait.position).second;
    }
  }
  return isNew;
}

bool CrashEvidence::AddSurvival(const TraitSurvival& aSurvival, Instant aNow)
{
  // A trait that is sound has no crash to take back.
  return verdicts_.contains(aSurvival.trait) &&
         survivals_
           .emplace(SurvivalKey{ aSurvival.gateway, aSurvival.number },
                    Survival{ aSurvival.trait,
                              aSurvival.version,
                              aNow - aSurvival.age })
           .second;
}

bool CrashEvidence::AddLife(const ServerLife& aLife, Instant aNow)
{
  const Instant at = aNow - aLife.age;
  return std::erase_if(crashes_, [&](const auto& aItem) {
           const auto& [backend, startedMs, before] = aItem.first;
           return aItem.second.proof == EndProof::Suspected &&
                  backend == aLife.backend && startedMs == aLife.startedMs &&
                  aItem.second.at < at;
         }) > 0;
}

bool CrashEvidence::IsSettledBy(std::string_view aBackend,
                                std::uint64_t aStartedMs,
                                Instant aOpenedAt,
                                Instant aNow) const
{
  return std::ranges::any_of(crashes_, [&](const auto& aItem) {
    const auto& [backend, startedMs, before] = aItem.first;
    const Crash& crash = aItem.second;
    // A connection that was opened later may lead to a restarted process.
    return crash.proof == EndProof::Suspected && backend == aBackend &&
           startedMs == aStartedMs && aOpenedAt <= crash.at && crash.at < aNow;
  });
}

bool CrashEvidence::Add(const CrashReport& aReport, Instant aNow)
{
  bool isNew = false;
  for (const ServerLife& life : aReport.lives) {
    isNew |= AddLife(life, aNow);
  }
  for (const ServerCrash& crash : aReport.crashes) {
    isNew |= AddCrash(crash, aNow);
  }
  if (isNew) {
    formerVerdicts_ = verdicts_;
    BoundMemory();
    Judge();
  }
  std::vector<TraitSurvival> survivals = aReport.survivals;
  std::ranges::sort(survivals, std::ranges::greater{}, &TraitSurvival::age);
  for (const TraitSurvival& survival : survivals) {
    if (AddSurvival(survival, aNow)) {
      if (!std::exchange(isNew, true)) {
        formerVerdicts_ = verdicts_;
      }
      BoundMemory();
      Judge();
    }
  }
  return isNew;
}

std::size_t CrashEvidence::CountTraits() const
{
  return std::accumulate(crashes_.begin(),
                         crashes_.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aItem) {
                           return aSum + aItem.second.positions.size();
                         });
}

void CrashEvidence::BoundMemory()
{
  std::size_t traits = CountTraits();
  while (crashes_.size() > kMaxCrashes || traits > kMaxTraits) {
    const auto oldest =
      std::ranges::min_element(crashes_, {}, [](const auto& aItem) {
        const Crash& crash = aItem.second;
        return std::tuple(
          crash.proof == EndProof::Confirmed, crash.isExplained, crash.at);
      });
    traits -= oldest->second.positions.size();
    crashes_.erase(oldest);
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
    if (crash.proof == EndProof::Suspected) {
      return aNow - crash.at >= kSuspicionMemory;
    }
    const bool isKept =
      std::ranges::any_of(crash.positions, [&](const auto& aTrait) {
        const auto verdict = verdicts_.find(aTrait.first);
        // After its time, a refused trait is kept long enough to be tried.
        return verdict != verdicts_.end() &&
               verdict->second.state == TraitState::Refused &&
               aNow < verdict->second.refusedUntil + kMemory;
      });
    return !isKept && aNow - crash.at >= kMemory;
  });
  std::erase_if(survivals_, [&](const auto& aItem) {
    const bool isNeeded =
      std::ranges::any_of(crashes_, [&](const auto& aCrash) {
        return aCrash.second.positions.contains(aItem.second.trait);
      });
    return !isNeeded && aNow - aItem.second.at >= kMemory;
  });
  if (crashes_.size() != before) {
    Judge();
  }
}

bool CrashEvidence::IsSingle(const Crash& aCrash) const
{
  return std::ranges::count_if(crashes_, [&](const auto& aItem) {
           const Crash& other = aItem.second;
           return other.proof == EndProof::Confirmed &&
                  other.at > aCrash.at - kCrashSpacing &&
                  other.at < aCrash.at + kCrashSpacing;
         }) <= kMostSingleCrashes;
}

void CrashEvidence::Score::OnCrash(const Crash& aCrash,
                                   std::uint32_t aPosition,
                                   bool aIsSingle)
{
  position = aPosition;
  const bool counts =
    countedAt.empty() || aCrash.at - countedAt.back() >= kCrashSpacing;
  if (counts) {
    countedAt.push_back(aCrash.at);
    counted.push_back({ aCrash.version, aCrash.proof, 1 });
  } else if (!counted.empty()) {
    counted.back().proof = std::max(counted.back().proof, aCrash.proof);
  }
  if (aCrash.isFleetNew && aIsSingle && aCrash.proof == EndProof::Confirmed &&
      !counted.empty()) {
    counted.back().weight = kCrashesToRefuse - 1;
    heldUntil = aCrash.at + kNewFleetHold;
  }
}

void CrashEvidence::Score::OnSurvival(const Survival& aSurvival)
{
  survivedVersions.insert(aSurvival.version);
  const auto last = std::ranges::find(counted.rbegin(),
                                      counted.rend(),
                                      aSurvival.version,
                                      &CountedCrash::version);
  if (last != counted.rend()) {
    counted.erase(std::next(last).base());
    heldUntil = Instant{};
  }
}

std::size_t CrashEvidence::Score::Count(EndProof aProof) const
{
  return std::accumulate(counted.begin(),
                         counted.end(),
                         std::size_t{ 0 },
                         [&](std::size_t aSum, const CountedCrash& aCrash) {
                           return aSum +
                                  (aCrash.proof == aProof ? aCrash.weight : 0);
                         });
}

TraitVerdict CrashEvidence::Score::ToVerdict(TraitState aState) const
{
  TraitVerdict verdict;
  verdict.state = aState;
  verdict.crashes = Count(EndProof::Confirmed);
  verdict.silences = Count(EndProof::Suspected);
  verdict.lastCrashAt = countedAt.back();
  verdict.heldUntil = heldUntil;
  verdict.refusedUntil = RefusedUntil(countedAt);
  verdict.survivedVersions = survivedVersions;
  for (const CountedCrash& crash : counted) {
    verdict.crashedVersions.insert(crash.version);
  }
  return verdict;
}

bool TraitVerdict::MustAwaitProof() const
{
  return silences > 0 && crashes + silences >= CrashEvidence::kCrashesToRefuse;
}

std::map<std::string_view, CrashEvidence::Score>
CrashEvidence::ScoreUnexplained() const
{
  struct Event
  {
    Instant at{};
    const Crash* crash = nullptr;
    const Survival* survival = nullptr; ///< One of the two is set.
    std::uint32_t position = 0;         ///< Of a crash.
    bool isSingle = false;              ///< The same.
  };
  std::map<std::string_view, std::vector<Event>> events;
  for (const auto& [key, crash] : crashes_) {
    if (crash.isExplained) {
      continue;
    }
    // It looks at all other crashes, and counts in a new fleet only.
    const bool isSingle = crash.isFleetNew && IsSingle(crash);
    for (const auto& [trait, position] : crash.positions) {
      events[trait].push_back(
        { crash.at, &crash, nullptr, position, isSingle });
    }
  }
  for (const auto& [key, survival] : survivals_) {
    const auto found = events.find(survival.trait);
    if (found != events.end()) {
      found->second.push_back({ survival.at, nullptr, &survival, 0, false });
    }
  }
  std::map<std::string_view, Score> scores;
  for (auto& [trait, list] : events) {
    std::ranges::sort(list, {}, &Event::at);
    Score& score = scores[trait];
    for (const Event& event : list) {
      if (event.crash) {
        score.OnCrash(*event.crash, event.position, event.isSingle);
      } else {
        score.OnSurvival(*event.survival);
      }
    }
  }
  return scores;
}

void CrashEvidence::Judge()
{
  ++judgements_;
  verdicts_.clear();
  for (auto& [key, crash] : crashes_) {
    crash.isExplained = false;
  }
  for (;;) {
    const auto scores = ScoreUnexplained();
    const auto best =
      std::ranges::max_element(scores, {}, [](const auto& aItem) {
        // The first traits of prompts are common to many requests, so that the
        // later of two equal ones is the likelier cause.
        return std::pair(aItem.second.Count(EndProof::Confirmed),
                         aItem.second.position);
      });
    const bool isRefused =
      best != scores.end() &&
      best->second.Count(EndProof::Confirmed) >= kCrashesToRefuse;
    for (const auto& [trait, score] : scores) {
      if (score.counted.empty() || (isRefused && trait != best->first)) {
        continue;
      }
      verdicts_[std::string(trait)] =
        score.ToVerdict(isRefused ? TraitState::Refused : TraitState::Suspect);
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

TraitState CrashEvidence::StateOf(std::string_view aTrait,
                                  std::string_view aVersion,
                                  Instant aNow) const
{
  const auto found = verdicts_.find(aTrait);
  if (found == verdicts_.end()) {
    return TraitState::Sound;
  }
  const TraitVerdict& verdict = found->second;
  if (aNow < verdict.heldUntil) {
    return TraitState::Refused;
  }
  if (verdict.state == TraitState::Suspect || aNow >= verdict.refusedUntil) {
    return TraitState::Suspect;
  }
  if (verdict.crashedVersions.contains(aVersion) ||
      verdict.crashedVersions.size() >= kMaxCrashedVersions) {
    return TraitState::Refused;
  }
  return verdict.survivedVersions.contains(aVersion) ? TraitState::Sound
                                                     : TraitState::Suspect;
}

CrashReport CrashEvidence::Report(Instant aNow) const
{
  CrashReport report;
  for (const auto& [key, crash] : crashes_) {
    ServerCrash copy;
    std::tie(copy.backend, copy.startedMs, copy.unlistedRestarts) = key;
    copy.version = crash.version;
    copy.age = aNow - crash.at;
    copy.proof = crash.proof;
    copy.wasSilent = crash.wasSilent;
    copy.isFleetNew = crash.isFleetNew;
    for (const auto& [trait, position] : crash.positions) {
      copy.traits.push_back({ trait, position });
    }
    report.crashes.push_back(std::move(copy));
  }
  for (const auto& [key, survival] : survivals_) {
    report.survivals.push_back({ survival.trait,
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
  for (const auto& [trait, verdict] : verdicts_) {
    // Suspicions come and go, and are told at once.
    if (verdict.crashes > 0) {
      digest ^= HashOf(trait, verdict.crashes);
    }
  }
  return digest;
}

} // namespace gypsum
