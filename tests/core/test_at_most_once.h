#pragma once

#include "tests/core/at_most_once_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace gypsum::tests {

class AtMostOnceFixture
{
protected:
  static constexpr std::uint64_t kSeeds = 10'000;
  static constexpr unsigned kSteps = 120;

  /** Runs one seed; returns the actions up to a violation, none without one. */
  std::vector<std::string> Run(std::uint64_t aSeed,
                               bool aAreNewAgentsStale = false)
  {
    AtMostOnceWorld world({ aSeed, 4, aAreNewAgentsStale });
    std::vector<std::string> actions;
    while (actions.size() < kSteps && world.Violation().empty()) {
      actions.push_back(world.DrawAction());
      world.Apply(actions.back());
    }
    Add(world.Totals());
    violation_ = world.Violation();
    return violation_.empty() ? std::vector<std::string>{} : actions;
  }

  /** First violation by a schedule in the world of a seed, or empty. */
  static std::string ViolationOf(std::uint64_t aSeed,
                                 const std::vector<std::string>& aActions)
  {
    AtMostOnceWorld world({ aSeed });
    for (const std::string& action : aActions) {
      world.Apply(action);
    }
    return world.Violation();
  }

  /** Removes every action without which some violation still occurs. */
  static std::vector<std::string> Shrink(std::uint64_t aSeed,
                                         std::vector<std::string> aActions)
  {
    for (std::size_t at = aActions.size(); at-- > 0;) {
      auto fewer = aActions;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(at));
      if (!ViolationOf(aSeed, fewer).empty()) {
        aActions = std::move(fewer);
      }
    }
    return aActions;
  }

  /** First seed with a violation, and the number of seeds that have it. */
  struct Failure
  {
    std::uint64_t seed = 0;
    std::vector<std::string> actions;
    unsigned seeds = 0;
  };

  static std::string TraceOf(const std::string& aViolation,
                             const Failure& aFailure)
  {
    std::string trace = "# " + aViolation + ", in " +
                        std::to_string(aFailure.seeds) + " seeds\nseed " +
                        std::to_string(aFailure.seed);
    for (const auto& action : Shrink(aFailure.seed, aFailure.actions)) {
      trace += "\n" + action;
    }
    return trace;
  }

  void Add(const Tally& aTotals)
  {
    total_.executions += aTotals.executions;
    total_.complete += aTotals.complete;
    total_.notRun += aTotals.notRun;
    total_.unknown += aTotals.unknown;
    total_.kills += aTotals.kills;
    total_.freezes += aTotals.freezes;
    total_.adoptions += aTotals.adoptions;
    total_.stops += aTotals.stops;
  }

  /** First and last seed; GYPSUM_SEED selects one, GYPSUM_SEEDS a number. */
  static std::pair<std::uint64_t, std::uint64_t> Seeds()
  {
    const char* const seed = std::getenv("GYPSUM_SEED");
    const char* const count = std::getenv("GYPSUM_SEEDS");
    const std::uint64_t first = seed ? std::stoull(seed) : 1;
    return { first, seed ? first : count ? std::stoull(count) : kSeeds };
  }

  Tally total_;
  std::string violation_;
};

TEST_CASE_FIXTURE(AtMostOnceFixture,
                  "[AtMostOnce] any schedule runs the key at most once")
{
  const auto [first, last] = Seeds();
  std::map<std::string, Failure> failures;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const auto actions = Run(seed);
    if (!actions.empty()) {
      failures.try_emplace(violation_, Failure{ seed, actions })
        .first->second.seeds += 1;
    }
  }
  for (const auto& [violation, failure] : failures) {
    FAIL_CHECK(TraceOf(violation, failure));
  }
  MESSAGE("executions=" << total_.executions << " complete=" << total_.complete
                        << " not-run=" << total_.notRun << " unknown="
                        << total_.unknown << " kills=" << total_.kills
                        << " freezes=" << total_.freezes << " adoptions="
                        << total_.adoptions << " stops=" << total_.stops);
  if (first != last) {
    CHECK(total_.complete > kSeeds / 100);
    CHECK(total_.notRun > kSeeds / 100);
    CHECK(total_.unknown > kSeeds / 100);
  }
}

TEST_CASE_FIXTURE(AtMostOnceFixture,
                  "[AtMostOnce] fresh agents that no peer reaches run no key "
                  "twice")
{
  const auto [first, last] = Seeds();
  std::map<std::string, unsigned> violations;
  std::uint64_t firstSeed = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    if (!Run(seed, true).empty()) {
      firstSeed = firstSeed == 0 ? seed : firstSeed;
      ++violations[violation_];
    }
  }
  for (const auto& [violation, seeds] : violations) {
    FAIL_CHECK(violation << ", in " << seeds << " seeds, first " << firstSeed);
  }
}

TEST_CASE_FIXTURE(AtMostOnceFixture,
                  "[AtMostOnce] a schedule that once failed breaks nothing")
{
  unsigned traces = 0;
  for (const auto& file :
       std::filesystem::directory_iterator("tests/traces/at_most_once")) {
    std::ifstream text(file.path());
    std::uint64_t seed = 0;
    std::vector<std::string> actions;
    for (std::string line; std::getline(text, line);) {
      if (line.starts_with("seed ")) {
        seed = std::stoull(line.substr(5));
      } else if (!line.starts_with('#')) {
        actions.push_back(line);
      }
    }
    ++traces;
    CHECK_MESSAGE(ViolationOf(seed, actions).empty(), file.path().filename());
  }
  CHECK(traces > 0);
}

} // namespace gypsum::tests
