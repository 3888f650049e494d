#include "core/replay/replay_runner.h"

#include "core/replay/trace_key.h"

#include <algorithm>
#include <utility>

namespace gypsum {

namespace {

using std::chrono::milliseconds;

constexpr Duration kNetworkDelay = milliseconds(1);
constexpr Duration kTickPeriod = milliseconds(10);
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kAbortDelay = milliseconds(2);
constexpr Duration kDrainTimeout = std::chrono::seconds(60);
constexpr Instant kReplayStart{ std::chrono::hours(1) };
constexpr std::size_t kMaxRequests = 100'000;
constexpr std::size_t kMaxQueued = 1'000;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusServerError = 500;

std::string EntryName(std::size_t aIndex)
{
  return "entry-" + std::to_string(aIndex);
}

} // namespace

ReplayRunner::ReplayRunner(const Trace& aTrace,
                           ManifestPtr aManifest,
                           const PolicyOptions& aPolicy)
  : trace_(aTrace)
  , manifest_(std::move(aManifest))
  , now_(kReplayStart)
{
  Build(aPolicy);
}

void ReplayRunner::Build(const PolicyOptions& aPolicy)
{
  std::vector<std::string> zones;
  for (const auto& [name, region] : manifest_->zones) {
    zones.push_back(name);
  }
  for (std::size_t index = 0; index < trace_.entries; ++index) {
    EntryOptions options;
    options.self = { EntryName(index), index + 1 };
    options.zone = zones[index % zones.size()];
    options.maxRequests = kMaxRequests;
    options.reportInterval = kReportInterval;
    options.seed = trace_.seed + index;
    options.policy = aPolicy;
    entries_.push_back(std::make_unique<EntryMachine>(std::move(options)));
  }
  Incarnation incarnation = trace_.entries + 1;
  for (const auto& [name, replica] : manifest_->replicas) {
    AgentOptions options;
    options.self = { name, incarnation++ };
    options.maxQueued = kMaxQueued;
    options.records = { trace_.arrivals.size() + 1,
                        std::chrono::minutes(10),
                        milliseconds(500) };
    options.policy = aPolicy;
    Host& host = hosts_[replica.address];
    host.name = name;
    host.zone = replica.zone;
    host.isEngine =
      manifest_->FindService(replica.service)->kind == ServiceKind::Engine;
    host.agent = std::make_unique<AgentMachine>(std::move(options), Now());
  }
}

ReplayRecord ReplayRunner::Run()
{
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    HandleEntry(index, EntryManifestAdopted{ manifest_ });
  }
  for (auto& [address, host] : hosts_) {
    HandleAgent(host, AgentManifestAdopted{ manifest_ });
  }
  const Instant origin = kReplayStart + kReplayWarmUp;
  for (const TraceFault& fault : trace_.faults) {
    ScheduleAt(origin + fault.at, [this, &fault] { Apply(fault); });
  }
  unanswered_ = trace_.arrivals.size();
  record_.requests.resize(unanswered_);
  Duration lastArrival{};
  for (std::size_t index = 0; index < trace_.arrivals.size(); ++index) {
    lastArrival = trace_.arrivals[index].at;
    arrivalByKey_.emplace(KeyOfArrival(trace_, index), index);
    ScheduleAt(origin + lastArrival, [this, index] { Submit(index); });
  }
  ScheduleAt(now_, [this] { Tick(); });
  const Instant endTime = origin + lastArrival + kDrainTimeout;
  while (!actions_.empty() && unanswered_ > 0 && now_ < endTime) {
    Action action = actions_.top();
    actions_.pop();
    now_ = action.at;
    action.run();
  }
  return std::move(record_);
}

void ReplayRunner::ScheduleAt(Instant aTime, std::function<void()> aRun)
{
  actions_.push({ aTime, nextActionNumber_++, std::move(aRun) });
}

void ReplayRunner::ScheduleAfter(Duration aDelay, std::function<void()> aRun)
{
  ScheduleAt(now_ + aDelay, std::move(aRun));
}

