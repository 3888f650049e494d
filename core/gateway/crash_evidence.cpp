#include "core/gateway/crash_evidence.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <numeric>
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

CrashEvidence::CrashRange CrashEvidence::CrashesOf(
  std::string_view aBackend,
  std::uint64_t aStartedMs) const
{
  const auto at = [&](std::uint32_t aRestarts) {
    return CrashKey{ std::string(aBackend), aStartedMs, aRestarts };
  };
  return { crashes_.lower_bound(at(0)),
           crashes_.upper_bound(
             at(std::numeric_limits<std::uint32_t>::max())) };
}

std::uint32_t CrashEvidence::RestartsBefore(std::string_view aBackend,
                                            std::uint64_t aStartedMs,
                                            Instant aOpenedAt) const
{
  std::uint32_t restarts = 0;
  const CrashRange crashes = CrashesOf(aBackend, aStartedMs);
  std::for_each(crashes.first, crashes.second, [&](const auto& aItem) {
    const auto& [key, crash] = aItem;
    if (crash.at < aOpenedAt && !crash.wasSilent) {
      restarts = std::max(restarts, std::get<std::uint32_t>(key) + 1);
    }
  });
  return restarts;
}

void CrashEvidence::Link(const std::string& aTrait, const Crash& aCrash)
{
  traits_[aTrait].crashes.emplace_back(&aCrash,
                                       aCrash.positions.find(aTrait)->second);
  ++linkedTraits_;
}

void CrashEvidence::Unlink(Crash& aCrash, TouchedTraits& aTouched)
{
  for (const auto& [trait, position] : aCrash.positions) {
    aTouched.insert(trait);
    const auto events = traits_.find(trait);
    std::erase_if(events->second.crashes,
                  [&](const auto& aItem) { return aItem.first == &aCrash; });
    if (events->second.crashes.empty() && events->second.survivals.empty()) {
      traits_.erase(events);
    }
  }
  linkedTraits_ -= aCrash.positions.size();
  aCrash.positions.clear();
}

CrashEvidence::Crashes::iterator CrashEvidence::Erase(Crashes::iterator aCrash,
                                                      TouchedTraits& aTouched)
{
  Unlink(aCrash->second, aTouched);
  return crashes_.erase(aCrash);
}

bool CrashEvidence::AddCrash(const ServerCrash& aCrash,
                             Instant aNow,
                             TouchedTraits& aTouched)
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
    Unlink(crash, aTouched);
  }
  const Instant former = crash.at;
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
    const bool isLinked =
      !isTooLate && crash.positions.size() < kMaxTraitsPerCrash &&
      crash.positions.emplace(trait.name, trait.position).second;
    if (isLinked) {
      Link(trait.name, crash);
      isNew = true;
    }
  }
  if (isNew || crash.at != former) {
    std::ranges::transform(crash.positions,
                           std::inserter(aTouched, aTouched.end()),
                           [](const auto& aItem) { return aItem.first; });
  }
  return isNew;
}

bool CrashEvidence::AddSurvival(const TraitSurvival& aSurvival, Instant aNow)
{
  // A trait that is sound has no crash to take back.
  if (!verdicts_.contains(aSurvival.trait)) {
    return false;
  }
  const auto [added, isNew] = survivals_.emplace(
    SurvivalKey{ aSurvival.gateway, aSurvival.number },
    Survival{ aSurvival.trait, aSurvival.version, aNow - aSurvival.age });
  if (isNew) {
    traits_[aSurvival.trait].survivals.push_back(&added->second);
  }
  return isNew;
}

bool CrashEvidence::AddLife(const ServerLife& aLife,
                            Instant aNow,
                            TouchedTraits& aTouched)
{
  const Instant at = aNow - aLife.age;
  std::vector<CrashKey> settled;
  const CrashRange crashes = CrashesOf(aLife.backend, aLife.startedMs);
  std::for_each(crashes.first, crashes.second, [&](const auto& aItem) {
    const auto& [key, crash] = aItem;
    if (crash.proof == EndProof::Suspected && crash.at < at) {
      settled.push_back(key);
    }
  });
  for (const CrashKey& key : settled) {
    Erase(crashes_.find(key), aTouched);
  }
  return !settled.empty();
}

bool CrashEvidence::IsSettledBy(std::string_view aBackend,
                                std::uint64_t aStartedMs,
                                Instant aOpenedAt,
                                Instant aNow) const
{
  const CrashRange crashes = CrashesOf(aBackend, aStartedMs);
  return std::any_of(crashes.first, crashes.second, [&](const auto& aItem) {
    const Crash& crash = aItem.second;
    // A connection that was opened later may lead to a restarted process.
    return crash.proof == EndProof::Suspected && aOpenedAt <= crash.at &&
           crash.at < aNow;
  });
}

bool CrashEvidence::Add(const CrashReport& aReport, Instant aNow)
{
  bool isNew = false;
  TouchedTraits touched;
  for (const ServerLife& life : aReport.lives) {
    isNew |= AddLife(life, aNow, touched);
  }
  for (const ServerCrash& crash : aReport.crashes) {
    isNew |= AddCrash(crash, aNow, touched);
  }
  stale_.merge(touched);
  if (isNew) {
    formerVerdicts_.clear();
    BoundMemory(stale_);
    Judge(std::exchange(stale_, {}));
  }
  std::vector<TraitSurvival> survivals = aReport.survivals;
  std::ranges::sort(survivals, std::ranges::greater{}, &TraitSurvival::age);
  for (const TraitSurvival& survival : survivals) {
    if (AddSurvival(survival, aNow)) {
      if (!std::exchange(isNew, true)) {
        formerVerdicts_.clear();
      }
      touched = { survival.trait };
      BoundMemory(touched);
      Judge(touched);
    }
  }
  return isNew;
}

