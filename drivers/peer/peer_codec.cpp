#include "drivers/peer/peer_codec.h"

#include "core/gateway/job_moves.h"
#include "drivers/peer/compressed_text.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <utility>

namespace gypsum {

namespace {

void Fill(proto::StageId& aTo, const StageId& aFrom)
{
  aTo.set_customer(aFrom.request.customer);
  aTo.set_key(aFrom.request.key);
  aTo.set_stage(aFrom.stage);
  aTo.set_attempt(aFrom.attempt);
  aTo.set_entry_incarnation(aFrom.entry);
}

void Fill(proto::Report& aTo, const Report& aFrom)
{
  aTo.set_queued(aFrom.queued);
  aTo.set_running(aFrom.running);
  aTo.set_concurrency(aFrom.concurrency);
  aTo.set_is_leaving(aFrom.isLeaving);
  aTo.set_mean_service_us(aFrom.meanService.count());
}

void FillBody(proto::Envelope& aTo, const Hello& aFrom)
{
  aTo.mutable_hello()->set_is_listed_leaving(aFrom.isListedLeaving);
}

void FillBody(proto::Envelope& aTo, const Report& aFrom)
{
  Fill(*aTo.mutable_report(), aFrom);
}

void FillBody(proto::Envelope& aTo, const StageRequest& aFrom)
{
  proto::StageRequest& to = *aTo.mutable_stage_request();
  Fill(*to.mutable_id(), aFrom.id);
  to.set_pipeline(aFrom.pipeline);
  to.set_service(aFrom.service);
  to.set_operation(aFrom.operation);
  to.set_is_repeatable(aFrom.isRepeatable);
  to.set_priority(aFrom.priority);
  to.set_weight(aFrom.weight);
  to.set_budget_us(aFrom.budget.count());
  to.set_request_hash(aFrom.requestHash);
  to.set_checksum(aFrom.checksum);
  to.set_length(aFrom.input.size());
  to.set_input(aFrom.input);
}

void Fill(proto::StageReply& aTo, const StageReply& aFrom)
{
  Fill(*aTo.mutable_id(), aFrom.id);
  aTo.set_outcome(static_cast<std::uint32_t>(aFrom.outcome));
  aTo.set_error(static_cast<std::uint32_t>(aFrom.error));
  aTo.set_retry_after_us(aFrom.retryAfter.count());
  aTo.set_service_us(aFrom.serviceTime.count());
  aTo.set_queue_us(aFrom.queueTime.count());
  aTo.set_checksum(aFrom.checksum);
  aTo.set_length(aFrom.output.size());
  aTo.set_output(aFrom.output);
  Fill(*aTo.mutable_load(), aFrom.load);
}

void FillBody(proto::Envelope& aTo, const StageReply& aFrom)
{
  Fill(*aTo.mutable_stage_reply(), aFrom);
}

void FillBody(proto::Envelope& aTo, const Cancel& aFrom)
{
  Fill(*aTo.mutable_cancel()->mutable_id(), aFrom.id);
}

void FillBody(proto::Envelope& aTo, const ManifestRequest& /*aFrom*/)
{
  aTo.mutable_manifest_request();
}

void FillBody(proto::Envelope& aTo, const ManifestReply& aFrom)
{
  proto::ManifestReply& to = *aTo.mutable_manifest_reply();
  to.set_length(aFrom.text.size());
  if (!aFrom.text.empty()) {
    to.set_deflated(Compress(aFrom.text));
  }
}

void Fill(proto::Slot& aTo, const Slot& aFrom)
{
  aTo.set_name(aFrom.name);
  aTo.set_address(aFrom.address);
}

void Fill(proto::RecordCursor& aTo, const RecordCursor& aFrom)
{
  aTo.set_customer(aFrom.request.customer);
  aTo.set_key(aFrom.request.key);
  aTo.set_stage(aFrom.stage);
}

void Fill(proto::PieceJobId& aTo, const PieceJobId& aFrom)
{
  aTo.set_asker(aFrom.requester);
  aTo.set_number(aFrom.number);
}

void Fill(proto::BackendLimit& aTo, const BackendLimit& aFrom)
{
  aTo.set_backend(aFrom.backend);
  aTo.set_started_ms(aFrom.startedMs);
  aTo.set_is_limited(aFrom.isLimited);
  aTo.set_per_second(aFrom.perSecond);
  aTo.set_age_us(aFrom.age.count());
}

void Fill(proto::LeavingBackend& aTo, const LeavingBackend& aFrom)
{
  aTo.set_backend(aFrom.backend);
  aTo.set_started_ms(aFrom.startedMs);
  aTo.set_age_us(aFrom.age.count());
}

void Fill(proto::KnowledgeClaim& aTo, const KnowledgeClaim& aFrom)
{
  aTo.set_version(aFrom.version.revision);
  aTo.set_era(aFrom.version.era);
  aTo.set_age_us(static_cast<std::uint64_t>(aFrom.age.count()));
  aTo.set_read_age_us(static_cast<std::uint64_t>(aFrom.readAge.count()));
}

/** A sighting takes six bytes: the peer, little-endian, its round, and its age
 * in units of `kSightingAgeUnit` with a bit for those that leave. */
constexpr std::size_t kSightingBytes = 6;
constexpr Duration kSightingAgeUnit = std::chrono::milliseconds(32);
constexpr unsigned kLeavingBit = 0x80;
constexpr unsigned kBitsPerByte = 8;

static_assert(PeerSightings::kMaxAge / kSightingAgeUnit < kLeavingBit);

std::string EncodeSightings(std::span<const PeerSighting> aFrom)
{
  std::string bytes;
  bytes.reserve(aFrom.size() * kSightingBytes);
  for (const PeerSighting& sighting : aFrom) {
    for (unsigned byte = 0; byte < sizeof sighting.peer; ++byte) {
      bytes.push_back(
        static_cast<char>(sighting.peer >> (byte * kBitsPerByte)));
    }
    bytes.push_back(static_cast<char>(sighting.round));
    const auto units = std::clamp<std::int64_t>(
      sighting.age / kSightingAgeUnit, 0, kLeavingBit - 1);
    bytes.push_back(static_cast<char>(static_cast<unsigned>(units) |
                                      (sighting.isLeaving ? kLeavingBit : 0)));
  }
  return bytes;
}

void Fill(proto::ServiceWait& aTo, const ServiceWait& aFrom)
{
  aTo.set_service(aFrom.service);
  aTo.set_priority(aFrom.priority);
  aTo.set_wait_us(static_cast<std::uint64_t>(aFrom.wait.count()));
}

void FillBody(proto::Envelope& aTo, const GatewayStatus& aFrom)
{
  proto::GatewayNews& to = *aTo.mutable_gateway_news();
  to.set_address(aFrom.address);
  to.set_zone(aFrom.zone);
  to.set_is_leaving(aFrom.isLeaving);
  to.set_processor_share(aFrom.processorShare);
  to.set_settled_us(static_cast<std::uint64_t>(aFrom.settledFor.count()));
  Fill(*to.mutable_configuration(), aFrom.configuration);
  Fill(*to.mutable_backends(), aFrom.backends);
  Fill(*to.mutable_evacuations(), aFrom.evacuations);
  to.mutable_evacuated_zones()->Add(aFrom.evacuatedZones.begin(),
                                    aFrom.evacuatedZones.end());
  to.mutable_peers()->Add(aFrom.peers.begin(), aFrom.peers.end());
  to.set_sightings(EncodeSightings(aFrom.sightings));
  for (const BackendLoad& load : aFrom.loads) {
    proto::BackendLoad& item = *to.add_loads();
    item.set_id(load.id);
    item.set_running(load.running);
    item.set_unread_tokens(load.pendingPromptTokens);
    item.set_is_silent(load.isUnresponsive);
  }
  for (const ServiceWait& wait : aFrom.waits) {
    Fill(*to.add_waits(), wait);
  }
  for (const PrefixRead& read : aFrom.reads) {
    proto::PrefixRead& item = *to.add_reads();
    item.set_backend(read.backend);
    for (const PromptPrefix& prefix : read.prefixes) {
      item.add_hashes(prefix.hash);
      item.add_tokens(prefix.tokens);
    }
  }
  to.set_crash_digest(aFrom.crashDigest);
  to.set_crash_memory_age_us(aFrom.crashMemoryAge.count());
  for (const BackendLimit& limit : aFrom.limits) {
    Fill(*to.add_limits(), limit);
  }
  for (const LeavingBackend& leaving : aFrom.leaving) {
    Fill(*to.add_leaving(), leaving);
  }
}

void FillBody(proto::Envelope& aTo, const RegistryRequest& aFrom)
{
  proto::RegistryRequest& to = *aTo.mutable_registry_request();
  to.set_since_revision(aFrom.since.revision);
  to.set_since_era(aFrom.since.era);
}

void FillBody(proto::Envelope& aTo, const RegistryReply& aFrom)
{
  proto::RegistryReply& to = *aTo.mutable_registry_reply();
  to.set_revision(aFrom.list.revision.revision);
  to.set_era(aFrom.list.revision.era);
  if (aFrom.list.since) {
    to.set_since_revision(aFrom.list.since->revision);
    to.set_since_era(aFrom.list.since->era);
  }
  for (const RegistryChange& entry : aFrom.list.entries) {
    proto::BackendRecord& item = *to.add_entries();
    item.set_id(entry.id);
    item.set_revision(entry.revision.revision);
    item.set_era(entry.revision.era);
    item.set_is_unreadable(entry.isUnreadable);
    item.set_is_removed(!entry.record && !entry.isUnreadable);
    if (entry.record) {
      item.set_service(entry.record->service);
      item.set_address(entry.record->address);
      item.set_zone(entry.record->zone);
      item.set_slots(entry.record->slots);
      item.set_is_draining(entry.record->isDraining);
      item.set_started_ms(entry.record->startedMs);
      item.set_software_version(entry.record->version);
    }
    item.set_cold_for_us(static_cast<std::uint64_t>(entry.coldFor.count()));
    if (entry.removedIn) {
      item.set_removed_in_us(
        static_cast<std::uint64_t>(entry.removedIn->count()));
    }
  }
}

void FillBody(proto::Envelope& aTo, const PieceRequest& aFrom)
{
  proto::PieceRequest& to = *aTo.mutable_piece_request();
  to.set_service(aFrom.service);
  Fill(*to.mutable_id(), aFrom.job.id);
  to.set_attempt(aFrom.job.attempt);
  to.set_stage(aFrom.job.stage);
  to.set_pieces(aFrom.job.pieces);
  to.set_key(aFrom.job.key);
  to.set_reads_results(aFrom.job.readsResults);
  to.mutable_inputs()->Add(aFrom.job.inputs.begin(), aFrom.job.inputs.end());
  to.set_priority(aFrom.job.priority);
  to.set_due_in_us(aFrom.dueIn.count());
  to.set_latest_in_us(aFrom.deadlineIn.count());
  to.set_result_bytes(aFrom.job.resultBytes);
  to.set_preferred_zone(aFrom.job.preferredZone);
  to.set_zone_bytes(aFrom.job.zoneBytes);
  to.set_request(aFrom.job.request);
  to.set_moves(aFrom.job.moves);
}

void FillBody(proto::Envelope& aTo, const PieceAccepted& aFrom)
{
  proto::PieceAccepted& to = *aTo.mutable_piece_accepted();
  Fill(*to.mutable_id(), aFrom.id);
  Fill(*to.mutable_wait(), aFrom.wait);
}

void FillBody(proto::Envelope& aTo, const PieceReply& aFrom)
{
  proto::PieceReply& to = *aTo.mutable_piece_reply();
  Fill(*to.mutable_id(), aFrom.end.id);
  to.set_failure(static_cast<std::uint32_t>(aFrom.end.failure));
  to.mutable_handles()->Add(aFrom.end.handles.begin(), aFrom.end.handles.end());
  to.set_next_owner(aFrom.end.nextOwner);
}

void FillBody(proto::Envelope& aTo, const PieceFree& aFrom)
{
  proto::PieceFree& to = *aTo.mutable_piece_free();
  to.set_service(aFrom.service);
  to.mutable_handles()->Add(aFrom.handles.begin(), aFrom.handles.end());
}

void FillBody(proto::Envelope& aTo, const PromptSent& aFrom)
{
  proto::PromptSent& to = *aTo.mutable_prompt_sent();
  to.set_backend(aFrom.backend);
  to.set_tokens(aFrom.tokens);
}

void Fill(proto::StreamOrigin& aTo, const ExpiringOrigin& aFrom)
{
  aTo.set_attempt(aFrom.origin.attempt);
  aTo.set_service(aFrom.origin.service);
  aTo.set_version(aFrom.origin.version);
  aTo.set_expires_in_us(aFrom.expiresIn.count());
}

void FillBody(proto::Envelope& aTo, const StreamOriginNotice& aFrom)
{
  proto::StreamOriginNotice& to = *aTo.mutable_stream_origin_notice();
  for (const ExpiringOrigin& origin : aFrom.origins) {
    Fill(*to.add_origins(), origin);
  }
}

void FillBody(proto::Envelope& aTo, const StreamOriginRequest& aFrom)
{
  proto::StreamOriginRequest& to = *aTo.mutable_stream_origin_request();
  to.set_number(aFrom.number);
  to.set_attempt(aFrom.question.attempt);
  to.set_service(aFrom.question.service);
  to.set_max_age_us(aFrom.question.maxAge.count());
}

void FillBody(proto::Envelope& aTo, const StreamOriginReply& aFrom)
{
  proto::StreamOriginReply& to = *aTo.mutable_stream_origin_reply();
  to.set_number(aFrom.number);
  if (aFrom.knowledge.origin) {
    Fill(*to.mutable_origin(), *aFrom.knowledge.origin);
  }
  to.mutable_versions()->Add(aFrom.knowledge.versions.begin(),
                             aFrom.knowledge.versions.end());
  to.set_is_version_list_complete(aFrom.knowledge.isVersionListComplete);
  to.set_has_run_since(aFrom.knowledge.hasRunSince);
}

void FillBody(proto::Envelope& aTo, const LimitNotice& aFrom)
{
  proto::LimitNotice& to = *aTo.mutable_limit_notice();
  for (const BackendLimit& limit : aFrom.limits) {
    Fill(*to.add_limits(), limit);
  }
}

void FillBody(proto::Envelope& aTo, const LimitQuestion& aFrom)
{
  proto::LimitQuestion& to = *aTo.mutable_limit_question();
  to.set_number(aFrom.number);
  Fill(*to.mutable_limit(), aFrom.limit);
  to.set_priority(aFrom.priority);
  to.set_cold_per_second(aFrom.coldPerSecond);
}

void FillBody(proto::Envelope& aTo, const LimitAnswer& aFrom)
{
  proto::LimitAnswer& to = *aTo.mutable_limit_answer();
  to.set_number(aFrom.number);
  to.set_is_granted(aFrom.grant.isGranted);
  to.set_retry_after_us(aFrom.grant.retryAfter.count());
}

void FillBody(proto::Envelope& aTo, const KnowledgeRequest& aFrom)
{
  aTo.mutable_knowledge_request()->set_number(aFrom.number);
}

void FillBody(proto::Envelope& aTo, const KnowledgeReply& aFrom)
{
  proto::KnowledgeReply& to = *aTo.mutable_knowledge_reply();
  to.set_number(aFrom.number);
  Fill(*to.mutable_configuration(), aFrom.configuration);
  Fill(*to.mutable_backends(), aFrom.backends);
  Fill(*to.mutable_evacuations(), aFrom.evacuations);
  to.mutable_evacuated_zones()->Add(aFrom.evacuatedZones.begin(),
                                    aFrom.evacuatedZones.end());
}

void FillBody(proto::Envelope& aTo, const LeavingNotice& aFrom)
{
  Fill(*aTo.mutable_leaving_notice(), aFrom.leaving);
}

void FillBody(proto::Envelope& aTo, const CrashReport& aFrom)
{
  proto::CrashReport& to = *aTo.mutable_crash_report();
  for (const ServerCrash& from : aFrom.crashes) {
    proto::ServerCrash& crash = *to.add_crashes();
    crash.set_backend(from.backend);
    crash.set_started_ms(from.startedMs);
    crash.set_software_version(from.version);
    crash.set_age_us(from.age.count());
    crash.set_unlisted_restarts(from.unlistedRestarts);
    crash.set_is_suspected(from.proof == EndProof::Suspected);
    crash.set_was_silent(from.wasSilent);
    crash.set_is_fleet_new(from.isFleetNew);
    for (const RequestTrait& trait : from.traits) {
      proto::RequestTrait& copy = *crash.add_traits();
      copy.set_name(trait.name);
      copy.set_position(trait.position);
    }
  }
  for (const TraitSurvival& from : aFrom.survivals) {
    proto::TraitSurvival& survival = *to.add_survivals();
    survival.set_trait(from.trait);
    survival.set_software_version(from.version);
    survival.set_gateway(from.gateway);
    survival.set_number(from.number);
    survival.set_age_us(from.age.count());
  }
  for (const ServerLife& from : aFrom.lives) {
    proto::ServerLife& life = *to.add_lives();
    life.set_backend(from.backend);
    life.set_started_ms(from.startedMs);
    life.set_age_us(from.age.count());
  }
  to.set_memory_age_us(aFrom.memoryAge.count());
}

void FillBody(proto::Envelope& aTo, const CrashReportRequest& /*aFrom*/)
{
  aTo.mutable_crash_report_request();
}

void FillBody(proto::Envelope& aTo, const TraitTrial& aFrom)
{
  proto::TraitTrial& to = *aTo.mutable_trait_trial();
  to.set_gateway(aFrom.gateway);
  to.set_number(aFrom.number);
  to.mutable_traits()->Add(aFrom.traits.begin(), aFrom.traits.end());
  to.set_has_ended(aFrom.hasEnded);
}

void FillBody(proto::Envelope& aTo, const PieceCancel& aFrom)
{
  proto::PieceCancel& to = *aTo.mutable_piece_cancel();
  to.set_service(aFrom.service);
  Fill(*to.mutable_id(), aFrom.id);
}

void FillBody(proto::Envelope& aTo, const ReleaseRequest& aFrom)
{
  proto::ReleaseRequest& to = *aTo.mutable_release_request();
  Fill(*to.mutable_asker(), aFrom.newOwner);
  Fill(*to.mutable_asked(), aFrom.formerOwner);
  to.set_revision(aFrom.revision);
  if (aFrom.after) {
    Fill(*to.mutable_after(), *aFrom.after);
  }
}

void FillBody(proto::Envelope& aTo, const ReleaseReply& aFrom)
{
  proto::ReleaseReply& to = *aTo.mutable_release_reply();
  Fill(*to.mutable_released(), aFrom.released);
  to.set_revision(aFrom.revision);
  if (aFrom.after) {
    Fill(*to.mutable_after(), *aFrom.after);
  }
  to.set_is_last(aFrom.isLast);
  to.set_forgotten_until_ms(aFrom.forgottenUntil.time_since_epoch().count());
  to.set_plain_keys_wait_us(aFrom.plainKeysWait.count());
  for (const RecordCopy& record : aFrom.records) {
    proto::RecordCopy& copy = *to.add_records();
    Fill(*copy.mutable_key(), record.key);
    copy.set_request_hash(record.requestHash);
    Fill(*copy.mutable_reply(), record.reply);
  }
}

void FillBody(proto::Envelope& aTo, const FleetUpdate& aFrom)
{
  proto::FleetNews& to = *aTo.mutable_fleet_news();
  to.set_round(aFrom.round);
  to.set_zone(aFrom.zone);
  to.set_reader_age_us(aFrom.readerAge.count());
  to.set_reader_rank(aFrom.readerRank);
  to.set_digest(aFrom.digest);
  for (const LeavingReplica& replica : aFrom.leaving) {
    proto::LeavingReplica& copy = *to.add_leaving();
    copy.set_name(replica.name);
    copy.set_remaining_us(replica.remaining.count());
  }
}

/** No clock overflows by a span of this length. */
constexpr std::int64_t kMaxSpanUs =
  Duration(std::chrono::hours(24 * 365 * 10)).count();

/** Limits a span that is added to a clock. */
Duration ReadSpan(std::int64_t aMicroseconds)
{
  return Duration(std::clamp(aMicroseconds, -kMaxSpanUs, kMaxSpanUs));
}

Duration ReadSpan(std::uint64_t aMicroseconds)
{
  return Duration(static_cast<std::int64_t>(
    std::min<std::uint64_t>(aMicroseconds, kMaxSpanUs)));
}

StageId Read(const proto::StageId& aFrom)
{
  return { { aFrom.customer(), aFrom.key() },
           aFrom.stage(),
           aFrom.attempt(),
           aFrom.entry_incarnation() };
}

Report Read(const proto::Report& aFrom)
{
  return { aFrom.queued(),
           aFrom.running(),
           aFrom.concurrency(),
           aFrom.is_leaving(),
           ReadSpan(aFrom.mean_service_us()) };
}

std::optional<PeerBody> Read(proto::StageRequest& aFrom)
{
  if (aFrom.length() != aFrom.input().size()) {
    return std::nullopt;
  }
  StageRequest request;
  request.id = Read(aFrom.id());
  request.pipeline = aFrom.pipeline();
  request.service = aFrom.service();
  request.operation = aFrom.operation();
  request.isRepeatable = aFrom.is_repeatable();
  request.priority = aFrom.priority();
  request.weight = aFrom.weight();
  request.budget = ReadSpan(aFrom.budget_us());
  request.requestHash = aFrom.request_hash();
  request.checksum = aFrom.checksum();
  request.input = std::move(*aFrom.mutable_input());
  return request;
}

std::optional<StageReply> Read(proto::StageReply& aFrom)
{
  const bool isValid =
    aFrom.length() == aFrom.output().size() &&
    aFrom.outcome() <= static_cast<std::uint32_t>(Outcome::Unknown) &&
    aFrom.error() < ErrorResponses().size();
  if (!isValid) {
    return std::nullopt;
  }
  StageReply reply;
  reply.id = Read(aFrom.id());
  reply.outcome = static_cast<Outcome>(aFrom.outcome());
  reply.error = static_cast<ErrorKind>(aFrom.error());
  reply.retryAfter = ReadSpan(aFrom.retry_after_us());
  reply.serviceTime = ReadSpan(aFrom.service_us());
  reply.queueTime = ReadSpan(aFrom.queue_us());
  reply.checksum = aFrom.checksum();
  reply.output = std::move(*aFrom.mutable_output());
  reply.load = Read(aFrom.load());
  return reply;
}

Slot Read(const proto::Slot& aFrom)
{
  return { aFrom.name(), aFrom.address() };
}

RecordCursor Read(const proto::RecordCursor& aFrom)
{
  return { { aFrom.customer(), aFrom.key() }, aFrom.stage() };
}

PeerBody Read(const proto::ReleaseRequest& aFrom)
{
  ReleaseRequest request;
  request.newOwner = Read(aFrom.asker());
  request.formerOwner = Read(aFrom.asked());
  request.revision = aFrom.revision();
  if (aFrom.has_after()) {
    request.after = Read(aFrom.after());
  }
  return request;
}

std::optional<PeerBody> Read(proto::ReleaseReply& aFrom)
{
  ReleaseReply reply;
  reply.released = Read(aFrom.released());
  reply.revision = aFrom.revision();
  if (aFrom.has_after()) {
    reply.after = Read(aFrom.after());
  }
  reply.isLast = aFrom.is_last();
  reply.forgottenUntil =
    WallTime(std::chrono::milliseconds(aFrom.forgotten_until_ms()));
  reply.plainKeysWait = ReadSpan(aFrom.plain_keys_wait_us());
  for (proto::RecordCopy& record : *aFrom.mutable_records()) {
    auto recorded = Read(*record.mutable_reply());
    if (!recorded) {
      return std::nullopt;
    }
    reply.records.push_back(
      { Read(record.key()), record.request_hash(), std::move(*recorded) });
  }
  // Every part but the last must hold records, or the cursor would not advance.
  if (!reply.isLast && reply.records.empty()) {
    return std::nullopt;
  }
  return reply;
}

std::optional<PeerBody> Read(const proto::ManifestReply& aFrom)
{
  if (aFrom.length() == 0) {
    return ManifestReply{};
  }
  auto text = Decompress(aFrom.deflated(), aFrom.length());
  if (!text) {
    return std::nullopt;
  }
  return ManifestReply{ std::move(*text) };
}

FleetUpdate Read(const proto::FleetNews& aFrom)
{
  FleetUpdate update{
    aFrom.round(),       aFrom.zone(),   ReadSpan(aFrom.reader_age_us()),
    aFrom.reader_rank(), aFrom.digest(), {}
  };
  for (const proto::LeavingReplica& replica : aFrom.leaving()) {
    update.leaving.push_back(
      { replica.name(), ReadSpan(replica.remaining_us()) });
  }
  return update;
}

PieceJobId Read(const proto::PieceJobId& aFrom)
{
  return { aFrom.asker(), aFrom.number() };
}

std::vector<std::string> ToStrings(
  const google::protobuf::RepeatedPtrField<std::string>& aFrom)
{
  return { aFrom.begin(), aFrom.end() };
}

/** A negative age would place the event in the future. */
Duration ReadAge(std::int64_t aMicroseconds)
{
  return std::max(Duration{}, ReadSpan(aMicroseconds));
}

/** A rate that is no positive number leaves the smallest that is served. */
BackendLimit Read(const proto::BackendLimit& aFrom)
{
  const double rate = aFrom.per_second();
  return { aFrom.backend(),
           aFrom.started_ms(),
           aFrom.is_limited(),
           rate > 0.0 ? rate : 0.0,
           ReadAge(aFrom.age_us()) };
}

LeavingBackend Read(const proto::LeavingBackend& aFrom)
{
  return { aFrom.backend(), aFrom.started_ms(), ReadAge(aFrom.age_us()) };
}

Duration ReadBoundedAge(std::uint64_t aMicroseconds)
{
  const auto longest = static_cast<std::uint64_t>(kUnknownAge.count());
  return Duration(static_cast<std::int64_t>(std::min(longest, aMicroseconds)));
}

/** A missing or excessive age is an unknown one. */
KnowledgeClaim Read(bool aIsPresent, const proto::KnowledgeClaim& aFrom)
{
  if (!aIsPresent) {
    return {};
  }
  return { { aFrom.era(), aFrom.version() },
           ReadBoundedAge(aFrom.age_us()),
           ReadBoundedAge(aFrom.read_age_us()) };
}

/** Bytes after the last whole sighting are ignored. */
std::vector<PeerSighting> DecodeSightings(std::string_view aBytes)
{
  std::vector<PeerSighting> sightings(aBytes.size() / kSightingBytes);
  for (PeerSighting& sighting : sightings) {
    const auto byteAt = [&](std::size_t aIndex) {
      return static_cast<std::uint32_t>(
        static_cast<unsigned char>(aBytes[aIndex]));
    };
    for (unsigned byte = 0; byte < sizeof sighting.peer; ++byte) {
      sighting.peer |= byteAt(byte) << (byte * kBitsPerByte);
    }
    sighting.round = static_cast<std::uint8_t>(byteAt(sizeof sighting.peer));
    const std::uint32_t last = byteAt(kSightingBytes - 1);
    sighting.age = kSightingAgeUnit * (last & (kLeavingBit - 1));
    sighting.isLeaving = (last & kLeavingBit) != 0;
    aBytes.remove_prefix(kSightingBytes);
  }
  return sightings;
}

ServiceWait Read(const proto::ServiceWait& aFrom)
{
  return { aFrom.service(), aFrom.priority(), ReadBoundedAge(aFrom.wait_us()) };
}

GatewayStatus Read(const proto::GatewayNews& aFrom)
{
  GatewayStatus status;
  status.address = aFrom.address();
  status.zone = aFrom.zone();
  status.isLeaving = aFrom.is_leaving();
  status.processorShare = aFrom.processor_share();
  status.settledFor = ReadBoundedAge(aFrom.settled_us());
  status.configuration = Read(aFrom.has_configuration(), aFrom.configuration());
  status.backends = Read(aFrom.has_backends(), aFrom.backends());
  status.evacuations = Read(aFrom.has_evacuations(), aFrom.evacuations());
  status.evacuatedZones = ToStrings(aFrom.evacuated_zones());
  status.peers = ToStrings(aFrom.peers());
  status.sightings = DecodeSightings(aFrom.sightings());
  for (const proto::BackendLoad& load : aFrom.loads()) {
    status.loads.push_back(
      { load.id(), load.running(), load.unread_tokens(), load.is_silent() });
  }
  for (const proto::ServiceWait& wait : aFrom.waits()) {
    status.waits.push_back(Read(wait));
  }
  for (const proto::PrefixRead& item : aFrom.reads()) {
    PrefixRead read{ item.backend(), {} };
    const int count = std::min(item.hashes_size(), item.tokens_size());
    for (int index = 0; index < count; ++index) {
      read.prefixes.push_back({ item.hashes(index), item.tokens(index) });
    }
    status.reads.push_back(std::move(read));
  }
  status.crashDigest = aFrom.crash_digest();
  status.crashMemoryAge = ReadAge(aFrom.crash_memory_age_us());
  for (const proto::BackendLimit& limit : aFrom.limits()) {
    status.limits.push_back(Read(limit));
  }
  for (const proto::LeavingBackend& leaving : aFrom.leaving()) {
    status.leaving.push_back(Read(leaving));
  }
  return status;
}

RegistryReply Read(const proto::RegistryReply& aFrom)
{
  RegistryReply reply;
  reply.list.revision = { aFrom.era(), aFrom.revision() };
  if (aFrom.has_since_revision()) {
    reply.list.since =
      StoreRevision{ aFrom.since_era(), aFrom.since_revision() };
  }
  for (const proto::BackendRecord& item : aFrom.entries()) {
    RegistryChange entry{ item.id(),
                          { item.era(), item.revision() },
                          std::nullopt,
                          item.is_unreadable() };
    if (!item.is_unreadable() && !item.is_removed()) {
      entry.record =
        BackendRecord{ item.id(),         item.service(),
                       item.address(),    item.zone(),
                       item.slots(),      item.is_draining(),
                       item.started_ms(), item.software_version() };
    }
    entry.coldFor = ReadBoundedAge(item.cold_for_us());
    if (item.has_removed_in_us()) {
      entry.removedIn = ReadBoundedAge(item.removed_in_us());
    }
    reply.list.entries.push_back(std::move(entry));
  }
  return reply;
}

PieceRequest Read(const proto::PieceRequest& aFrom)
{
  PieceRequest request;
  request.service = aFrom.service();
  request.job.id = Read(aFrom.id());
  request.job.attempt = aFrom.attempt();
  request.job.stage = aFrom.stage();
  request.job.pieces = aFrom.pieces();
  request.job.key = aFrom.key();
  request.job.readsResults = aFrom.reads_results();
  request.job.inputs = ToStrings(aFrom.inputs());
  request.job.priority = aFrom.priority();
  request.dueIn = ReadSpan(aFrom.due_in_us());
  request.deadlineIn = ReadSpan(aFrom.latest_in_us());
  request.job.resultBytes = aFrom.result_bytes();
  request.job.preferredZone = aFrom.preferred_zone();
  request.job.zoneBytes = aFrom.zone_bytes();
  request.job.request = aFrom.request();
  // An older software version would take the sender of a moved job for
  // stopping.
  request.job.moves = aFrom.has_moves() ? aFrom.moves() : kMaxJobMoves;
  return request;
}

ExpiringOrigin Read(const proto::StreamOrigin& aFrom)
{
  return { { aFrom.attempt(), aFrom.service(), aFrom.version() },
           ReadSpan(aFrom.expires_in_us()) };
}

StreamOriginNotice Read(const proto::StreamOriginNotice& aFrom)
{
  StreamOriginNotice notice;
  for (const proto::StreamOrigin& origin : aFrom.origins()) {
    notice.origins.push_back(Read(origin));
  }
  return notice;
}

StreamOriginRequest Read(const proto::StreamOriginRequest& aFrom)
{
  return { aFrom.number(),
           { aFrom.attempt(), aFrom.service(), ReadSpan(aFrom.max_age_us()) } };
}

StreamOriginReply Read(const proto::StreamOriginReply& aFrom)
{
  StreamOriginReply reply;
  reply.number = aFrom.number();
  if (aFrom.has_origin()) {
    reply.knowledge.origin = Read(aFrom.origin());
  }
  reply.knowledge.versions = ToStrings(aFrom.versions());
  reply.knowledge.isVersionListComplete = aFrom.is_version_list_complete();
  reply.knowledge.hasRunSince = aFrom.has_run_since();
  return reply;
}

LimitNotice Read(const proto::LimitNotice& aFrom)
{
  LimitNotice notice;
  for (const proto::BackendLimit& limit : aFrom.limits()) {
    notice.limits.push_back(Read(limit));
  }
  return notice;
}

CrashReport Read(const proto::CrashReport& aFrom)
{
  CrashReport report;
  for (const proto::ServerCrash& from : aFrom.crashes()) {
    ServerCrash crash{ from.backend(),           from.started_ms(),
                       from.software_version(),  ReadAge(from.age_us()),
                       from.unlisted_restarts(), {} };
    crash.proof =
      from.is_suspected() ? EndProof::Suspected : EndProof::Confirmed;
    crash.wasSilent = from.was_silent();
    crash.isFleetNew = from.is_fleet_new();
    for (const proto::RequestTrait& trait : from.traits()) {
      crash.traits.push_back({ trait.name(), trait.position() });
    }
    report.crashes.push_back(std::move(crash));
  }
  for (const proto::TraitSurvival& from : aFrom.survivals()) {
    report.survivals.push_back({ from.trait(),
                                 from.software_version(),
                                 from.gateway(),
                                 from.number(),
                                 ReadAge(from.age_us()) });
  }
  for (const proto::ServerLife& from : aFrom.lives()) {
    report.lives.push_back(
      { from.backend(), from.started_ms(), ReadAge(from.age_us()) });
  }
  report.memoryAge = ReadAge(aFrom.memory_age_us());
  return report;
}

std::optional<PeerBody> Read(const proto::PieceReply& aFrom)
{
  if (aFrom.failure() > static_cast<std::uint32_t>(PieceFailure::Moved)) {
    return std::nullopt;
  }
  return PieceReply{ { Read(aFrom.id()),
                       static_cast<PieceFailure>(aFrom.failure()),
                       ToStrings(aFrom.handles()),
                       aFrom.next_owner() } };
}

std::optional<PeerBody> ReadBody(proto::Envelope& aFrom)
{
  switch (aFrom.body_case()) {
    case proto::Envelope::kHello:
      return Hello{ aFrom.hello().is_listed_leaving() };
    case proto::Envelope::kReport:
      return Read(aFrom.report());
    case proto::Envelope::kStageRequest:
      return Read(*aFrom.mutable_stage_request());
    case proto::Envelope::kStageReply:
      return Read(*aFrom.mutable_stage_reply());
    case proto::Envelope::kCancel:
      return Cancel{ Read(aFrom.cancel().id()) };
    case proto::Envelope::kManifestRequest:
      return ManifestRequest{};
    case proto::Envelope::kManifestReply:
      return Read(aFrom.manifest_reply());
    case proto::Envelope::kReleaseRequest:
      return Read(aFrom.release_request());
    case proto::Envelope::kReleaseReply:
      return Read(*aFrom.mutable_release_reply());
    case proto::Envelope::kFleetNews:
      return Read(aFrom.fleet_news());
    case proto::Envelope::kGatewayNews:
      return Read(aFrom.gateway_news());
    case proto::Envelope::kRegistryRequest:
      return RegistryRequest{ { aFrom.registry_request().since_era(),
                                aFrom.registry_request().since_revision() } };
    case proto::Envelope::kRegistryReply:
      return Read(aFrom.registry_reply());
    case proto::Envelope::kPieceRequest:
      return Read(aFrom.piece_request());
    case proto::Envelope::kPieceAccepted:
      return PieceAccepted{ Read(aFrom.piece_accepted().id()),
                            Read(aFrom.piece_accepted().wait()) };
    case proto::Envelope::kPieceReply:
      return Read(aFrom.piece_reply());
    case proto::Envelope::kPieceCancel:
      return PieceCancel{ aFrom.piece_cancel().service(),
                          Read(aFrom.piece_cancel().id()) };
    case proto::Envelope::kPieceFree:
      return PieceFree{ aFrom.piece_free().service(),
                        ToStrings(aFrom.piece_free().handles()) };
    case proto::Envelope::kPromptSent:
      return PromptSent{ aFrom.prompt_sent().backend(),
                         aFrom.prompt_sent().tokens() };
    case proto::Envelope::kStreamOriginNotice:
      return Read(aFrom.stream_origin_notice());
    case proto::Envelope::kStreamOriginRequest:
      return Read(aFrom.stream_origin_request());
    case proto::Envelope::kStreamOriginReply:
      return Read(aFrom.stream_origin_reply());
    case proto::Envelope::kCrashReport:
      return Read(aFrom.crash_report());
    case proto::Envelope::kCrashReportRequest:
      return CrashReportRequest{};
    case proto::Envelope::kTraitTrial:
      return TraitTrial{ aFrom.trait_trial().gateway(),
                         aFrom.trait_trial().number(),
                         ToStrings(aFrom.trait_trial().traits()),
                         aFrom.trait_trial().has_ended() };
    case proto::Envelope::kLimitNotice:
      return Read(aFrom.limit_notice());
    case proto::Envelope::kLimitQuestion:
      return LimitQuestion{ aFrom.limit_question().number(),
                            Read(aFrom.limit_question().limit()),
                            aFrom.limit_question().priority(),
                            std::max(
                              0.0, aFrom.limit_question().cold_per_second()) };
    case proto::Envelope::kLimitAnswer:
      return LimitAnswer{ aFrom.limit_answer().number(),
                          { aFrom.limit_answer().is_granted(),
                            ReadAge(aFrom.limit_answer().retry_after_us()) } };
    case proto::Envelope::kKnowledgeRequest:
      return KnowledgeRequest{ aFrom.knowledge_request().number() };
    case proto::Envelope::kKnowledgeReply: {
      const proto::KnowledgeReply& reply = aFrom.knowledge_reply();
      return KnowledgeReply{ reply.number(),
                             Read(reply.has_configuration(),
                                  reply.configuration()),
                             Read(reply.has_backends(), reply.backends()),
                             Read(reply.has_evacuations(), reply.evacuations()),
                             ToStrings(reply.evacuated_zones()) };
    }
    case proto::Envelope::kLeavingNotice:
      return LeavingNotice{ Read(aFrom.leaving_notice()) };
    case proto::Envelope::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace

std::string Encode(const PeerMessage& aMessage)
{
  proto::Envelope envelope;
  envelope.set_sender(aMessage.header.sender.name);
  envelope.set_sender_incarnation(aMessage.header.sender.incarnation);
  envelope.set_target_incarnation(aMessage.header.target);
  envelope.set_revision(aMessage.header.revision);
  std::visit([&](const auto& aBody) { FillBody(envelope, aBody); },
             aMessage.body);
  return envelope.SerializeAsString();
}

std::optional<PeerMessage> Decode(std::string_view aBytes)
{
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(aBytes.data(),
                               static_cast<int>(aBytes.size()))) {
    return std::nullopt;
  }
  auto body = ReadBody(envelope);
  if (!body) {
    return std::nullopt;
  }
  return PeerMessage{ { { envelope.sender(), envelope.sender_incarnation() },
                        envelope.target_incarnation(),
                        envelope.revision() },
                      std::move(*body) };
}

} // namespace gypsum
