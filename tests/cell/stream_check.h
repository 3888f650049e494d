#pragma once

#include <string>

namespace gypsum::tests {

/** Whether a body has all events of an attempt, each once and in order. */
inline bool IsCompleteStream(const std::string& aBody,
                             const std::string& aAttemptId)
{
  std::string expected;
  for (int event = 1; event <= 8; ++event) {
    expected += "id: " + std::to_string(event) + "\ndata: " + aAttemptId + " " +
                std::to_string(event) + "\n\n";
  }
  return aBody == expected;
}

} // namespace gypsum::tests
