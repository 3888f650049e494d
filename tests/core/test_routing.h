#pragma once

#include "core/routing/retry_budget.h"
#include "core/routing/router.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <vector>

namespace gypsum::tests {

class RouterFixture
{
protected:
  static constexpr Instant kNow{ std::chrono::hours(1) };
  static constexpr std::size_t kReplicas = 6;

  RouterFixture()
  {
    for (std::size_t index = 0; index < kReplicas; ++index) {
      members_[index].name = "writer-" + std::to_string(index);
      members_[index].zone = "zone-a";
      members_[index].report.concurrency = 1;
    }
  }
  std::vector<const Member*> Candidates() const
  {
    std::vector<const Member*> candidates;
    for (const Member& member : members_) {
      candidates.push_back(&member);
    }
    return candidates;
  }
  static RoutingInput Input(std::uint64_t aPrefixHash = 0)
  {
    RoutingInput input;
    input.zone = "zone-a";
    input.inputBytes = 2000;
    input.now = kNow;
    input.stage = 7;
    input.budget = std::chrono::seconds(4);
    input.prefixHash = aPrefixHash;
    return input;
  }
  std::string Choose(Router& aRouter, const RoutingInput& aInput) const
  {
    return aRouter.Choose(Candidates(), aInput)->name;
  }
  /** Sends a stage to a replica and completes it with a service time. */
  void Serve(Router& aRouter, std::size_t aReplica, Duration aTime)
  {
    const SentStage sent = aRouter.OnSent(members_[aReplica], Input());
    aRouter.OnComplete(sent, aTime, kNow);
  }

  std::array<Member, kReplicas> members_;
};

TEST_CASE_FIXTURE(
  RouterFixture,
  "[Routing] every policy chooses a candidate, or none if there "
  "are no candidates")
{
  for (const char* const name : { "random",
                                  "round-robin",
                                  "least-outstanding",
                                  "power-of-two",
                                  "predicted" }) {
    CAPTURE(name);
    Router router(ParsePolicy(name).value(), 1);
    members_[2].outstanding = 0;
    CHECK(router.Choose(Candidates(), Input()) != nullptr);
    CHECK(router.Choose({}, Input()) == nullptr);
  }
}

TEST_CASE_FIXTURE(
  RouterFixture,
  "[Routing] a prefix keeps its preferred replica until the work "
  "there would miss the budget")
{
  Router router(PolicyOptions{}, 1);
  Serve(router, 0, std::chrono::seconds(1));
  const std::string preferred = Choose(router, Input(42));
  CHECK(Choose(router, Input(42)) == preferred);
  const auto member = std::ranges::find(members_, preferred, &Member::name);
  for (int count = 0; count < 8; ++count) {
    router.OnSent(*member, Input(42));
  }
  CHECK(Choose(router, Input(42)) != preferred);
  CHECK(PrefixHash("short") == 0);
}

TEST_CASE_FIXTURE(
  RouterFixture,
  "[Routing] a straggler gets no work, and half of the replicas "
  "stay in use when all fail")
{
  Router router(PolicyOptions{}, 1);
  Serve(router, 0, std::chrono::seconds(1));
  for (int count = 0; count < 8; ++count) {
    Serve(router, 3, std::chrono::seconds(9));
  }
  std::set<std::string> chosen;
  for (int count = 0; count < 50; ++count) {
    chosen.insert(Choose(router, Input()));
  }
  CHECK(!chosen.contains("writer-3"));
  for (const Member& member : members_) {
    for (int count = 0; count < 3; ++count) {
      router.OnFailed(router.OnSent(member, Input()), true, kNow);
    }
  }
  CHECK(router.Choose(Candidates(), Input()) != nullptr);
}

TEST_CASE("[Routing] retries stay within their share of the calls")
{
  RetryBudget budget;
  int taken = 0;
  for (int call = 0; call < 1000; ++call) {
    budget.OnFirstAttempt();
    taken += budget.Take() ? 1 : 0;
  }
  CHECK(taken <= 100);
  CHECK(taken > 0);
}

} // namespace gypsum::tests
