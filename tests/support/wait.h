#pragma once

#include <chrono>
#include <thread>

namespace gypsum::tests {

/** How long a condition may take before a test fails. */
constexpr std::chrono::seconds kMaxWait{ 30 };

/** Waits for a condition; false if it does not come true. */
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
