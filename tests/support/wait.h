#pragma once

#include <chrono>
#include <thread>

namespace gypsum::tests {

/** Default time limit for a condition. */
constexpr std::chrono::seconds kMaxWait{ 30 };

/** Polls a condition until it is true; false after the timeout. */
template<typename Condition>
bool WaitUntil(Condition aCondition,
               std::chrono::milliseconds aTimeout = kMaxWait)
{
  constexpr std::chrono::milliseconds kPollInterval{ 10 };
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace gypsum::tests