ClockReading ReplayRunner::Now() const
{
  return { now_,
           kReplayWallStart +
             std::chrono::duration_cast<milliseconds>(now_ - kReplayStart) };
}

void ReplayRunner::Tick()
{
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    HandleEntry(index, EntryTick{});
  }
  for (auto& [address, host] : hosts_) {
    HandleAgent(host, AgentTick{});
  }
  ScheduleAfter(kTickPeriod, [this] { Tick(); });
}

void ReplayRunner::Submit(std::size_t aArrival)
{
  const TraceArrival& arrival = trace_.arrivals[aArrival];
  CallerRequest request;
  request.call = aArrival;
  request.id = { arrival.customer, KeyOfArrival(trace_, aArrival) };
  request.pipeline = arrival.pipeline;
  request.body = BodyOfArrival(trace_, aArrival);
  HandleEntry(aArrival % entries_.size(), std::move(request));
}

void ReplayRunner::Apply(const TraceFault& aFault)
{
  if (aFault.kind == TraceFaultKind::Lag) {
    reportLag_ = milliseconds(aFault.value);
    return;
  }
  for (auto& [address, host] : hosts_) {
    if (aFault.kind == TraceFaultKind::ZoneLost) {
      host.isDead = host.isDead || host.zone == aFault.target;
    }
    if (host.name != aFault.target) {
      continue;
    }
    switch (aFault.kind) {
      case TraceFaultKind::Slow:
        host.model.SetSlowdown(aFault.value);
        break;
      case TraceFaultKind::Failing:
        host.isFailing = true;
        break;
      case TraceFaultKind::Dead:
        host.isDead = true;
        break;
      case TraceFaultKind::Frozen:
        host.isFrozen = true;
        break;
      case TraceFaultKind::Mute:
        host.isMute = true;
        break;
      case TraceFaultKind::Healthy:
        Recover(host);
        break;
      case TraceFaultKind::Lag:
      case TraceFaultKind::ZoneLost:
        break;
    }
  }
}

void ReplayRunner::Recover(Host& aHost)
{
  aHost.model.SetSlowdown(1);
  aHost.isFailing = false;
  aHost.isFrozen = false;
  aHost.isMute = false;
  for (AgentEvent& event : std::exchange(aHost.heldEvents, {})) {
    HandleAgent(aHost, std::move(event));
  }
}

void ReplayRunner::HandleEntry(std::size_t aEntry, EntryEvent aEvent)
{
  for (EntryEffect& effect :
       entries_[aEntry]->Handle(std::move(aEvent), Now())) {
    std::visit([&](auto& aEffect) { OnEffect(aEntry, aEffect); }, effect);
  }
}

void ReplayRunner::HandleAgent(Host& aHost, AgentEvent aEvent)
{
  if (aHost.isDead) {
    return;
  }
  if (aHost.isFrozen) {
    if (!std::holds_alternative<AgentTick>(aEvent)) {
      aHost.heldEvents.push_back(std::move(aEvent));
    }
    return;
  }
  for (AgentEffect& effect : aHost.agent->Handle(std::move(aEvent), Now())) {
    std::visit([&](auto& aEffect) { OnEffect(aHost, aEffect); }, effect);
  }
}

template<typename Self, typename Other>
void ReplayRunner::OnEffect(Self& /*aSelf*/, Other& /*aEffect*/)
{
}

void ReplayRunner::OnEffect(std::size_t /*aEntry*/, AnswerCaller& aEffect)
{
  ReplayedRequest& request = record_.requests.at(aEffect.call);
  request.isAnswered = true;
  request.outcome = aEffect.answer.outcome;
  request.error = aEffect.answer.error;
  request.elapsed = aEffect.elapsed;
  request.deadline = manifest_->FindPipeline(aEffect.pipeline)->deadline;
  request.retryAfter = aEffect.answer.retryAfter;
  --unanswered_;
}

