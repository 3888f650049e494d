#pragma once

#include "tests/support/child_process.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <vector>

namespace gypsum::tests {

// Guards against an end that is missed for good: two threads reaped the process
// at once, and the later one took it for running again.
TEST_CASE("[ChildProcess] several threads that watch a process all see its end")
{
  constexpr int kRounds = 200;
  constexpr int kWatchers = 8;
  constexpr std::chrono::seconds kMaxRunTime{ 2 };
  constexpr int kPollsAfterEnd = 100;
  int missed = 0;
  for (int round = 0; round < kRounds; ++round) {
    ChildProcess process("/bin/true", {}, "/dev/null");
    std::atomic<bool> hasEnded = false;
    const auto latest = std::chrono::steady_clock::now() + kMaxRunTime;
    std::vector<std::future<void>> watchers(kWatchers);
    std::ranges::generate(watchers, [&] {
      return std::async(std::launch::async, [&] {
        while (!hasEnded && std::chrono::steady_clock::now() < latest) {
          if (!process.IsRunning()) {
            hasEnded = true;
          }
        }
      });
    });
    std::ranges::for_each(watchers, &std::future<void>::get);
    for (int poll = 0; poll < kPollsAfterEnd; ++poll) {
      missed += process.IsRunning() ? 1 : 0;
    }
  }
  CHECK(missed == 0);
}

} // namespace gypsum::tests
