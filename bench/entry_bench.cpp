#include "bench/entry_bench.h"

#include "bench/meter.h"
#include "core/entry/entry_machine.h"
#include "core/hash.h"
#include "core/ownership/uuid_v7.h"
#include "drivers/peer/peer_codec.h"

#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gypsum::bench {

namespace {

constexpr Incarnation kEntryIncarnation = 1;
constexpr Incarnation kAgentIncarnation = 2;
constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
constexpr int kTicksPerSecond = 100;
constexpr int kWarmUpSeconds = 3;
constexpr int kMeasuredSeconds = 10;
constexpr int kRequests = 4'000;
constexpr double kPercentPerCore = 100;
constexpr double kMicrosecondsPerSecond = 1e6;

/** An entry whose agents reply to every message immediately. */
class EntryRig
{
public:
  explicit EntryRig(ManifestPtr aManifest)
    : machine_(Options())
    , manifest_(std::move(aManifest))
  {
    for (const auto& [name, replica] : manifest_->replicas) {
      namesByAddress_.emplace(replica.address, name);
    }
    for (const auto& [name, customer] : manifest_->customers) {
      customers_.push_back(name);
    }
    Feed(EntryManifestAdopted{ manifest_ });
  }

  void RunSeconds(int aSeconds)
  {
    for (int tick = 0; tick < aSeconds * kTicksPerSecond; ++tick) {
      now_.steady += kTickPeriod;
      now_.wall +=
        std::chrono::duration_cast<std::chrono::milliseconds>(kTickPeriod);
      Feed(EntryTick{});
    }
  }

  void RunRequests(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      const std::string& customer =
        customers_[static_cast<std::size_t>(number) % customers_.size()];
      Feed(CallerRequest{ ++call_,
                          { customer, MakeUuidV7(now_.wall, call_) },
                          "p-" + std::to_string(number % 11),
                          "history",
                          {} });
    }
  }

  void SetCounting(bool aIsCounting) { isCounting_ = aIsCounting; }
  double ControlBytes() const { return controlBytes_; }
  const EntryCounters& Counters() const { return machine_.Counters(); }

private:
  static EntryOptions Options()
  {
    EntryOptions options;
    options.self = { "entry-1", kEntryIncarnation };
    options.zone = "z-0";
    options.maxRequests = 100'000;
    options.reportInterval = std::chrono::milliseconds(250);
    options.seed = 1;
    return options;
  }

  void Feed(EntryEvent aEvent)
  {
    std::deque<EntryEffect> pending;
    const auto take = [&](EntryEvent aNext) {
      for (EntryEffect& effect : machine_.Handle(std::move(aNext), now_)) {
        pending.push_back(std::move(effect));
      }
    };
    take(std::move(aEvent));
    while (!pending.empty()) {
      const EntryEffect effect = std::move(pending.front());
      pending.pop_front();
      if (const auto* const sent = std::get_if<SendTo>(&effect)) {
        ReplyTo(*sent, take);
      }
    }
  }

  template<typename Take>
  void ReplyTo(const SendTo& aSent, Take& aTake)
  {
    PeerHeader header{ { namesByAddress_.at(aSent.address), kAgentIncarnation },
                       kEntryIncarnation,
                       manifest_->revision };
    if (std::holds_alternative<Hello>(aSent.message.body)) {
      PeerMessage report{ header, Report{ 1, 2, 16, false, kTickPeriod } };
      CountBytes(aSent.message);
      CountBytes(report);
      aTake(EntryMessage{ std::move(report) });
    } else if (const auto* const request =
                 std::get_if<StageRequest>(&aSent.message.body)) {
      StageReply reply;
      reply.id = request->id;
      reply.outcome = Outcome::Complete;
      reply.output = "result";
      reply.checksum = Checksum(reply.output);
      reply.load = Report{ 1, 2, 16, false, kTickPeriod };
      aTake(EntryMessage{ { header, std::move(reply) } });
    }
  }

  void CountBytes(const PeerMessage& aMessage)
  {
    if (isCounting_) {
      controlBytes_ += static_cast<double>(Encode(aMessage).size());
    }
  }

  EntryMachine machine_;
  ManifestPtr manifest_;
  std::map<std::string, std::string> namesByAddress_;
  std::vector<std::string> customers_;
  ClockReading now_{ Instant(std::chrono::hours(1)),
                     WallTime(std::chrono::hours(500'000)) };
  std::uint64_t call_ = 0;
  double controlBytes_ = 0;
  bool isCounting_ = false;
};

} // namespace

EntryCost MeasureEntry(const FleetSize& aSize)
{
  EntryCost cost;
  const std::size_t before = HeapBytes();
  auto rig = std::make_unique<EntryRig>(FleetManifest(aSize, 1));
  rig->RunSeconds(kWarmUpSeconds);
  cost.heapBytes = static_cast<double>(HeapBytes() - before);
  cost.controlCorePercent =
    SecondsOf([&] { rig->RunSeconds(kMeasuredSeconds); }) / kMeasuredSeconds *
    kPercentPerCore;
  rig->SetCounting(true);
  rig->RunSeconds(kMeasuredSeconds);
  rig->SetCounting(false);
  cost.controlBytesPerSecond = rig->ControlBytes() / kMeasuredSeconds;
  cost.microsecondsPerRequest =
    SecondsOf([&] { rig->RunRequests(kRequests); }) / kRequests *
    kMicrosecondsPerSecond;
  if (rig->Counters().complete != kRequests) {
    std::fprintf(stderr,
                 "expected %d complete requests, got %llu\n",
                 kRequests,
                 static_cast<unsigned long long>(rig->Counters().complete));
  }
  return cost;
}

} // namespace gypsum::bench
