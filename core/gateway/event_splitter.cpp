#include "core/gateway/event_splitter.h"

namespace gypsum {

namespace {

constexpr std::string_view kIdField = "id:";

/** Length of the first event in bytes; zero if no event is complete. */
std::size_t EventLength(std::string_view aText)
{
  const auto lineFeed = aText.find("\n\n");
  const auto carriageReturn = aText.find("\r\n\r\n");
  const std::size_t lineFeedEnd =
    lineFeed == std::string_view::npos ? lineFeed : lineFeed + 2;
  const std::size_t carriageReturnEnd = carriageReturn == std::string_view::npos
                                          ? carriageReturn
                                          : carriageReturn + 4;
  const std::size_t end =
    lineFeedEnd < carriageReturnEnd ? lineFeedEnd : carriageReturnEnd;
  return end == std::string_view::npos ? 0 : end;
}

} // namespace

std::string EventSplitter::Add(std::string_view aBytes)
{
  partial_.append(aBytes);
  std::size_t completeBytes = 0;
  const std::string_view text = partial_;
  while (const std::size_t length = EventLength(text.substr(completeBytes))) {
    ParseEvent(text.substr(completeBytes, length));
    completeBytes += length;
  }
  std::string events = partial_.substr(0, completeBytes);
  partial_.erase(0, completeBytes);
  return events;
}

void EventSplitter::ParseEvent(std::string_view aEvent)
{
  ++events_;
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size()
                                                       : end + 1);
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
}

} // namespace gypsum
