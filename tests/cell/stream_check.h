#pragma once

#include <set>
#include <sstream>
#include <string>

namespace gypsum::tests {

/** Number of events in each stream of a fake model replica. */
constexpr int kEventsPerStream = 8;

/** One event; a comment names the software version that made it. */
inline std::string StreamEvent(const std::string& aVersion,
                               int aEvent,
                               const std::string& aAttemptId)
{
  return ": " + aVersion + "\nid: " + std::to_string(aEvent) +
         "\ndata: " + aAttemptId + " " + std::to_string(aEvent) + "\n\n";
}

/** The body without the comments that name versions. */
inline std::string WithoutVersions(const std::string& aBody)
{
  std::istringstream lines(aBody);
  std::string body;
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(": ")) {
      body += line + (lines.eof() ? "" : "\n");
    }
  }
  return body;
}

/** Software versions that have made complete events of a body. */
inline std::set<std::string> VersionsOf(const std::string& aBody)
{
  const std::size_t end = aBody.rfind("\n\n");
  std::istringstream lines(end == std::string::npos ? ""
                                                    : aBody.substr(0, end));
  std::set<std::string> versions;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(": ")) {
      versions.insert(line.substr(2));
    }
  }
  return versions;
}

/** The id of the last complete event of a body; empty if there is none. */
inline std::string LastEventOf(const std::string& aBody)
{
  const std::size_t end = aBody.rfind("\n\n");
  if (end == std::string::npos) {
    return "";
  }
  const std::size_t begin = aBody.rfind("id: ", end) + 4;
  return aBody.substr(begin, aBody.find('\n', begin) - begin);
}

/** Whether a body has all events of an attempt, each once and in order, from
 * the first that is due. */
inline bool IsCompleteStream(const std::string& aBody,
                             const std::string& aAttemptId,
                             int aFirstEvent = 1)
{
  std::string expected;
  for (int event = aFirstEvent; event <= kEventsPerStream; ++event) {
    expected += "id: " + std::to_string(event) + "\ndata: " + aAttemptId + " " +
                std::to_string(event) + "\n\n";
  }
  return WithoutVersions(aBody) == expected;
}

} // namespace gypsum::tests
