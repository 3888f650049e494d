#include "core/gateway/resume_policy.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <set>

namespace gypsum {

namespace {

std::set<std::string_view> VersionsIn(
  std::span<const OriginKnowledge> aKnowledge)
{
  std::set<std::string_view> versions;
  for (const OriginKnowledge& one : aKnowledge) {
    versions.insert(one.versions.begin(), one.versions.end());
  }
  return versions;
}

} // namespace

bool NeedsCurrentRegistry(std::span<const OriginKnowledge> aKnowledge)
{
  return VersionsIn(aKnowledge).size() == 1 &&
         std::ranges::any_of(aKnowledge,
                             &OriginKnowledge::isVersionListComplete);
}

ResumeTarget ResolveOrigin(std::span<const OriginKnowledge> aKnowledge,
                           const OriginCoverage& aCoverage,
                           std::string_view aService)
{
  const auto record =
    std::ranges::find_if(aKnowledge, [](const OriginKnowledge& aOne) {
      return aOne.origin.has_value();
    });
  if (record != aKnowledge.end()) {
    return { OriginSource::Record,
             record->origin->origin.service,
             record->origin->origin.version };
  }
  const std::set<std::string_view> versions = VersionsIn(aKnowledge);
  const bool isFollowed =
    aCoverage.isCurrent &&
    std::ranges::any_of(aKnowledge, &OriginKnowledge::isVersionListComplete);
  const bool isAnswered =
    aCoverage.haveAllAnswered &&
    std::ranges::all_of(aKnowledge, &OriginKnowledge::hasRunSince);
  if (versions.size() != 1 || !(isFollowed || isAnswered)) {
    return {};
  }
  return { OriginSource::OnlyVersion,
           std::string(aService),
           std::string(*versions.begin()) };
}

std::string_view NameOf(OriginSource aSource)
{
  constexpr std::array<std::string_view, 3> kNames{ "unknown",
                                                    "record",
                                                    "only-version" };
  return kNames[static_cast<std::size_t>(aSource)];
}

} // namespace gypsum
