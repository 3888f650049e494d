#include "core/gateway/trait_admission.h"

#include <algorithm>
#include <iterator>

namespace gypsum {

namespace {

/** The worst state of the traits at a version, and the first such trait. */
struct WorstTrait
{
  TraitState state = TraitState::Sound;
  std::string_view name;
};

WorstTrait WorstTraitAt(std::span<const RequestTrait> aTraits,
                        const CrashEvidence& aEvidence,
                        std::string_view aVersion,
                        Instant aNow)
{
  WorstTrait worst;
  for (const RequestTrait& trait : aTraits) {
    const TraitState state = aEvidence.StateOf(trait.name, aVersion, aNow);
    if (state > worst.state) {
      worst = { state, trait.name };
    }
  }
  return worst;
}

/** A crash too soon after the last one would not count. */
bool MustWait(const TraitVerdict& aVerdict, bool aIsTried, Instant aNow)
{
  return aIsTried || aVerdict.MustAwaitProof() ||
         aNow < aVerdict.lastCrashAt + CrashEvidence::kCrashSpacing;
}

} // namespace

TraitDecision DecideByTraits(std::span<const RequestTrait> aTraits,
                             const CrashEvidence& aEvidence,
                             const TraitTrials& aTrials,
                             std::span<const std::string> aVersions,
                             Instant aNow)
{
  TraitDecision decision;
  const auto& verdicts = aEvidence.Verdicts();
  if (verdicts.empty() || aVersions.empty()) {
    return decision;
  }
  WorstTrait best = WorstTraitAt(aTraits, aEvidence, aVersions.front(), aNow);
  for (const std::string& version : aVersions.subspan(1)) {
    const WorstTrait worst = WorstTraitAt(aTraits, aEvidence, version, aNow);
    best = worst.state < best.state ? worst : best;
  }
  decision.trait = best.name;
  if (best.state == TraitState::Refused) {
    decision.step = TraitStep::Refuse;
    const TraitVerdict& verdict = verdicts.find(best.name)->second;
    decision.refusedUntil = verdict.state == TraitState::Refused
                              ? verdict.refusedUntil
                              : verdict.heldUntil;
    return decision;
  }
  std::ranges::copy_if(
    aVersions,
    std::back_inserter(decision.excludedVersions),
    [&](const std::string& aVersion) {
      return WorstTraitAt(aTraits, aEvidence, aVersion, aNow).state >
             best.state;
    });
  if (best.state == TraitState::Sound) {
    return decision;
  }
  decision.step = TraitStep::Try;
  for (const RequestTrait& trait : aTraits) {
    const auto verdict = verdicts.find(trait.name);
    if (verdict == verdicts.end()) {
      continue;
    }
    decision.suspects.push_back(trait.name);
    if (MustWait(verdict->second, aTrials.IsUnderWay(trait.name, aNow), aNow)) {
      decision.step = TraitStep::Wait;
    }
  }
  return decision;
}

} // namespace gypsum
