#include "core/gateway/event_splitter.h"

#include <algorithm>

namespace gypsum {

namespace {

constexpr std::string_view kIdField = "id:";
/** Bytes of the longest end of an event, `CR LF CR LF`. */
constexpr std::size_t kMaxEndBytes = 4;

/** End of the first event that ends after `aFrom`; zero if none does. */
std::size_t FindEventEnd(std::string_view aText, std::size_t aFrom)
{
  for (std::size_t at = aText.find('\n', aFrom); at != std::string_view::npos;
       at = aText.find('\n', at + 1)) {
    const std::string_view rest = aText.substr(at + 1);
    if (rest.starts_with('\n')) {
      return at + 2;
    }
    if (rest.starts_with("\r\n")) {
      return at + 3;
    }
  }
  return 0;
}

} // namespace

std::string EventSplitter::Add(std::string_view aBytes)
{
  partial_.append(aBytes);
  bytesSinceEvent_ += aBytes.size();
  std::size_t completeBytes = 0;
  const std::string_view text = partial_;
  while (const std::size_t end =
           FindEventEnd(text, std::max(completeBytes, searchedBytes_))) {
    ParseEvent(text.substr(completeBytes, end - completeBytes),
               text.size() - end);
    completeBytes = end;
  }
  std::string events = partial_.substr(0, completeBytes);
  partial_.erase(0, completeBytes);
  searchedBytes_ = partial_.size() - std::min(partial_.size(), kMaxEndBytes);
  return events;
}

void EventSplitter::ParseEvent(std::string_view aEvent, std::size_t aBytesAfter)
{
  bool hasField = false;
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size()
                                                       : end + 1);
    hasField = hasField || !(line.empty() || line == "\r" || line[0] == ':');
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    const auto first = line.find_first_not_of(' ');
    const auto last = line.find_last_not_of("\r ");
    lastId_ = first == std::string_view::npos
                ? std::string()
                : std::string(line.substr(first, last - first + 1));
  }
  if (hasField) {
    ++events_;
    bytesSinceEvent_ = aBytesAfter;
  }
}

} // namespace gypsum
