#include "bench/agent_bench.h"

#include "bench/meter.h"
#include "core/agent/agent_machine.h"
#include "core/hash.h"
#include "core/ownership/owner.h"
#include "core/ownership/uuid_v7.h"
#include "drivers/peer/peer_codec.h"

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsum::bench {

namespace {

constexpr std::string_view kAgentName = "r-9";
constexpr Incarnation kEntryIncarnation = 1;
constexpr Incarnation kAgentIncarnation = 2;
constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
constexpr int kTicksPerSecond = 100;
constexpr int kTicksPerReport = 25;
constexpr int kMeasuredSeconds = 10;
constexpr int kBookings = 1'000;
constexpr double kPercentPerCore = 100;
constexpr double kMicrosecondsPerSecond = 1e6;

/** An agent whose backend server responds immediately. */
class AgentRig
{
public:
  explicit AgentRig(ManifestPtr aManifest)
    : machine_(Options(), now_)
    , manifest_(aManifest)
  {
    Feed(AgentManifestAdopted{ std::move(aManifest) });
    now_.steady += std::chrono::seconds(10);
    now_.wall += std::chrono::seconds(10);
  }

  void RunSeconds(int aSeconds, std::size_t aEntries)
  {
    for (int tick = 0; tick < aSeconds * kTicksPerSecond; ++tick) {
      now_.steady += kTickPeriod;
      now_.wall +=
        std::chrono::duration_cast<std::chrono::milliseconds>(kTickPeriod);
      Feed(AgentTick{});
      if (tick % kTicksPerReport != 0) {
        continue;
      }
      for (std::size_t entry = 0; entry < aEntries; ++entry) {
        PeerMessage hello{ { { "entry-" + std::to_string(entry),
                               kEntryIncarnation },
                             kAgentIncarnation,
                             1 },
                           Hello{} };
        CountBytes(hello);
        Feed(AgentMessage{ "route", std::move(hello) });
      }
    }
  }

  void RunBookings(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      StageRequest request;
      request.id = {
        ownedRequests_.at(nextBooking_++), 3, nextBooking_, kEntryIncarnation
      };
      request.service = "plain-9";
      request.operation = "/book";
      request.isRepeatable = false;
      request.budget = std::chrono::seconds(4);
      request.input = "history";
      request.checksum = Checksum(request.input);
      Feed(AgentMessage{
        "route",
        { { { "entry-1", kEntryIncarnation }, kAgentIncarnation, 1 },
          request } });
    }
  }

  /** Generates keys that the agent owns, as it executes no others. */
  void PrepareBookings(std::size_t aCount)
  {
    const ServiceSpec& service = *manifest_->FindService("plain-9");
    for (unsigned number = 0; ownedRequests_.size() < aCount; ++number) {
      RequestId id{ "customer-1", MakeUuidV7(now_.wall, number) };
      if (OwnerOf(service, id) == kAgentName) {
        ownedRequests_.push_back(std::move(id));
      }
    }
  }

  void SetCounting(bool aIsCounting) { isCounting_ = aIsCounting; }
  double ControlBytes() const { return controlBytes_; }
  const AgentCounters& Counters() const { return machine_.Counters(); }

private:
  static AgentOptions Options()
  {
    AgentOptions options;
    options.self = { std::string(kAgentName), kAgentIncarnation };
    options.maxQueued = 1'000;
    options.records = { 1'000'000,
                        std::chrono::seconds(600),
                        std::chrono::milliseconds(500) };
    return options;
  }

  void Feed(AgentEvent aEvent)
  {
    for (const AgentEffect& effect : machine_.Handle(std::move(aEvent), now_)) {
      if (const auto* const call = std::get_if<CallBackend>(&effect)) {
        machine_.Handle(
          BackendReturned{ call->call, { true, 200, "confirmed" } }, now_);
      } else if (const auto* const sent = std::get_if<SendBack>(&effect)) {
        CountBytes(sent->message);
      }
    }
  }

  void CountBytes(const PeerMessage& aMessage)
  {
    if (isCounting_) {
      controlBytes_ += static_cast<double>(Encode(aMessage).size());
    }
  }

  ClockReading now_{ Instant(std::chrono::hours(1)),
                     WallTime(std::chrono::hours(500'000)) };
  AgentMachine machine_;
  ManifestPtr manifest_;
  std::vector<RequestId> ownedRequests_;
  std::size_t nextBooking_ = 0;
  double controlBytes_ = 0;
  bool isCounting_ = false;
};

} // namespace

AgentCost MeasureAgent(const FleetSize& aSize, std::size_t aEntries)
{
  AgentCost cost;
  const std::size_t before = HeapBytes();
  auto rig = std::make_unique<AgentRig>(FleetManifest(aSize, 1));
  cost.heapBytes = static_cast<double>(HeapBytes() - before);
  cost.controlCorePercent =
    SecondsOf([&] { rig->RunSeconds(kMeasuredSeconds, aEntries); }) /
    kMeasuredSeconds * kPercentPerCore;
  rig->SetCounting(true);
  rig->RunSeconds(kMeasuredSeconds, aEntries);
  rig->SetCounting(false);
  cost.controlBytesPerSecond = rig->ControlBytes() / kMeasuredSeconds;
  rig->PrepareBookings(kBookings);
  const std::size_t withoutRecords = HeapBytes();
  cost.microsecondsPerBooking =
    SecondsOf([&] { rig->RunBookings(kBookings); }) / kBookings *
    kMicrosecondsPerSecond;
  cost.bytesPerRecord =
    static_cast<double>(HeapBytes() - withoutRecords) / kBookings;
  if (rig->Counters().executed != kBookings) {
    std::fprintf(stderr,
                 "expected %d bookings, got %llu\n",
                 kBookings,
                 static_cast<unsigned long long>(rig->Counters().executed));
  }
  return cost;
}

} // namespace gypsum::bench
