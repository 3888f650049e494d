#pragma once

#include "core/configuration/manifest.h"

#include <cstddef>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace gypsum::tests {

/** Makes one revision and appends its replicas to the former owners. */
inline ManifestPtr MakeManifest(std::mt19937_64& aRandom,
                                unsigned aRevision,
                                std::string& aFormer)
{
  // The first revision has all three slots; a later one may omit a slot and may
  // move the second slot to another VM.
  const unsigned left = aRevision == 1 ? 3 : aRandom() % 4;
  const bool isReplaced = aRevision > 1 && aRandom() % 2 == 0;
  std::string slots;
  for (unsigned slot = 0; slot < 3; ++slot) {
    const unsigned vm = slot == 1 && isReplaced ? 4 : slot + 1;
    if (slot != left) {
      slots += "a-" + std::to_string(slot + 1) +
               " = ZONE127.0.0.1:" + std::to_string(vm) + "\n";
    }
  }
  const auto withZone = [&](std::string aText, const std::string& aZone) {
    for (std::size_t at = 0; (at = aText.find("ZONE")) != std::string::npos;) {
      aText.replace(at, 4, aZone);
    }
    return aText;
  };
  const std::string replicas = withZone(slots, "zone-a ") + aFormer;
  aFormer += "[former.booking." + std::to_string(aRevision) + "]\n" +
             withZone(slots, "");
  return std::get<ManifestPtr>(ParseManifest(
    "[manifest]\nname = one-key\nrevision = " + std::to_string(aRevision) +
    "\n[zones]\nzone-a = home\n[customers]\natelier = 1\n"
    "[service.booking]\nkind = plain\nconcurrency = 1\n"
    "[replicas.booking]\n" +
    replicas +
    "[pipeline.hold]\ndeadline_ms = 1000\npriority = 0\nstages = confirm\n"
    "[stage.hold.confirm]\nservice = booking\noperation = /confirm\n"
    "repeatable = false\n"));
}

/** Revisions of one service whose replicas change at random. */
inline std::vector<ManifestPtr> MakeManifests(std::mt19937_64& aRandom,
                                              unsigned aCount)
{
  std::vector<ManifestPtr> manifests;
  std::string former;
  for (unsigned revision = 1; revision <= aCount; ++revision) {
    manifests.push_back(MakeManifest(aRandom, revision, former));
  }
  return manifests;
}

} // namespace gypsum::tests
