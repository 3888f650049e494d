#include "servers/gateway/crash_service.h"

#include "drivers/clock.h"
#include "platform/client_request.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <variant>

namespace gypsum {

namespace asio = boost::asio;

namespace {

/** Time between two requests for the reports of peers. */
constexpr Duration kAskInterval = std::chrono::milliseconds(500);
/** Gateways answer for a trait one after the other, on average this far apart,
 * so that most hear of an answer before they give their own. */
constexpr Duration kAnswerSpacing = std::chrono::milliseconds(2);
constexpr Duration kMaxAnswerDelay = std::chrono::milliseconds(200);

/** Recent survivals are kept for each trait at each software version. */
std::string SurvivalName(std::string_view aTrait, std::string_view aVersion)
{
  return std::string(aTrait) + "@" + std::string(aVersion);
}

std::string NamesOf(std::span<const RequestTrait> aTraits)
{
  std::set<std::string_view> names;
  for (const RequestTrait& trait : aTraits) {
    names.insert(trait.name);
  }
  std::string text;
  for (const std::string_view name : names) {
    text.append(text.empty() ? "" : ",").append(name);
  }
  return text;
}

} // namespace

CrashService::CrashService(GatewayState& aState, PeerExchange& aPeers)
  : state_(aState)
  , peers_(aPeers)
  , detector_(aState.tasks, MakeHandlers())
  , rememberedSince_(Now().steady)
  , random_(static_cast<std::uint_fast32_t>(aState.self.incarnation))
{
}

CrashDetector::Handlers CrashService::MakeHandlers()
{
  CrashDetector::Handlers handlers;
  handlers.onCrash = [this](const NoticedEnd& aEnd,
                            std::string_view aEvidence) {
    OnCrash(aEnd, aEvidence);
  };
  handlers.onSilence = [this](const NoticedEnd& aEnd) { OnSilence(aEnd); };
  handlers.onResponse = [this](const BackendRecord& aBackend,
                               Instant aOpenedAt) {
    OnResponse(aBackend, aOpenedAt);
  };
  handlers.onSurvival = [this](const BackendRecord& aBackend,
                               const RequestTraits& aTraits) {
    OnSurvival(aBackend, aTraits);
  };
  handlers.onEnd = [this](SendNumber aNumber) { EndTrial(aNumber); };
  handlers.onProbe = [this](Liveness aLiveness) {
    state_.metrics.Count("liveness_probes", "result", NameOf(aLiveness));
  };
  handlers.isLeaving = [this](const BackendRecord& aBackend) {
    return !state_.registry.IsUsable(aBackend);
  };
  handlers.hasConnection = [this](const BackendRecord& aBackend, Instant aAt) {
    return state_.pool.HasIdleSince(aBackend.address, aAt);
  };
  handlers.mayAsk = [this](const BackendRecord& aBackend) {
    return state_.permissions.Ask(aBackend, LimitPlace::Open, Now().steady)
      .IsGranted();
  };
  handlers.readLag = [this] { return state_.loopLag.At(Now().steady); };
  handlers.makeQuestion = ToLivenessQuestion;
  return handlers;
}

template<typename Body>
void CrashService::Broadcast(const Body& aBody)
{
  for (const std::string& peer : peers_.LivePeers(LeavingPeers::Include)) {
    peers_.SendTo(peer, aBody);
  }
}

std::vector<std::string> CrashService::VersionsFor(
  const TraitQuestion& aQuestion) const
{
  std::set<std::string> versions;
  for (const BackendPtr& backend : state_.registry.Usable(aQuestion.service)) {
    if (!aQuestion.version || backend->version == *aQuestion.version) {
      versions.insert(backend->version);
    }
  }
  return { versions.begin(), versions.end() };
}

TraitDecision CrashService::Decide(const TraitQuestion& aQuestion) const
{
  if (aQuestion.traits->empty() || evidence_.Verdicts().empty()) {
    return {};
  }
  return DecideByTraits(*aQuestion.traits,
                        evidence_,
                        trials_,
                        VersionsFor(aQuestion),
                        Now().steady);
}

TraitDecision CrashService::DecidePieces(const std::string& aRequestName,
                                         const std::string& aService) const
{
  TraitDecision decision =
    Decide({ TraitsOfRequest(aRequestName), aService, std::nullopt });
  if (!decision.excludedVersions.empty()) {
    decision.step = TraitStep::Refuse;
    decision.trait = aRequestName;
    decision.refusedUntil =
      evidence_.Verdicts().find(aRequestName)->second.refusedUntil;
  }
  return decision;
}

asio::awaitable<TraitDecision> CrashService::AwaitTurn(TraitQuestion aQuestion,
                                                       Instant aDeadline)
{
  for (;;) {
    TraitDecision decision = Decide(aQuestion);
    const Instant now = Now().steady;
    if (decision.step != TraitStep::Wait || now >= aDeadline) {
      co_return decision;
    }
    asio::steady_timer timer(state_.loop);
    timer.expires_at(std::min(aDeadline, now + kTurnPollInterval));
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

CrashService::SendNumber CrashService::OnSent(
  BackendPtr aBackend,
  const std::shared_ptr<const RequestTraits>& aTraits,
  std::vector<std::string> aSuspects)
{
  const SendNumber number = ++lastNumber_;
  detector_.OnSent(number, std::move(aBackend), aTraits);
  if (!aSuspects.empty()) {
    ownTrials_.insert(number);
    const TraitTrial trial{
      state_.self.incarnation, number, std::move(aSuspects), false
    };
    trials_.OnTrial(trial, Now().steady);
    Broadcast(trial);
  }
  return number;
}

void CrashService::EndTrial(SendNumber aNumber)
{
  if (ownTrials_.erase(aNumber) == 0) {
    return;
  }
  const TraitTrial trial{ state_.self.incarnation, aNumber, {}, true };
  trials_.OnTrial(trial, Now().steady);
  Broadcast(trial);
}

TraitSurvival CrashService::MakeSurvival(std::string aTrait,
                                         std::string aVersion)
{
  return { std::move(aTrait),
           std::move(aVersion),
           state_.self.incarnation,
           ++lastNumber_,
           Duration{} };
}

void CrashService::OnSurvival(const BackendRecord& aBackend,
                              const RequestTraits& aTraits)
{
  const Instant now = Now().steady;
  CrashReport report;
  for (const RequestTrait& trait : aTraits) {
    survivals_.Add(SurvivalName(trait.name, aBackend.version), now);
    if (evidence_.StateOf(trait.name, aBackend.version, now) !=
        TraitState::Sound) {
      report.survivals.push_back(MakeSurvival(trait.name, aBackend.version));
    }
  }
  if (!report.survivals.empty() && AddReport(report, "own")) {
    Broadcast(report);
  }
}

bool CrashService::IsFleetNew() const
{
  const ClockReading now = Now();
  const Duration age = now.steady - rememberedSince_;
  const auto startedMs =
    now.wall.time_since_epoch() -
    std::chrono::duration_cast<std::chrono::milliseconds>(age);
  return age < CrashEvidence::kNewFleetTime &&
         HadRestarts(state_.registry.Snapshot(Now().steady),
                     static_cast<std::uint64_t>(startedMs.count()));
}

void CrashService::AdoptMemory(Duration aAge)
{
  rememberedSince_ = std::min(rememberedSince_, Now().steady - aAge);
}

void CrashService::LogEnd(std::string_view aEvent,
                          const NoticedEnd& aEnd,
                          std::string_view aEvidence)
{
  state_.log.Write(LogClass::StateChange,
                   aEvent,
                   { { "backend", aEnd.crash.backend },
                     { "software", aEnd.crash.version },
                     { "evidence", aEvidence },
                     { "age", aEnd.crash.age },
                     { "unlisted-restarts", aEnd.crash.unlistedRestarts },
                     { "starting", aEnd.requests },
                     { "given-up", aEnd.givenUp },
                     { "memory", Now().steady - rememberedSince_ },
                     { "traits", NamesOf(aEnd.crash.traits) } });
}

void CrashService::OnCrash(const NoticedEnd& aEnd, std::string_view aEvidence)
{
  NoticedEnd end = aEnd;
  ServerCrash& crash = end.crash;
  crash.unlistedRestarts =
    evidence_.RestartsBefore(crash.backend, crash.startedMs, end.openedAt);
  crash.isFleetNew = IsFleetNew();
  const CrashReport report{ { crash }, {}, {}, {} };
  if (!AddReport(report, "own")) {
    return;
  }
  state_.metrics.Count("backend_crashes", "evidence", aEvidence);
  LogEnd("backend-crashed", end, aEvidence);
  Broadcast(report);
}

void CrashService::OnSilence(const NoticedEnd& aSilence)
{
  const Instant now = Now().steady;
  NoticedEnd silence = aSilence;
  ServerCrash& crash = silence.crash;
  std::erase_if(crash.traits, [&](const RequestTrait& aTrait) {
    return survivals_.HasSince(
      SurvivalName(aTrait.name, crash.version), Instant{}, now);
  });
  crash.unlistedRestarts =
    evidence_.RestartsBefore(crash.backend, crash.startedMs, silence.openedAt);
  const CrashReport report{ { crash }, {}, {}, {} };
  if (!AddReport(report, "own")) {
    return;
  }
  state_.metrics.Count("backend_silences", "", "");
  LogEnd("backend-silent", silence, "silent");
  Broadcast(report);
}

void CrashService::OnResponse(const BackendRecord& aBackend, Instant aOpenedAt)
{
  const bool isSettled = evidence_.IsSettledBy(
    aBackend.id, aBackend.startedMs, aOpenedAt, Now().steady);
  if (!isSettled) {
    return;
  }
  const CrashReport report{
    {}, {}, { { aBackend.id, aBackend.startedMs, Duration{} } }, {}
  };
  AddReport(report, "own");
  state_.log.Write(
    LogClass::StateChange,
    "backend-silence-over",
    { { "backend", aBackend.id }, { "software", aBackend.version } });
  Broadcast(report);
}

bool CrashService::AddReport(const CrashReport& aReport,
                             std::string_view aSource)
{
  const Instant now = Now().steady;
  for (const ServerLife& life : aReport.lives) {
    detector_.OnPeerResponse({ life.backend, life.startedMs }, now - life.age);
  }
  const bool isNew = evidence_.Add(aReport, now);
  state_.metrics.Count("crash_reports", "result", isNew ? "new" : "known");
  if (!isNew) {
    return false;
  }
  const auto& before = evidence_.FormerVerdicts();
  const auto& after = evidence_.Verdicts();
  for (const auto& [trait, old] : before) {
    const auto verdict = after.find(trait);
    const bool isSound = verdict == after.end();
    const bool hasChanged = isSound || !old
                              ? isSound == old.has_value()
                              : old->state != verdict->second.state ||
                                  old->crashes < verdict->second.crashes;
    if (hasChanged) {
      LogVerdict(trait, aSource);
    }
  }
  for (const ServerCrash& crash : aReport.crashes) {
    for (const RequestTrait& trait : crash.traits) {
      const auto old = before.find(trait.name);
      // A new fleet holds a trait back after one crash, unless it was
      // survived lately.
      const bool isAnySurvivalEnough =
        old == before.end() || !old->second || crash.isFleetNew;
      const Instant previousAt =
        isAnySurvivalEnough ? Instant{} : old->second->lastCrashAt;
      if (after.contains(trait.name) &&
          survivals_.HasSince(
            SurvivalName(trait.name, crash.version), previousAt, now)) {
        state_.tasks.Spawn(
          "trait-answer",
          AnswerForTrait(trait.name, crash.version, previousAt));
      }
    }
  }
  return true;
}

asio::awaitable<void> CrashService::AnswerForTrait(std::string aTrait,
                                                   std::string aVersion,
                                                   Instant aPreviousCrashAt)
{
  const Duration longest =
    std::min(kMaxAnswerDelay,
             kAnswerSpacing * static_cast<std::int64_t>(peers_.LiveGateways()));
  asio::steady_timer timer(state_.loop);
  timer.expires_after(Duration(
    std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_)));
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  const Instant now = Now().steady;
  const bool isNeeded =
    evidence_.Verdicts().contains(aTrait) &&
    survivals_.HasSince(SurvivalName(aTrait, aVersion), aPreviousCrashAt, now);
  if (!isNeeded) {
    co_return;
  }
  CrashReport report;
  report.survivals.push_back(
    MakeSurvival(std::move(aTrait), std::move(aVersion)));
  if (AddReport(report, "own")) {
    Broadcast(report);
  }
}

void CrashService::LogVerdict(const std::string& aTrait,
                              std::string_view aSource) const
{
  const auto found = evidence_.Verdicts().find(aTrait);
  const bool isSound = found == evidence_.Verdicts().end();
  const TraitState state = isSound ? TraitState::Sound : found->second.state;
  state_.log.Write(
    LogClass::StateChange,
    "request-trait",
    { { "trait", aTrait },
      { "state", NameOf(state) },
      { "crashes",
        static_cast<std::uint64_t>(isSound ? 0 : found->second.crashes) },
      { "silences",
        static_cast<std::uint64_t>(isSound ? 0 : found->second.silences) },
      { "source", aSource } });
}

bool CrashService::OnPeerMessage(const Route& aRoute,
                                 const PeerHeader& aHeader,
                                 PeerBody& aBody)
{
  if (auto* const report = std::get_if<CrashReport>(&aBody)) {
    const Duration memoryAge = Now().steady - rememberedSince_;
    if (memoryAge >= CrashEvidence::kNewFleetTime) {
      for (ServerCrash& crash : report->crashes) {
        crash.isFleetNew = false;
      }
    }
    AddReport(*report, aHeader.sender.name);
    AdoptMemory(report->memoryAge);
    return true;
  }
  if (const auto* const trial = std::get_if<TraitTrial>(&aBody)) {
    trials_.OnTrial(*trial, Now().steady);
    return true;
  }
  if (std::holds_alternative<CrashReportRequest>(aBody)) {
    const Instant now = Now().steady;
    CrashReport report = evidence_.Report(now);
    report.memoryAge = now - rememberedSince_;
    peers_.SendBack(aRoute, aHeader.sender.incarnation, std::move(report));
    return true;
  }
  return false;
}

void CrashService::FillStatus(GatewayStatus& aStatus) const
{
  aStatus.crashDigest = evidence_.Digest();
  aStatus.crashMemoryAge = Now().steady - rememberedSince_;
}

void CrashService::OnPeerStatus(const GatewayStatus& aStatus)
{
  const Instant now = Now().steady;
  if (aStatus.crashDigest == 0 || aStatus.crashDigest == evidence_.Digest()) {
    AdoptMemory(aStatus.crashMemoryAge);
    return;
  }
  if (now - lastAskedAt_ >= kAskInterval) {
    lastAskedAt_ = now;
    peers_.SendTo(aStatus.address, CrashReportRequest{});
  }
}

void CrashService::Expire()
{
  const Instant now = Now().steady;
  evidence_.Expire(now);
  trials_.Expire(now);
  survivals_.Expire(now);
  detector_.Expire();
}

std::string CrashService::StateText() const
{
  std::string text;
  for (const auto& [trait, verdict] : evidence_.Verdicts()) {
    text += "request trait " + trait + ": " +
            std::string(NameOf(verdict.state)) + ", crashes " +
            std::to_string(verdict.crashes) + ", silences " +
            std::to_string(verdict.silences) + "\n";
  }
  return text;
}

} // namespace gypsum
