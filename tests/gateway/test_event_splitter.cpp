#include "core/gateway/event_splitter.h"
#include "core/gateway/stream_end.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace gypsum::tests {

TEST_CASE("[EventSplitter] only complete events are returned, wherever the "
          "stream is cut")
{
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
  const std::string complete = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    EventSplitter splitter;
    std::string out;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      out += splitter.Add(std::string_view(stream).substr(at, size));
    }
    CHECK(out == complete);
    CHECK(splitter.LastId() == "2");
    CHECK(splitter.Events() == 2);
    CHECK(splitter.IsInsideEvent());
    CHECK(splitter.PartialBytes() == std::string_view("id: 3\nda").size());
  }
}

TEST_CASE(
  "[EventSplitter] a discarded partial event does not affect later events")
{
  EventSplitter splitter;
  CHECK(splitter.Add("id: 7\ndata: x\n\nid: 8\nda") == "id: 7\ndata: x\n\n");
  splitter.DropPartial();
  CHECK(splitter.Add("id: 8\ndata: y\n\n") == "id: 8\ndata: y\n\n");
  CHECK(splitter.LastId() == "8");
}

TEST_CASE("[EventSplitter] events with lines that end in CR LF are recognized")
{
  EventSplitter splitter;
  CHECK(splitter.Add("id:5\r\ndata: x\r\n\r\nrest") ==
        "id:5\r\ndata: x\r\n\r\n");
  CHECK(splitter.LastId() == "5");
}

TEST_CASE("[EventSplitter] an event without an id keeps the last id")
{
  EventSplitter splitter;
  splitter.Add("id: 1\ndata: a\n\ndata: b\n\n");
  CHECK(splitter.LastId() == "1");
  CHECK(splitter.Events() == 2);
}

TEST_CASE("[EventSplitter] without a complete event there is no id")
{
  EventSplitter splitter;
  CHECK(splitter.Add("id: 1\ndata").empty());
  CHECK_FALSE(splitter.LastId().has_value());
}

TEST_CASE("[EventSplitter] a stream is inside an event from its first byte to "
          "the end of its blank line")
{
  const std::string event = "id: 1\ndata: a\n\n";
  for (std::size_t cut = 0; cut <= event.size(); ++cut) {
    EventSplitter splitter;
    splitter.Add(event.substr(0, cut));
    CHECK(splitter.IsInsideEvent() == (cut > 0 && cut < event.size()));
  }
  EventSplitter splitter;
  splitter.Add(event + "\r\n");
  CHECK_FALSE(splitter.IsInsideEvent());
}

TEST_CASE("[StreamEnd] a stream is complete between events, if something "
          "marks its end")
{
  CHECK(IsComplete({ true, false, 0 }));
  CHECK(IsComplete({ true, false, 3 }));
  CHECK(IsComplete({ false, false, 3 }));
  CHECK_FALSE(IsComplete({ false, false, 0 }));
  CHECK_FALSE(IsComplete({ true, true, 3 }));
  CHECK_FALSE(IsComplete({ false, true, 3 }));
}

TEST_CASE("[EventSplitter] an event, comments or empty lines without end are "
          "noticed and searched once")
{
  const std::string part(16'384, 'x');
  for (const std::string& unit : { part,
                                   ":" + part + "\n",
                                   std::string("\n\n"),
                                   std::string(": y\n\n") }) {
    CAPTURE(unit.size());
    EventSplitter splitter;
    CHECK(splitter.Add("id: 1\n\n") == "id: 1\n\n");
    std::size_t bytes = 0;
    while (!splitter.IsEndless() &&
           bytes < 16 * EventSplitter::kMaxEventBytes) {
      splitter.Add(unit);
      bytes += unit.size();
    }
    CHECK(splitter.IsEndless());
    CHECK(bytes <= EventSplitter::kMaxEventBytes + unit.size());
    CHECK(splitter.Events() == 1);
    splitter.DropPartial();
    CHECK_FALSE(splitter.IsEndless());
    CHECK(splitter.Add("id: 2\n\n") == "id: 2\n\n");
  }
}

TEST_CASE("[EventSplitter] an event that comes byte by byte is searched once")
{
  // With a search from the start for each byte, this would take minutes.
  EventSplitter splitter;
  const std::string line(1'000'000, 'x');
  for (const char byte : line) {
    splitter.Add(std::string_view(&byte, 1));
  }
  CHECK(splitter.Add("\n\n").size() == line.size() + 2);
}

TEST_CASE("[EventSplitter] a stream of many events is never endless")
{
  EventSplitter splitter;
  for (int event = 0; event < 200; ++event) {
    splitter.Add("data: " + std::string(16'000, 'y') + "\n\n");
    CHECK_FALSE(splitter.IsEndless());
  }
  CHECK(splitter.Events() == 200);
}

} // namespace gypsum::tests
