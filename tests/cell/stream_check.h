#pragma once

#include <string>

namespace gypsum::tests {

/** Whether a body is the whole stream of an attempt, each event once. */
inline bool IsCompleteStream(const std::string& aBody,
                             const std::string& aAttempt)
{
  std::string expected;
  for (int event = 1; event <= 8; ++event) {
    expected += "id: " + std::to_string(event) + "\ndata: " + aAttempt + " " +
                std::to_string(event) + "\n\n";
  }
  return aBody == expected;
}

} // namespace gypsum::tests
