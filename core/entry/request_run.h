#pragma once

#include "core/configuration/manifest.h"
#include "core/entry/effect_tracker.h"
#include "core/messages.h"
#include "core/routing/router.h"

#include <cstdint>
#include <set>
#include <string>

namespace gypsum {

/** One caller's request on its way through a pipeline. */
struct RequestRun
{
  std::uint64_t call = 0;
  RequestId id;
  ManifestPtr manifest; ///< In force when the request came in.
  const Pipeline* pipeline = nullptr;
  const Customer* customer = nullptr;
  std::uint64_t requestHash = 0;
  Instant arrival{};
  Instant deadline{};
  std::uint32_t stage = 0;
  std::size_t bodyBytes = 0; ///< Of the caller's body.
  std::string input;         ///< Of the current stage.
  std::uint64_t attempt = 0; ///< Outstanding; zero if none.
  std::string target;        ///< Member that holds the attempt.
  Incarnation targetIncarnation = 0;
  SentStage sent; ///< The outstanding attempt, as the router knows it.
  std::uint32_t attemptsOfStage = 0;
  std::string awaitedOwner; ///< Not heard yet; empty if none is awaited.
  Instant ownerReportDeadline{};
  std::set<std::string> tried; ///< Members that failed the current stage.
  bool hasStarted = false;     ///< Some stage ran or may have run.
  EffectTracker effects;       ///< Of the non-repeatable stages.

  const StageSpec& Stage() const { return pipeline->stages[stage]; }
  bool IsLastStage() const { return stage + 1 == pipeline->stages.size(); }
};

} // namespace gypsum