void ReplayRunner::OnEffect(std::size_t aEntry, SendTo& aEffect)
{
  const auto found = hosts_.find(aEffect.address);
  if (found == hosts_.end()) {
    return;
  }
  if (const auto* const stage =
        std::get_if<StageRequest>(&aEffect.message.body)) {
    const bool isFirst =
      sentStages_.emplace(stage->id.request.key, stage->id.stage).second;
    ++record_.sentStages;
    record_.retriedStages += isFirst ? 0 : 1;
  }
  Host& host = found->second;
  ScheduleAfter(
    kNetworkDelay,
    [this, aEntry, &host, message = std::move(aEffect.message)]() mutable {
      HandleAgent(host, AgentMessage{ EntryName(aEntry), std::move(message) });
    });
}

void ReplayRunner::OnEffect(Host& aHost, SendBack& aEffect)
{
  const bool isReport = std::holds_alternative<Report>(aEffect.message.body);
  if (isReport && aHost.isMute) {
    return;
  }
  // The route is the name of the entry: "entry-" and its index.
  const std::size_t entry = std::stoul(aEffect.route.substr(6));
  ScheduleAfter(kNetworkDelay + (isReport ? reportLag_ : Duration::zero()),
                [this, entry, message = std::move(aEffect.message)]() mutable {
                  HandleEntry(entry, EntryMessage{ std::move(message) });
                });
}

void ReplayRunner::OnEffect(Host& aHost, CallBackend& aEffect)
{
  const std::size_t index = arrivalByKey_.at(aEffect.id.key);
  const TraceArrival& arrival = trace_.arrivals[index];
  const std::uint64_t call = aEffect.call;
  aHost.calls.emplace(call, OpenCall{ record_.calls.size(), now_ });
  const ModelTimes times =
    aHost.model.Start({ aHost.isEngine,
                        aEffect.operation == "/generate",
                        static_cast<std::uint32_t>(aEffect.input.size()),
                        arrival.outputTokens,
                        arrival.prefix,
                        aEffect.priority == 0 },
                      now_);
  if (aHost.isFailing) {
    record_.calls.push_back({ index, aEffect.operation, Duration{}, true });
    ScheduleAfter(kAbortDelay, [this, &aHost, call] {
      FinishCall(aHost, call, { true, kStatusServerError, {} });
    });
    return;
  }
  record_.calls.push_back({ index, aEffect.operation, times.work, false });
  if (times.tokenInterval > Duration::zero()) {
    const Instant arrivedAt = kReplayStart + kReplayWarmUp + arrival.at;
    record_.requests[index].timeToFirstToken =
      now_ + times.untilFirstToken - arrivedAt;
    record_.requests[index].tokenInterval = times.tokenInterval;
    record_.requests[index].cachedShare = times.cachedShare;
  }
  ScheduleAfter(
    times.total,
    [this, &aHost, call, output = std::move(aEffect.input)]() mutable {
      FinishCall(aHost, call, { true, kStatusOk, std::move(output) });
    });
}

void ReplayRunner::OnEffect(Host& aHost, AbortBackend& aEffect)
{
  const auto found = aHost.calls.find(aEffect.call);
  if (found == aHost.calls.end()) {
    return;
  }
  ReplayedCall& call = record_.calls[found->second.recordIndex];
  call.isInterrupted = true;
  call.work = std::min(call.work, now_ - found->second.startedAt);
  ScheduleAfter(kAbortDelay, [this, &aHost, call = aEffect.call] {
    FinishCall(aHost, call, { true, 0, {} });
  });
}

void ReplayRunner::FinishCall(Host& aHost,
                              std::uint64_t aCall,
                              BackendResult aResult)
{
  if (aHost.calls.erase(aCall) == 0) {
    return;
  }
  aHost.model.End();
  HandleAgent(aHost, BackendReturned{ aCall, std::move(aResult) });
}

} // namespace gypsum
