#pragma once

#include "core/configuration/manifest.h"
#include "core/entry/effect_tracker.h"
#include "core/messages.h"
#include "core/routing/router.h"

#include <cstdint>
#include <set>
#include <string>

namespace gypsum {

/** State of one caller's request while it runs through a pipeline. */
struct RequestRun
{
  std::uint64_t call = 0;
  RequestId id;
  ManifestPtr manifest; ///< Active when the request arrived.
  const Pipeline* pipeline = nullptr;
  const Customer* customer = nullptr;
  std::uint64_t requestHash = 0; ///< Hash of pipeline and body.
  Instant arrival{};
  Instant deadline{};
  std::uint32_t stage = 0;
  std::size_t bodyBytes = 0; ///< Size of the caller's request body.
  std::string input;         ///< Input of the current stage.
  std::uint64_t attempt = 0; ///< Outstanding attempt; zero if none.
  std::string target;        ///< Member that the attempt was sent to.
  Incarnation targetIncarnation = 0;
  SentStage sent; ///< Router data of the outstanding attempt.
  std::uint32_t attemptsOfStage = 0;
  std::string awaitedOwner; ///< Owner whose report was awaited, if any.
  Instant ownerReportDeadline{};
  std::set<std::string> tried; ///< Members on which the current stage failed.
  bool hasStarted = false;     ///< A stage ran or may have run.
  EffectTracker effects;       ///< Outcomes of the non-repeatable stages.

  const StageSpec& Stage() const { return pipeline->stages[stage]; }
  bool IsLastStage() const { return stage + 1 == pipeline->stages.size(); }
};

} // namespace gypsum
