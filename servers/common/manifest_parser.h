#pragma once

#include "core/configuration/manifest.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <variant>

namespace gypsum {

/**
 * Parses manifests on a thread of its own.
 *
 * Parsing a manifest of 1 MB on the control thread would delay requests for
 * too long.
 */
class ManifestParser
{
public:
  using Result = std::variant<ManifestPtr, Faults>;

  ManifestParser();
  ~ManifestParser();
  ManifestParser(const ManifestParser&) = delete;
  ManifestParser& operator=(const ManifestParser&) = delete;

  /** Stops the thread; no callback runs after this returns. */
  void Stop();
  /** Parses a text, then calls `aOnParsed` with it on the parser thread. */
  void ParseAsync(std::string aText,
                  std::function<void(std::string)> aOnParsed);
  /** Takes the result for a text; parses it now if there is none. */
  Result TakeResult(std::string_view aText);

private:
  struct Job
  {
    std::string text;
    std::function<void(std::string)> onParsed;
  };

  void Loop();

  std::mutex mutex_;
  std::condition_variable wake_;
  bool isStopping_ = false;
  std::deque<Job> jobs_;
  std::map<std::uint64_t, Result> results_; ///< By checksum, until taken.
  std::thread thread_;
};

} // namespace gypsum
