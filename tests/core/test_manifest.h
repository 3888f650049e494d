#pragma once

#include "core/configuration/manifest.h"
#include "core/configuration/section_reader.h"
#include "tests/core/sample_manifest.h"
#include "tests/support/document.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace gypsum::tests {

inline Faults FaultsOf(const std::string& aText)
{
  const auto parsed = ParseManifest(aText);
  const Faults* const faults = std::get_if<Faults>(&parsed);
  return faults ? *faults : Faults{};
}

inline bool HasFault(const Faults& aFaults, const std::string& aKey)
{
  return std::ranges::find(aFaults, aKey, &Fault::key) != aFaults.end();
}

TEST_CASE("[Manifest] a valid text is parsed completely")
{
  const ManifestPtr manifest = SampleManifest(7);
  CHECK(manifest->revision == 7);
  CHECK(manifest->FindService("writer")->replicas.size() == 2);
  CHECK(manifest->FindPipeline("hold")->stages.size() == 2);
  CHECK_FALSE(manifest->FindPipeline("hold")->stages[1].isRepeatable);
  CHECK(manifest->FindReplica("booking-1")->address == "127.0.0.1:7101");
}

TEST_CASE("[Manifest] all faults of a text are reported in one run")
{
  std::string text = SampleManifestText();
  text += "[replicas.writing]\nwriter-3 = zone-a 127.0.0.1:7003\n"
          "[pipeline.late]\ndeadline_ms = soon\nstages = missing\n";
  const Faults faults = FaultsOf(text);
  CHECK(HasFault(faults, "replicas.writing"));
  CHECK(HasFault(faults, "pipeline.late/deadline_ms"));
  CHECK(HasFault(faults, "pipeline.late/stages"));
}

TEST_CASE("[Manifest] a duplicate replica name is refused with its line")
{
  const std::string text = SampleManifestText() +
                           "[service.extra]\nkind = plain\n"
                           "[replicas.extra]\nwriter-1 = zone-a 127.0.0.1:1\n";
  const Faults faults = FaultsOf(text);
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].key == "replicas.extra/writer-1");
  CHECK(faults[0].line > 0);
}

/**
 * The known keys of a section of the sample manifest, taken from the fault that
 * an unknown key causes.
 */
inline std::vector<std::string> KeysOfSection(const std::string& aSection)
{
  std::string text = SampleManifestText();
  const std::string header = "[" + aSection + "]\n";
  text.insert(text.find(header) + header.size(), "nothing = 1\n");
  const std::string prefix = "one of ";
  for (const Fault& fault : FaultsOf(text)) {
    if (fault.key == aSection + "/nothing" &&
        fault.expected.starts_with(prefix)) {
      return SplitWords(fault.expected.substr(prefix.size()));
    }
  }
  return {};
}

TEST_CASE("[Manifest] every key has a table row in docs/SETTINGS.md")
{
  const auto rows = TableRows("docs/SETTINGS.md");
  const std::vector<std::pair<std::string, std::string>> sections{
    { "manifest", "[manifest] " },
    { "service.writer", "[service.NAME] " },
    { "pipeline.hold", "[pipeline.NAME] " },
    { "stage.hold.draft", "[stage.PIPELINE.STAGE] " },
  };
  for (const auto& [section, prefix] : sections) {
    const auto keys = KeysOfSection(section);
    CHECK(keys.size() >= 2);
    for (const std::string& key : keys) {
      const std::string name = prefix + key;
      CAPTURE(name);
      CHECK(rows.contains(name));
    }
  }
}

} // namespace gypsum::tests
