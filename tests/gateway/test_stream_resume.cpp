#include "core/gateway/resume_policy.h"
#include "core/gateway/service_versions.h"
#include "core/gateway/stream_origins.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <random>

namespace gypsum::tests {

namespace {

using std::chrono::seconds;

struct ResumeFixture
{
  static ExpiringOrigin Origin(const std::string& aAttempt,
                               const std::string& aVersion,
                               Duration aExpiresIn = seconds(10))
  {
    return { { aAttempt, "model", aVersion }, aExpiresIn };
  }

  static std::set<ServiceVersion> Listed(
    const std::vector<std::string>& aVersions)
  {
    std::set<ServiceVersion> listed;
    for (const std::string& version : aVersions) {
      listed.insert({ "model", version });
    }
    return listed;
  }

  StreamOrigins origins;
  ServiceVersions versions;
  Instant now{ seconds(1'000) };
};

} // namespace

TEST_CASE_FIXTURE(ResumeFixture,
                  "[StreamOrigins] an attempt keeps its first origin until the "
                  "origin expires")
{
  CHECK(origins.Add(Origin("a", "v1"), now));
  CHECK(origins.Add(Origin("a", "v2"), now));
  CHECK(origins.Add(Origin("", "v2"), now));
  CHECK(origins.Add(Origin("b", "v2", Duration{}), now));
  CHECK(origins.Find("a", now + seconds(4)) == Origin("a", "v1", seconds(6)));
  CHECK_FALSE(origins.Find("", now));
  CHECK_FALSE(origins.Find("b", now));
  CHECK(origins.All(now + seconds(9)).size() == 1);
  CHECK_FALSE(origins.Find("a", now + seconds(10)));
  CHECK(origins.All(now + seconds(10)).empty());
  origins.RemoveExpired(now + seconds(10));
  CHECK(origins.Size() == 0);
}

// Guards against a table that a client fills with attempt ids of 16 KB.
TEST_CASE_FIXTURE(ResumeFixture,
                  "[StreamOrigins] a long attempt takes no more room than a "
                  "short one, and is told from others")
{
  const std::string attempt(16'000, 'a');
  CHECK(origins.Add(Origin(attempt, "v1"), now));
  CHECK(origins.Add(Origin(attempt + "b", "v2"), now));
  CHECK(origins.Size() == 2);
  const auto all = origins.All(now);
  CHECK(std::ranges::all_of(all, [](const ExpiringOrigin& aItem) {
    return aItem.origin.attempt.size() <= StreamOrigins::kMaxNameBytes;
  }));
  CHECK(origins.Find(attempt, now)->origin.version == "v1");
  CHECK(origins.Find(attempt + "b", now)->origin.version == "v2");
  // A peer stores what it is told, and finds it by the client's word.
  StreamOrigins peer;
  for (const ExpiringOrigin& origin : all) {
    peer.Add(origin, now);
  }
  CHECK(peer.Find(attempt, now)->origin.version == "v1");
}

TEST_CASE_FIXTURE(ResumeFixture,
                  "[StreamOrigins] a full table refuses new origins until "
                  "others expire")
{
  for (std::size_t number = 0; number < StreamOrigins::kMaxOrigins; ++number) {
    REQUIRE(origins.Add(Origin(std::to_string(number), "v1"), now));
  }
  CHECK_FALSE(origins.Add(Origin("late", "v1"), now));
  CHECK(origins.Add(Origin("late", "v1"), now + seconds(10)));
  CHECK(origins.Size() == 1);
}

TEST_CASE_FIXTURE(ResumeFixture,
                  "[ServiceVersions] a version counts for streams that began "
                  "before it was last listed")
{
  const Duration memory = ServiceVersions::kMemory;
  versions.Observe(Listed({}), now);
  CHECK_FALSE(versions.Covers(now, now));
  versions.Observe(Listed({ "v1", "v2" }), now);
  versions.Observe(Listed({ "v2" }), now + seconds(5));
  const std::vector<std::string> second{ "v2" };
  CHECK(versions.ListedSince("model", now).size() == 2);
  CHECK(versions.ListedSince("model", now + Duration(1)) == second);
  CHECK(versions.ListedSince("other", now).empty());
  CHECK_FALSE(versions.Covers(now - Duration(1), now + seconds(5)));
  CHECK(versions.Covers(now, now + seconds(5)));
  CHECK(versions.Covers(now, now + memory));
  CHECK_FALSE(versions.Covers(now, now + memory + Duration(1)));
  versions.Observe(Listed({ "v2" }), now + memory + Duration(1));
  CHECK(versions.ListedSince("model", now) == second);
}

TEST_CASE_FIXTURE(ResumeFixture,
                  "[ResumePolicy] a record goes before the versions that "
                  "gateways have seen")
{
  const std::array knowledge{
    OriginKnowledge{ std::nullopt, { "v2" }, true, true },
    OriginKnowledge{ Origin("a", "v1"), { "v1", "v2" }, false, false }
  };
  const ResumeTarget target = ResolveOrigin(knowledge, { true, true }, "other");
  CHECK(target.source == OriginSource::Record);
  CHECK(target.service == "model");
  CHECK(target.version == "v1");
}

TEST_CASE(
  "[ResumePolicy] without a record a stream goes on only where a single "
  "version has served the whole time")
{
  const OriginKnowledge complete{ std::nullopt, { "v1" }, true, true };
  const OriginKnowledge started{ std::nullopt, { "v1" }, false, false };
  const OriginKnowledge other{ std::nullopt, { "v2" }, false, false };
  const OriginKnowledge nothing{};
  const auto sourceOf = [](std::vector<OriginKnowledge> aKnowledge) {
    return ResolveOrigin(aKnowledge, { true, false }, "model").source;
  };
  CHECK(sourceOf({ complete }) == OriginSource::OnlyVersion);
  CHECK(sourceOf({ started, nothing, complete }) == OriginSource::OnlyVersion);
  CHECK(sourceOf({ started }) == OriginSource::Unknown);
  CHECK(sourceOf({ complete, other }) == OriginSource::Unknown);
  CHECK(sourceOf({ nothing }) == OriginSource::Unknown);
  CHECK(sourceOf({}) == OriginSource::Unknown);
  CHECK(
    ResolveOrigin(std::array{ complete }, { true, false }, "model").version ==
    "v1");
}

TEST_CASE("[ResumePolicy] a gateway that is out of step does not take the only "
          "version that it knows for the only one")
{
  // It has run for long, and heard nothing of late.
  const OriginKnowledge outOfStep{ std::nullopt, { "v1" }, true, false };
  const OriginKnowledge inStep{ std::nullopt, { "v1" }, true, true };
  const OriginKnowledge started{ std::nullopt, { "v1" }, false, false };
  const auto sourceOf = [](std::vector<OriginKnowledge> aKnowledge,
                           OriginCoverage aCoverage) {
    return ResolveOrigin(aKnowledge, aCoverage, "model").source;
  };
  CHECK(sourceOf({ outOfStep }, { true, false }) == OriginSource::Unknown);
  CHECK(sourceOf({ outOfStep }, { false, false }) == OriginSource::Unknown);
  CHECK(sourceOf({ inStep }, { false, false }) == OriginSource::Unknown);
  CHECK(sourceOf({ outOfStep, inStep }, { false, false }) ==
        OriginSource::Unknown);
  // Without the store, all that may have begun it know of one version only.
  CHECK(sourceOf({ outOfStep, outOfStep }, { false, true }) ==
        OriginSource::OnlyVersion);
  CHECK(sourceOf({ outOfStep, started }, { false, true }) ==
        OriginSource::Unknown);
  CHECK(sourceOf({ started, inStep }, { true, false }) ==
        OriginSource::OnlyVersion);
  CHECK_FALSE(NeedsCurrentRegistry(std::array{ outOfStep }));
  CHECK(NeedsCurrentRegistry(std::array{ outOfStep, inStep }));
}

TEST_CASE("[ResumePolicy] in a random fleet, what gateways know never names a "
          "version that did not begin the stream")
{
  constexpr std::size_t kGateways = 5;
  constexpr int kSteps = 200;
  constexpr Duration kClientTime = seconds(12);
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::array<StreamOrigins, kGateways> origins;
    std::array<ServiceVersions, kGateways> versions;
    std::vector<std::string> listed{ "v1", "v1" };
    struct Begun
    {
      StreamOrigin origin;
      Instant at{};
    };
    std::vector<Begun> begun;
    Instant now{ seconds(1'000) };
    std::size_t resumed = 0;
    for (int step = 0; step < kSteps; ++step) {
      now += std::chrono::milliseconds(random() % 1'000);
      const std::size_t gateway = random() % kGateways;
      const auto observe = [&] {
        for (ServiceVersions& one : versions) {
          one.Observe(ResumeFixture::Listed(listed), now);
        }
      };
      observe();
      switch (random() % 5) {
        case 0: {
          const std::string attempt = std::to_string(begun.size());
          const std::string version = listed[random() % listed.size()];
          begun.push_back({ { attempt, "model", version }, now });
          for (std::size_t copy = 0; copy < 3; ++copy) {
            origins[(gateway + copy) % kGateways].Add(
              { begun.back().origin, kClientTime }, now);
          }
          break;
        }
        case 1: // A gateway restarts without anything it knew.
          origins[gateway] = {};
          versions[gateway] = {};
          break;
        case 2: // One server is replaced by one of another version.
          listed[random() % listed.size()] =
            "v" + std::to_string(1 + random() % 3);
          break;
        default: {
          if (begun.empty() || now - begun.back().at >= kClientTime) {
            break;
          }
          const auto stillWanted =
            std::ranges::find_if(begun, [&](const Begun& aOne) {
              return now - aOne.at < kClientTime;
            });
          const auto count =
            static_cast<std::size_t>(begun.end() - stillWanted);
          const StreamOrigin& stream =
            begun[begun.size() - 1 - random() % count].origin;
          std::vector<OriginKnowledge> knowledge;
          for (std::size_t one = 0; one < kGateways; ++one) {
            const bool isSilent = one != gateway && random() % 4 == 0;
            if (!isSilent) {
              knowledge.push_back(
                { origins[one].Find(stream.attempt, now),
                  versions[one].ListedSince("model", now - kClientTime),
                  versions[one].Covers(now - kClientTime, now),
                  versions[one].Covers(now - kClientTime, now) });
            }
          }
          const ResumeTarget target =
            ResolveOrigin(knowledge, { true, false }, "model");
          if (target.source != OriginSource::Unknown) {
            CHECK(target.version == stream.version);
            ++resumed;
          }
          break;
        }
      }
      observe();
    }
    CHECK(resumed > 0);
  }
}

} // namespace gypsum::tests
