#include "core/fleet/configuration_follower.h"

#include "core/hash.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>

namespace gypsum {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kComponent = "configuration";
constexpr milliseconds kWatchDuration{ 1'000 };
constexpr milliseconds kMinManifestReadInterval{ 1'000 };
constexpr milliseconds kMinListReadInterval{ 1'000 };
constexpr milliseconds kSeedRequestInterval{ 500 };
constexpr milliseconds kGossipInterval{ 500 };
constexpr milliseconds kFetchTimeout{ 1'000 };
constexpr milliseconds kCandidateTimeout{ 500 };
constexpr std::size_t kPeersQueriedAtStart = 8;
constexpr std::size_t kPeersNotifiedOfLeaving = 4;
/** Time for the seeds to answer before the first read of the platform. */
constexpr seconds kSeedGrace{ 1 };
/** Largest random delay added to `kSeedGrace`. */
constexpr seconds kSeedGraceJitter{ 4 };
/** Time without a read by any reader of the zone before others take over. */
constexpr seconds kTakeOverTimeout{ 30 };
/** Added for each further rank, so that few processes take over at once. */
constexpr seconds kTakeOverStepPerRank{ 1 };
/** An acting reader stops once a reader of better rank read this recently. */
constexpr seconds kReaderRecoveredAge{ 10 };
/** Time before a refused revision is fetched from peers again. */
constexpr seconds kRefusedRevisionBackOff{ 30 };
/** Updates of this round are not answered, which ends an exchange. */
constexpr std::uint32_t kMaxExchangeRound = 2;
/** One in this many exchanges may go to an agent of another zone. */
constexpr unsigned kCrossZonePeriod = 8;
/** Backstop reads of a large zone in one poll interval. */
constexpr std::size_t kBackstopReadsPerInterval = 8;
/** The opening update of an exchange omits a longer list of leaving replicas.
 */
constexpr std::size_t kMaxUnsolicitedNames = 16;
/** Gives list reads another jitter than manifest reads. */
constexpr std::uint64_t kListSeed = 0x6c697374;

} // namespace

ConfigurationFollower::ConfigurationFollower(FollowerOptions aOptions,
                                             ClockReading aStart)
  : options_(std::move(aOptions))
  , random_(options_.seed)
  , manifestReads_(kMinManifestReadInterval, options_.seed)
  , listReads_(kMinListReadInterval, options_.seed ^ kListSeed)
  , lastReaderRead_(aStart.steady)
{
  const auto own = std::ranges::find(options_.seeds, options_.address);
  const bool isSeed = own != options_.seeds.end();
  if (isSeed) {
    options_.seeds.erase(own);
  }
  // The delay lets the seeds supply the manifest first. Without it, a mass
  // restart would cause a read of the platform by every process.
  const bool isReadDelayed = !isSeed && !options_.seeds.empty();
  manifestReads_.ScheduleAt(
    aStart.steady + (isReadDelayed ? kSeedGrace + RandomUpTo(kSeedGraceJitter)
                                   : Duration::zero()));
  if (!options_.seeds.empty()) {
    nextSeed_ = random_() % options_.seeds.size();
  }
}

FollowerEffects ConfigurationFollower::Handle(FollowerEvent aEvent,
                                              ClockReading aNow)
{
  now_ = aNow;
  std::visit([this](auto& aBody) { On(aBody); }, aEvent);
  AdoptCandidateIfDue();
  return std::exchange(effects_, {});
}

bool ConfigurationFollower::IsForFollower(const PeerBody& aBody)
{
  return std::holds_alternative<ManifestRequest>(aBody) ||
         std::holds_alternative<ManifestReply>(aBody) ||
         std::holds_alternative<FleetUpdate>(aBody);
}

void ConfigurationFollower::On(FollowerMessage& aEvent)
{
  const PeerHeader& header = aEvent.message.header;
  const bool isForSelf =
    header.target == 0 || header.target == options_.self.incarnation;
  if (!isForSelf) {
    ++counters_.misdirected;
    return;
  }
  std::visit([&](const auto& aBody) { OnBody(aEvent, aBody); },
             aEvent.message.body);
  FetchIfAhead(aEvent);
}

template<typename Other>
void ConfigurationFollower::OnBody(const FollowerMessage& /*aEvent*/,
                                   const Other& /*aBody*/)
{
  // Of other messages the follower uses the header alone.
}

void ConfigurationFollower::OnBody(const FollowerMessage& aEvent,
                                   const ManifestRequest& /*aBody*/)
{
  ++counters_.manifestsServed;
  Reply(aEvent, ManifestReply{ manifest_ ? manifest_->text : std::string() });
}

void ConfigurationFollower::OnBody(const FollowerMessage& aEvent,
                                   const ManifestReply& aBody)
{
  fetchDeadline_ = {};
  if (aBody.text.empty()) {
    return;
  }
  ++counters_.manifestsFetched;
  const PeerHeader& header = aEvent.message.header;
  if (ReceiveManifest(aBody.text, header.sender.name) ==
      ReceiveResult::Refused) {
    // The sender may run a version of the program that can parse the manifest.
    // Fetching the revision again would only be refused again.
    refusedRevision_ = header.revision;
    refusedUntil_ = now_.steady + kRefusedRevisionBackOff;
  }
}

void ConfigurationFollower::OnBody(const FollowerMessage& aEvent,
                                   const FleetUpdate& aBody)
{
  const PeerHeader& header = aEvent.message.header;
  if (aBody.zone == options_.zone) {
    UpdateReaderState(aBody);
  }
  if (leaving_.Merge(aBody.leaving, now_.steady)) {
    OnLeavingAdded();
  }
  if (candidate_ && header.revision != 0 &&
      header.revision <= candidate_->revision) {
    ++confirmations_;
  }
  const bool isDifferent =
    aBody.digest != leaving_.Digest() || header.revision != ActiveRevision();
  if (isDifferent && aBody.round < kMaxExchangeRound) {
    FleetUpdate reply = MakeUpdate(aBody.round + 1);
    reply.leaving = leaving_.Replicas(now_.steady);
    Reply(aEvent, std::move(reply));
  }
}

void ConfigurationFollower::UpdateReaderState(const FleetUpdate& aUpdate)
{
  const Instant readAt = now_.steady - aUpdate.readerAge;
  if (readAt > lastReaderRead_) {
    lastReaderRead_ = readAt;
    lastReaderRank_ = aUpdate.readerRank;
  }
  const auto rank = zone_.ReaderRankOf(options_.self.name);
  if (isActingReader_ && aUpdate.readerAge < kReaderRecoveredAge &&
      aUpdate.readerRank < rank) {
    isActingReader_ = false;
    ScheduleBackstopRead();
  }
}

void ConfigurationFollower::UpdateActingReader()
{
  const auto rank = zone_.ReaderRankOf(options_.self.name);
  if (!manifest_ || !rank || *rank < kReadersPerZone) {
    isActingReader_ = false;
    return;
  }
  const auto step = static_cast<int>(*rank - kReadersPerZone);
  isActingReader_ |= now_.steady - lastReaderRead_ >
                     kTakeOverTimeout + kTakeOverStepPerRank * step;
}

void ConfigurationFollower::FetchIfAhead(const FollowerMessage& aEvent)
{
  const Revision peerRevision = aEvent.message.header.revision;
  const bool isRefused =
    peerRevision == refusedRevision_ && now_.steady < refusedUntil_;
  if (peerRevision <= HighestKnownRevision() || isRefused ||
      now_.steady < fetchDeadline_) {
    return;
  }
  fetchDeadline_ = now_.steady + kFetchTimeout;
  Reply(aEvent, ManifestRequest{});
}

ConfigurationFollower::ReceiveResult ConfigurationFollower::ReceiveManifest(
  std::string_view aText,
  std::string_view aSource)
{
  if (Checksum(aText) == refusedChecksum_) {
    ++counters_.refusedManifests;
    return ReceiveResult::Refused;
  }
  auto parsed = options_.parse(aText);
  if (const auto* const faults = std::get_if<Faults>(&parsed)) {
    RefuseManifest(aText, aSource, *faults);
    return ReceiveResult::Refused;
  }
  auto manifest = std::get<ManifestPtr>(std::move(parsed));
  if (manifest->revision <= HighestKnownRevision()) {
    counters_.staleManifests +=
      manifest->revision < HighestKnownRevision() ? 1 : 0;
    return ReceiveResult::NotNewer;
  }
  if (manifest_) {
    Adopt(std::move(manifest));
  } else {
    candidate_ = std::move(manifest);
    QueryPeersAboutCandidate();
  }
  return ReceiveResult::Newer;
}

void ConfigurationFollower::RefuseManifest(std::string_view aText,
                                           std::string_view aSource,
                                           const Faults& aFaults)
{
  ++counters_.refusedManifests;
  refusedChecksum_ = Checksum(aText);
  lastRefusal_ = ToText(std::string(aSource), aFaults.front());
  if (aFaults.size() > 1) {
    lastRefusal_ += ", and " + std::to_string(aFaults.size() - 1) + " more";
  }
  effects_.emplace_back(LogLine{ Severity::Error,
                                 kComponent,
                                 "manifest refused, revision " +
                                   std::to_string(ActiveRevision()) +
                                   " stays in force: " + lastRefusal_ });
}

void ConfigurationFollower::QueryPeersAboutCandidate()
{
  // The platform may return an outdated manifest. A peer with a newer one
  // answers with its revision, which is then fetched.
  candidateDeadline_ = now_.steady + kCandidateTimeout;
  confirmations_ = 0;
  UpdateAgentAddresses(*candidate_);
  peersQueried_ = SendUpdateToRandomPeers(kPeersQueriedAtStart, true);
  std::ranges::for_each(
    options_.seeds, [this](const std::string& aSeed) { SendUpdate(aSeed); });
}

void ConfigurationFollower::AdoptCandidateIfDue()
{
  if (!candidate_) {
    return;
  }
  const bool isDue =
    now_.steady >= candidateDeadline_ || confirmations_ >= peersQueried_;
  if (isDue) {
    Adopt(std::exchange(candidate_, nullptr));
  }
}

void ConfigurationFollower::Adopt(ManifestPtr aManifest)
{
  const bool isFirst = !manifest_;
  manifest_ = std::move(aManifest);
  zone_ = ZoneView(*manifest_, options_.zone);
  UpdateAgentAddresses(*manifest_);
  effects_.emplace_back(AdoptManifest{ manifest_ });
  effects_.emplace_back(
    LogLine{ Severity::Info,
             kComponent,
             "revision " + std::to_string(manifest_->revision) + " in force" });
  if (isFirst) {
    nextGossip_ = now_.steady + RandomUpTo(kGossipInterval);
    manifestReads_.ScheduleAt(now_.steady);
    if (!IsReader()) {
      ScheduleBackstopRead();
    }
    return;
  }
  std::ranges::for_each(
    zone_.ChildrenOf(options_.self.name),
    [this](const std::string& aChild) { SendUpdate(aChild); });
  if (IsReader()) {
    std::ranges::for_each(
      zone_.TopAddresses(),
      [this](const std::string& aAddress) { SendUpdate(aAddress); });
  }
}

void ConfigurationFollower::UpdateAgentAddresses(const Manifest& aManifest)
{
  agentAddresses_.clear();
  for (const auto& [name, replica] : aManifest.replicas) {
    if (replica.address != options_.address) {
      agentAddresses_.push_back(replica.address);
    }
  }
}

void ConfigurationFollower::On(ManifestReadResult& aEvent)
{
  manifestReads_.OnReadEnded(aEvent.status, now_.steady);
  if (aEvent.status == PlatformStatus::Ok) {
    ReceiveManifest(aEvent.text, "platform");
  } else if (aEvent.status != PlatformStatus::NoChange) {
    ++counters_.platformFailures;
  }
  if (IsReader()) {
    lastReaderRead_ = now_.steady;
    lastReaderRank_ = *zone_.ReaderRankOf(options_.self.name);
  } else if (manifest_) {
    ScheduleBackstopRead();
  }
}

void ConfigurationFollower::On(VmListReadResult& aEvent)
{
  listReads_.OnReadEnded(aEvent.status, now_.steady);
  if (aEvent.status != PlatformStatus::Ok) {
    ++counters_.platformFailures;
    return;
  }
  if (leaving_.Renew(aEvent.leaving, now_.steady)) {
    OnLeavingAdded();
  }
}

void ConfigurationFollower::OnLeavingAdded()
{
  effects_.emplace_back(PublishLeavingList{ leaving_.Names() });
  SendUpdateToRandomPeers(kPeersNotifiedOfLeaving, false);
}

void ConfigurationFollower::On(FollowerTick& /*aEvent*/)
{
  if (leaving_.Expire(now_.steady)) {
    effects_.emplace_back(PublishLeavingList{ leaving_.Names() });
  }
  if (!manifest_) {
    RequestFromSeedIfDue();
  }
  UpdateActingReader();
  ReadPlatformIfDue();
  GossipIfDue();
}

void ConfigurationFollower::RequestFromSeedIfDue()
{
  if (options_.seeds.empty() || now_.steady < nextSeedRequest_) {
    return;
  }
  nextSeedRequest_ =
    now_.steady + kSeedRequestInterval / 2 + RandomUpTo(kSeedRequestInterval);
  Send(options_.seeds[nextSeed_++ % options_.seeds.size()], ManifestRequest{});
}

void ConfigurationFollower::ReadPlatformIfDue()
{
  if (!options_.hasPlatform) {
    return;
  }
  const bool isReader = IsReader();
  if (isReader && !manifestReads_.IsFailing()) {
    // A process that takes over as a reader reads now, not at the time of its
    // next backstop read.
    manifestReads_.ScheduleNoLaterThan(now_.steady);
  }
  if (manifestReads_.IsDue(now_.steady)) {
    manifestReads_.OnReadStarted(now_.steady);
    ++counters_.platformReads;
    effects_.emplace_back(ReadManifest{
      ActiveRevision(), isReader ? kWatchDuration : Duration::zero() });
  }
  if (isReader && listReads_.IsDue(now_.steady)) {
    listReads_.OnReadStarted(now_.steady);
    ++counters_.platformReads;
    effects_.emplace_back(ReadVmList{});
  }
}

void ConfigurationFollower::ScheduleBackstopRead()
{
  // The interval grows with the zone, so that the rate of the zone's reads
  // stays constant. It applies after a failure too: otherwise an outage would
  // cause reads by the whole fleet.
  const auto factor =
    std::max<std::size_t>(1, zone_.Size() / kBackstopReadsPerInterval);
  const Duration interval = options_.pollInterval * factor;
  manifestReads_.ScheduleAt(now_.steady + interval / 2 + RandomUpTo(interval));
}

bool ConfigurationFollower::IsReader() const
{
  const auto rank = zone_.ReaderRankOf(options_.self.name);
  return manifest_ && rank && (*rank < kReadersPerZone || isActingReader_);
}

void ConfigurationFollower::GossipIfDue()
{
  if (!manifest_ || now_.steady < nextGossip_) {
    return;
  }
  nextGossip_ = now_.steady + kGossipInterval / 2 + RandomUpTo(kGossipInterval);
  const bool isAnyZone = zone_.Size() == 0 || random_() % kCrossZonePeriod == 0;
  SendUpdateToRandomPeers(1, isAnyZone);
}

std::size_t ConfigurationFollower::SendUpdateToRandomPeers(std::size_t aCount,
                                                           bool aIsAnyZone)
{
  const auto& addresses = aIsAnyZone ? agentAddresses_ : zone_.Addresses();
  std::vector<std::string> selected;
  std::ranges::sample(addresses,
                      std::back_inserter(selected),
                      static_cast<std::ptrdiff_t>(aCount),
                      random_);
  std::ranges::for_each(
    selected, [this](const std::string& aPeer) { SendUpdate(aPeer); });
  return selected.size();
}

FleetUpdate ConfigurationFollower::MakeUpdate(std::uint32_t aRound) const
{
  FleetUpdate update;
  update.round = aRound;
  update.zone = options_.zone;
  update.readerAge = now_.steady - lastReaderRead_;
  update.readerRank = lastReaderRank_;
  update.digest = leaving_.Digest();
  return update;
}

void ConfigurationFollower::SendUpdate(const std::string& aAddress)
{
  FleetUpdate update = MakeUpdate(0);
  auto leaving = leaving_.Replicas(now_.steady);
  if (leaving.size() <= kMaxUnsolicitedNames) {
    update.leaving = std::move(leaving);
  }
  Send(aAddress, std::move(update));
}

Revision ConfigurationFollower::ActiveRevision() const
{
  return manifest_ ? manifest_->revision : 0;
}

Revision ConfigurationFollower::HighestKnownRevision() const
{
  return candidate_ ? candidate_->revision : ActiveRevision();
}

std::string ConfigurationFollower::AddressOf(std::string_view aName) const
{
  const ManifestPtr& manifest = manifest_ ? manifest_ : candidate_;
  const Replica* const replica =
    manifest ? manifest->FindReplica(aName) : nullptr;
  return replica ? replica->address : std::string();
}

void ConfigurationFollower::Reply(const FollowerMessage& aEvent, PeerBody aBody)
{
  const ProcessId& sender = aEvent.message.header.sender;
  if (!aEvent.route.empty()) {
    effects_.emplace_back(
      SendBack{ aEvent.route,
                { { options_.self, sender.incarnation, ActiveRevision() },
                  std::move(aBody) } });
    return;
  }
  const std::string address = AddressOf(sender.name);
  if (!address.empty()) {
    effects_.emplace_back(
      SendTo{ address,
              { { options_.self, sender.incarnation, ActiveRevision() },
                std::move(aBody) } });
  }
}

void ConfigurationFollower::Send(const std::string& aAddress, PeerBody aBody)
{
  if (aAddress == options_.address) {
    return;
  }
  effects_.emplace_back(SendTo{
    aAddress, { { options_.self, 0, ActiveRevision() }, std::move(aBody) } });
}

Duration ConfigurationFollower::RandomUpTo(Duration aMax)
{
  std::uniform_int_distribution<Duration::rep> count(0, aMax.count());
  return Duration(count(random_));
}

void ConfigurationFollower::Describe(boost::json::object& aState) const
{
  aState["revision"] = ActiveRevision();
  aState["candidate"] = candidate_ ? candidate_->revision : 0;
  aState["reader"] = IsReader();
  aState["zone_agents"] = zone_.Size();
  aState["platform_reads"] = counters_.platformReads;
  aState["platform_failures"] = counters_.platformFailures;
  aState["platform_failing"] = manifestReads_.IsFailing();
  aState["refused_manifests"] = counters_.refusedManifests;
  aState["last_refusal"] = lastRefusal_;
  aState["stale_manifests"] = counters_.staleManifests;
  aState["manifests_fetched"] = counters_.manifestsFetched;
  aState["manifests_served"] = counters_.manifestsServed;
  aState["misdirected"] = counters_.misdirected;
  boost::json::object& leaving = aState["leaving"].emplace_object();
  for (const LeavingReplica& replica : leaving_.Replicas(now_.steady)) {
    leaving[replica.name] = replica.remaining.count();
  }
}

} // namespace gypsum
