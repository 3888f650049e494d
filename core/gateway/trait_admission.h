#pragma once

#include "core/gateway/crash_evidence.h"
#include "core/gateway/trait_trials.h"

#include <span>
#include <string>
#include <vector>

namespace gypsum {

enum class TraitStep
{
  Send,
  Try,    ///< Send; no other request with its suspect traits may run meanwhile.
  Wait,   ///< Until another request with a suspect trait has ended.
  Refuse, ///< A trait crashes servers.
};

/** What to do with a request because of its traits. */
struct TraitDecision
{
  TraitStep step = TraitStep::Send;
  std::string trait;                 ///< That decided; empty for `Send`.
  std::vector<std::string> suspects; ///< For `Try`.
  Instant refusedUntil{};            ///< For `Refuse`.
  /** Versions of the software that must not get the request. */
  std::vector<std::string> excludedVersions;
};

/**
 * Decides whether a request may be sent, again after each failed send.
 *
 * `aVersions` is the software of the servers that could take it. Versions at
 * which all traits are sound go first; else those at which none is refused may
 * try it.
 */
TraitDecision DecideByTraits(std::span<const RequestTrait> aTraits,
                             const CrashEvidence& aEvidence,
                             const TraitTrials& aTrials,
                             std::span<const std::string> aVersions,
                             Instant aNow);

} // namespace gypsum