void CrashEvidence::BoundMemory(TouchedTraits& aTouched)
{
  while (crashes_.size() > kMaxCrashes || linkedTraits_ > kMaxTraits) {
    Erase(std::ranges::min_element(crashes_,
                                   {},
                                   [](const auto& aItem) {
                                     const Crash& crash = aItem.second;
                                     return std::tuple(crash.proof ==
                                                         EndProof::Confirmed,
                                                       crash.isExplained,
                                                       crash.at);
                                   }),
          aTouched);
  }
  while (survivals_.size() > kMaxSurvivals) {
    EraseSurvival(std::ranges::min_element(
      survivals_, {}, [](const auto& aItem) { return aItem.second.at; }));
  }
}

void CrashEvidence::EraseSurvival(Survivals::iterator aSurvival)
{
  const auto events = traits_.find(aSurvival->second.trait);
  std::erase(events->second.survivals, &aSurvival->second);
  if (events->second.crashes.empty() && events->second.survivals.empty()) {
    traits_.erase(events);
  }
  survivals_.erase(aSurvival);
}

bool CrashEvidence::IsExpired(const Crash& aCrash, Instant aNow) const
{
  if (aCrash.proof == EndProof::Suspected) {
    return aNow - aCrash.at >= kSuspicionMemory;
  }
  if (aNow - aCrash.at < kMemory) {
    return false;
  }
  return std::ranges::none_of(aCrash.positions, [&](const auto& aTrait) {
    const auto verdict = verdicts_.find(aTrait.first);
    // After its time, a refused trait is kept long enough to be tried.
    return verdict != verdicts_.end() &&
           verdict->second.state == TraitState::Refused &&
           aNow < verdict->second.refusedUntil + kMemory;
  });
}

void CrashEvidence::Expire(Instant aNow)
{
  TouchedTraits touched;
  for (auto crash = crashes_.begin(); crash != crashes_.end();) {
    crash =
      IsExpired(crash->second, aNow) ? Erase(crash, touched) : std::next(crash);
  }
  for (auto survival = survivals_.begin(); survival != survivals_.end();) {
    const auto next = std::next(survival);
    const bool isOld = aNow - survival->second.at >= kMemory;
    if (isOld && traits_.find(survival->second.trait)->second.crashes.empty()) {
      EraseSurvival(survival);
    }
    survival = next;
  }
  if (!touched.empty()) {
    Judge(touched);
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

CrashEvidence::Score CrashEvidence::ScoreOf(const TraitEvents& aEvents) const
{
  struct Event
  {
    Instant at{};
    const Crash* crash = nullptr;
    const Survival* survival = nullptr; ///< One of the two is set.
    std::uint32_t position = 0;         ///< Of a crash.
  };
  std::vector<Event> events;
  for (const auto& [crash, position] : aEvents.crashes) {
    if (!crash->isExplained) {
      events.push_back({ crash->at, crash, nullptr, position });
    }
  }
  if (events.empty()) {
    return {};
  }
  for (const Survival* const survival : aEvents.survivals) {
    events.push_back({ survival->at, nullptr, survival, 0 });
  }
  std::ranges::stable_sort(events, {}, &Event::at);
  Score score;
  for (const Event& event : events) {
    if (event.crash) {
      // It looks at all other crashes, and counts in a new fleet only.
      const bool isSingle = event.crash->isFleetNew && IsSingle(*event.crash);
      score.OnCrash(*event.crash, event.position, isSingle);
    } else {
      score.OnSurvival(*event.survival);
    }
  }
  return score;
}

void CrashEvidence::KeepFormer(const std::string& aTrait)
{
  const auto verdict = verdicts_.find(aTrait);
  formerVerdicts_.try_emplace(
    aTrait,
    verdict == verdicts_.end() ? std::nullopt : std::optional(verdict->second));
}

bool CrashEvidence::IsAnyFleetNew() const
{
  return std::ranges::any_of(
    crashes_, [](const auto& aItem) { return aItem.second.isFleetNew; });
}

void CrashEvidence::Judge(const TouchedTraits& aTouched)
{
  if (isAnyRefused_ || IsAnyFleetNew()) {
    JudgeAll();
    return;
  }
  std::map<std::string, Score> scores;
  for (const std::string& trait : aTouched) {
    const auto events = traits_.find(trait);
    scores[trait] = events == traits_.end() ? Score{} : ScoreOf(events->second);
    ++judgements_;
    if (scores[trait].Count(EndProof::Confirmed) >= kCrashesToRefuse) {
      JudgeAll();
      return;
    }
  }
  for (const auto& [trait, score] : scores) {
    KeepFormer(trait);
    if (score.counted.empty()) {
      verdicts_.erase(trait);
    } else {
      verdicts_[trait] = score.ToVerdict(TraitState::Suspect);
    }
  }
}

void CrashEvidence::JudgeAll()
{
  for (const auto& [trait, events] : traits_) {
    KeepFormer(trait);
  }
  for (const auto& [trait, verdict] : verdicts_) {
    KeepFormer(trait);
  }
  verdicts_.clear();
  isAnyRefused_ = false;
  for (auto& [key, crash] : crashes_) {
    crash.isExplained = false;
  }
  for (;;) {
    std::map<std::string_view, Score> scores;
    for (const auto& [trait, events] : traits_) {
      Score score = ScoreOf(events);
      if (!score.countedAt.empty()) {
        scores.emplace(trait, std::move(score));
      }
    }
    judgements_ += traits_.size();
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
    isAnyRefused_ = true;
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
