#include "core/gateway/resume_policy.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <set>

namespace gypsum {

ResumeTarget ResolveOrigin(std::span<const OriginKnowledge> aKnowledge,
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
  std::set<std::string_view> versions;
  for (const OriginKnowledge& one : aKnowledge) {
    versions.insert(one.versions.begin(), one.versions.end());
  }
  const bool isComplete =
    std::ranges::any_of(aKnowledge, &OriginKnowledge::isVersionListComplete);
  if (versions.size() != 1 || !isComplete) {
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
