#pragma once

#include "tests/support/deployment.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

namespace gypsum::tests {

/** A trace of requests for `answer`, with the manifest of a fleet. */
class LoadFixture
{
protected:
  LoadFixture()
    : folder_(std::filesystem::temp_directory_path() /
              ("gypsum-load-" + std::to_string(getpid())))
  {
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "fleet.ini") << fleet_.ManifestText(1);
    std::ofstream trace(folder_ / "fleet.trace");
    trace << "gypsumstream-trace 1\nmanifest fleet.ini\n";
    for (int arrival = 0; arrival < 20; ++arrival) {
      trace << 20 * arrival << " ask atelier answer 2000 10 1\n";
    }
  }
  ~LoadFixture() { std::filesystem::remove_all(folder_); }

  /** Exit code of `gypsumstream load` against an address. */
  int Load(const std::string& aAddress) const
  {
    ChildProcess load(
      GYPSUM_BINARY,
      { "load", (folder_ / "fleet.trace").string(), "--entry", aAddress },
      (folder_ / "load.log").string());
    return load.Wait();
  }

  Deployment fleet_;
  std::filesystem::path folder_;
};

TEST_CASE_FIXTURE(LoadFixture,
                  "[Load] an entry responds to every arrival of a trace, and "
                  "an unreachable entry is a failure")
{
  fleet_.StartAll();
  CHECK(Load(fleet_.Entry(0).httpAddress) == 0);
  const std::string dump = fleet_.Get(fleet_.Entry(0).httpAddress, "/dump");
  CHECK(dump.find("accepted: 20") != std::string::npos);
  CHECK(Load("127.0.0.1:1") == 1);
}

} // namespace gypsum::tests
