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

constexpr std::string_view kPart = "configuration";
constexpr milliseconds kWatchTime{ 1'000 };
constexpr milliseconds kLeastManifestGap{ 1'000 };
constexpr milliseconds kListGap{ 1'000 };
constexpr milliseconds kSearchInterval{ 500 };
constexpr milliseconds kGossipInterval{ 500 };
constexpr milliseconds kFetchTimeout{ 1'000 };
constexpr milliseconds kCandidateTime{ 500 };
constexpr std::size_t kPeersAskedAtStart = 8;
constexpr std::size_t kPeersToldOfLeaving = 4;
constexpr seconds kSeedGrace{ 1 };       ///< For seeds, before the platform.
constexpr seconds kSeedGraceJitter{ 4 }; ///< Added to it at random.
constexpr seconds kTakeOverAfter{ 30 };  ///< Without a word of any reader.
constexpr seconds kTakeOverStep{ 1 };    ///< Later for each further rank.
constexpr seconds kReaderIsBack{ 10 };   ///< Age of a read by a better rank.
constexpr seconds kRefusedPause{ 30 };   ///< Before peers are asked again.
constexpr std::uint32_t kLastRound = 2;
constexpr unsigned kOtherZoneOneIn = 8;  ///< Exchanges that leave the zone.
constexpr std::size_t kBackstopUnit = 8; ///< Agents a zone reads as one.
constexpr std::size_t kMostNamesUnasked = 16;
constexpr std::uint64_t kListSeed = 0x6c697374;

} // namespace

ConfigurationFollower::ConfigurationFollower(FollowerOptions aOptions,
                                             ClockReading aStart)
  : options_(std::move(aOptions))
  , random_(options_.seed)
  , manifestReads_(kLeastManifestGap, options_.seed)
  , listReads_(kListGap, options_.seed ^ kListSeed)
  , lastReaderRead_(aStart.steady)
{
  const auto own = std::ranges::find(options_.seeds, options_.address);
  const bool isSeed = own != options_.seeds.end();
  if (isSeed) {
    options_.seeds.erase(own);
  }
  // Seeds spare the platform the reads of a mass restart.
  const bool isPatient = !isSeed && !options_.seeds.empty();
  manifestReads_.DueAt(
    aStart.steady +
    (isPatient ? kSeedGrace + RandomUpTo(kSeedGraceJitter) : Duration::zero()));
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
  const bool isForUs =
    header.target == 0 || header.target == options_.self.incarnation;
  if (!isForUs) {
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
  // Only the header of other messages matters here.
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
  fetchUntil_ = {};
  if (aBody.text.empty()) {
    return;
  }
  ++counters_.manifestsFetched;
  const PeerHeader& header = aEvent.message.header;
  if (Take(aBody.text, header.sender.name) == Taken::Refused) {
    // Another version of the program may read what this one cannot.
    refusedRevision_ = header.revision;
    refusedUntil_ = now_.steady + kRefusedPause;
  }
}

void ConfigurationFollower::OnBody(const FollowerMessage& aEvent,
                                   const FleetUpdate& aBody)
{
  const PeerHeader& header = aEvent.message.header;
  if (aBody.zone == options_.zone) {
    OnReaderHeard(aBody);
  }
  if (leaving_.Merge(aBody.leaving, now_.steady)) {
    OnLeavingLearned();
  }
  if (candidate_ && header.revision != 0 &&
      header.revision <= candidate_->revision) {
    ++confirmations_;
  }
  const bool isDifferent =
    aBody.digest != leaving_.Digest() || header.revision != ActiveRevision();
  if (isDifferent && aBody.round < kLastRound) {
    FleetUpdate answer = News(aBody.round + 1);
    answer.leaving = leaving_.Describe(now_.steady);
    Reply(aEvent, std::move(answer));
  }
}

void ConfigurationFollower::OnReaderHeard(const FleetUpdate& aNews)
{
  const Instant readAt = now_.steady - aNews.readerAge;
  if (readAt > lastReaderRead_) {
    lastReaderRead_ = readAt;
    lastReaderRank_ = aNews.readerRank;
  }
  const auto rank = zone_.ReaderRankOf(options_.self.name);
  if (isActing_ && aNews.readerAge < kReaderIsBack && aNews.readerRank < rank) {
    isActing_ = false;
    PlanBackstop();
  }
}

void ConfigurationFollower::UpdateActing()
{
  const auto rank = zone_.ReaderRankOf(options_.self.name);
  if (!manifest_ || !rank || *rank < kReadersPerZone) {
    isActing_ = false;
    return;
  }
  const auto step = static_cast<int>(*rank - kReadersPerZone);
  isActing_ |=
    now_.steady - lastReaderRead_ > kTakeOverAfter + kTakeOverStep * step;
}

void ConfigurationFollower::FetchIfAhead(const FollowerMessage& aEvent)
{
  const Revision theirs = aEvent.message.header.revision;
  const bool isRefused =
    theirs == refusedRevision_ && now_.steady < refusedUntil_;
  if (theirs <= HighestKnown() || isRefused || now_.steady < fetchUntil_) {
    return;
  }
  fetchUntil_ = now_.steady + kFetchTimeout;
  Reply(aEvent, ManifestRequest{});
}

ConfigurationFollower::Taken ConfigurationFollower::Take(
  std::string_view aText,
  std::string_view aSource)
{
  if (Checksum(aText) == refusedText_) {
    ++counters_.refusedManifests;
    return Taken::Refused;
  }
  auto parsed = options_.parse(aText);
  if (const auto* const faults = std::get_if<Faults>(&parsed)) {
    Refuse(aText, aSource, *faults);
    return Taken::Refused;
  }
  auto manifest = std::get<ManifestPtr>(std::move(parsed));
  if (manifest->revision <= HighestKnown()) {
    counters_.staleManifests += manifest->revision < HighestKnown() ? 1 : 0;
    return Taken::NotNewer;
  }
  if (manifest_) {
    Adopt(std::move(manifest));
  } else {
    candidate_ = std::move(manifest);
    AskForCandidate();
  }
  return Taken::Newer;
}

void ConfigurationFollower::Refuse(std::string_view aText,
                                   std::string_view aSource,
                                   const Faults& aFaults)
{
  ++counters_.refusedManifests;
  refusedText_ = Checksum(aText);
  lastRefusal_ = ToText(std::string(aSource), aFaults.front());
  if (aFaults.size() > 1) {
    lastRefusal_ += ", and " + std::to_string(aFaults.size() - 1) + " more";
  }
  effects_.emplace_back(LogLine{ Severity::Error,
                                 kPart,
                                 "manifest refused, revision " +
                                   std::to_string(ActiveRevision()) +
                                   " stays in force: " + lastRefusal_ });
}

void ConfigurationFollower::AskForCandidate()
{
  // The platform may be stale; whoever is ahead of the candidate answers.
  candidateUntil_ = now_.steady + kCandidateTime;
  confirmations_ = 0;
  RememberAddresses(*candidate_);
  peersAsked_ = TellRandomPeers(kPeersAskedAtStart, true);
  std::ranges::for_each(options_.seeds,
                        [this](const std::string& aSeed) { SendNews(aSeed); });
}

void ConfigurationFollower::AdoptCandidateIfDue()
{
  if (!candidate_) {
    return;
  }
  const bool isDue =
    now_.steady >= candidateUntil_ || confirmations_ >= peersAsked_;
  if (isDue) {
    Adopt(std::exchange(candidate_, nullptr));
  }
}

void ConfigurationFollower::Adopt(ManifestPtr aManifest)
{
  const bool isFirst = !manifest_;
  manifest_ = std::move(aManifest);
  zone_ = ZoneView(*manifest_, options_.zone);
  RememberAddresses(*manifest_);
  effects_.emplace_back(AdoptManifest{ manifest_ });
  effects_.emplace_back(
    LogLine{ Severity::Info,
             kPart,
             "revision " + std::to_string(manifest_->revision) + " in force" });
  if (isFirst) {
    nextGossip_ = now_.steady + RandomUpTo(kGossipInterval);
    manifestReads_.DueAt(now_.steady);
    if (!IsReader()) {
      PlanBackstop();
    }
    return;
  }
  std::ranges::for_each(
    zone_.ChildrenOf(options_.self.name),
    [this](const std::string& aChild) { SendNews(aChild); });
  if (IsReader()) {
    std::ranges::for_each(
      zone_.Heads(), [this](const std::string& aHead) { SendNews(aHead); });
  }
}

void ConfigurationFollower::RememberAddresses(const Manifest& aManifest)
{
  otherAddresses_.clear();
  for (const auto& [name, replica] : aManifest.replicas) {
    if (replica.address != options_.address) {
      otherAddresses_.push_back(replica.address);
    }
  }
}

void ConfigurationFollower::On(ManifestReadResult& aEvent)
{
  manifestReads_.OnEnded(aEvent.status, now_.steady);
  if (aEvent.status == PlatformStatus::Ok) {
    Take(aEvent.text, "platform");
  } else if (aEvent.status != PlatformStatus::NoChange) {
    ++counters_.platformFailures;
  }
  if (IsReader()) {
    lastReaderRead_ = now_.steady;
    lastReaderRank_ = *zone_.ReaderRankOf(options_.self.name);
  } else if (manifest_) {
    PlanBackstop();
  }
}

void ConfigurationFollower::On(VmListReadResult& aEvent)
{
  listReads_.OnEnded(aEvent.status, now_.steady);
  if (aEvent.status != PlatformStatus::Ok) {
    ++counters_.platformFailures;
    return;
  }
  if (leaving_.Renew(aEvent.leaving, now_.steady)) {
    OnLeavingLearned();
  }
}

void ConfigurationFollower::OnLeavingLearned()
{
  effects_.emplace_back(PublishLeavingList{ leaving_.Names() });
  TellRandomPeers(kPeersToldOfLeaving, false);
}

void ConfigurationFollower::On(FollowerTick& /*aEvent*/)
{
  if (leaving_.Expire(now_.steady)) {
    effects_.emplace_back(PublishLeavingList{ leaving_.Names() });
  }
  if (!manifest_) {
    SearchPeers();
  }
  UpdateActing();
  ReadPlatformIfDue();
  Gossip();
}

void ConfigurationFollower::SearchPeers()
{
  if (options_.seeds.empty() || now_.steady < nextSearch_) {
    return;
  }
  nextSearch_ = now_.steady + kSearchInterval / 2 + RandomUpTo(kSearchInterval);
  Send(options_.seeds[nextSeed_++ % options_.seeds.size()], ManifestRequest{});
}

void ConfigurationFollower::ReadPlatformIfDue()
{
  if (!options_.hasPlatform) {
    return;
  }
  const bool isReader = IsReader();
  if (isReader && !manifestReads_.IsFailing()) {
    // One who takes over must not wait for the backstop.
    manifestReads_.DueBy(now_.steady);
  }
  if (manifestReads_.IsDue(now_.steady)) {
    manifestReads_.OnStarted(now_.steady);
    ++counters_.platformReads;
    effects_.emplace_back(ReadManifest{
      ActiveRevision(), isReader ? kWatchTime : Duration::zero() });
  }
  if (isReader && listReads_.IsDue(now_.steady)) {
    listReads_.OnStarted(now_.steady);
    ++counters_.platformReads;
    effects_.emplace_back(ReadVmList{});
  }
}

void ConfigurationFollower::PlanBackstop()
{
  // The interval grows with the zone, so that the zone's reads do not; after a
  // failure too, or an outage would bring on the reads of the whole fleet.
  const auto factor = std::max<std::size_t>(1, zone_.Size() / kBackstopUnit);
  const Duration interval = options_.pollInterval * factor;
  manifestReads_.DueAt(now_.steady + interval / 2 + RandomUpTo(interval));
}

bool ConfigurationFollower::IsReader() const
{
  const auto rank = zone_.ReaderRankOf(options_.self.name);
  return manifest_ && rank && (*rank < kReadersPerZone || isActing_);
}

void ConfigurationFollower::Gossip()
{
  if (!manifest_ || now_.steady < nextGossip_) {
    return;
  }
  nextGossip_ = now_.steady + kGossipInterval / 2 + RandomUpTo(kGossipInterval);
  const bool isOtherZone =
    zone_.Size() == 0 || random_() % kOtherZoneOneIn == 0;
  TellRandomPeers(1, isOtherZone);
}

std::size_t ConfigurationFollower::TellRandomPeers(std::size_t aCount,
                                                   bool aIsAnyZone)
{
  const auto& addresses = aIsAnyZone ? otherAddresses_ : zone_.Addresses();
  std::vector<std::string> chosen;
  std::ranges::sample(addresses,
                      std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(aCount),
                      random_);
  std::ranges::for_each(chosen,
                        [this](const std::string& aPeer) { SendNews(aPeer); });
  return chosen.size();
}

FleetUpdate ConfigurationFollower::News(std::uint32_t aRound) const
{
  FleetUpdate news;
  news.round = aRound;
  news.zone = options_.zone;
  news.readerAge = now_.steady - lastReaderRead_;
  news.readerRank = lastReaderRank_;
  news.digest = leaving_.Digest();
  return news;
}

void ConfigurationFollower::SendNews(const std::string& aAddress)
{
  FleetUpdate news = News(0);
  auto leaving = leaving_.Describe(now_.steady);
  if (leaving.size() <= kMostNamesUnasked) {
    news.leaving = std::move(leaving);
  }
  Send(aAddress, std::move(news));
}

Revision ConfigurationFollower::ActiveRevision() const
{
  return manifest_ ? manifest_->revision : 0;
}

Revision ConfigurationFollower::HighestKnown() const
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

Duration ConfigurationFollower::RandomUpTo(Duration aLongest)
{
  std::uniform_int_distribution<Duration::rep> count(0, aLongest.count());
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
  for (const LeavingReplica& replica : leaving_.Describe(now_.steady)) {
    leaving[replica.name] = replica.remaining.count();
  }
}

} // namespace gypsum
