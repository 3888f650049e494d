#include "core/messages.h"
#include "servers/gateway/work_meter.h"

#include <doctest/doctest.h>

namespace gypsum::tests {

namespace {

void UseProcessor(ProcessorTime aTime)
{
  const ProcessorTime end = ThreadProcessorTime() + aTime;
  while (ThreadProcessorTime() < end) {
  }
}

} // namespace

TEST_CASE("[WorkMeter] the time of a kind inside another one is counted once")
{
  constexpr ProcessorTime kInner = std::chrono::milliseconds(20);
  constexpr ProcessorTime kOuter = std::chrono::milliseconds(5);
  WorkMeter meter;
  const ProcessorTime begin = ThreadProcessorTime();
  {
    const WorkMeter::Scope outer(meter, "outer");
    UseProcessor(kOuter);
    for (int time = 0; time < 2; ++time) {
      const WorkMeter::Scope inner(meter, "inner");
      UseProcessor(kInner / 2);
    }
  }
  const ProcessorTime used = ThreadProcessorTime() - begin;
  const WorkDone& outer = meter.All().at("outer");
  const WorkDone& inner = meter.All().at("inner");
  CHECK(outer.times == 1);
  CHECK(inner.times == 2);
  CHECK(outer.time >= kOuter);
  CHECK(inner.time >= kInner);
  CHECK(outer.time + inner.time <= used);
}

TEST_CASE("[WorkMeter] the largest kinds since the last call are reported")
{
  WorkMeter meter;
  {
    const WorkMeter::Scope work(meter, "status");
  }
  CHECK(meter.TakeLargest().starts_with("status:"));
  CHECK(meter.TakeLargest().empty());
}

TEST_CASE("[PeerMessage] a kind has a name of its own")
{
  CHECK(NameOf(PeerBody(GatewayStatus{})) == "status");
  CHECK(NameOf(PeerBody(CrashReport{})) == "crash-report");
  CHECK(NameOf(PeerBody(KnowledgeReply{})) == "knowledge-reply");
}

} // namespace gypsum::tests
