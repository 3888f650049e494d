#pragma once

#include "core/gateway/backend_limits.h"
#include "core/gateway/backend_loads.h"
#include "core/gateway/backend_registry.h"
#include "core/gateway/batch_queue.h"
#include "core/gateway/crash_evidence.h"
#include "core/gateway/limit_allotment.h"
#include "core/gateway/trait_trials.h"
#include "core/gateway/prefix_cache_index.h"
#include "core/gateway/peer_sightings.h"
#include "core/gateway/resume_policy.h"
#include "core/gateway/store_knowledge.h"
#include "core/gateway/stream_origins.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsum {

/** Estimated wait of a new job in the queue of a stage service. */
struct ServiceWait
{
  std::string service;
  std::uint32_t priority = 0;
  Duration wait{};
};

/** Status that a gateway sends to its peers several times a second. */
struct GatewayStatus
{
  std::string address; ///< Peer address of the sender.
  std::string zone;
  bool isLeaving = false;
  double processorShare = 1.0;
  Duration settledFor{}; ///< See `FleetDiscovery`.
  KnowledgeClaim configuration;
  KnowledgeClaim backends;
  KnowledgeClaim evacuations;
  std::vector<std::string> evacuatedZones; ///< At the version of the claim.
  std::vector<std::string> peers;          ///< Peers it receives messages from.
  std::vector<PeerSighting> sightings;     ///< Of the sender itself first.
  std::vector<BackendLoad> loads;
  std::vector<ServiceWait> waits; ///< For the queues that it owns.
  std::vector<PrefixRead> reads;  ///< Recently sent by this gateway.
  std::uint64_t crashDigest = 0;  ///< See `CrashEvidence`.
  Duration crashMemoryAge{};      ///< See `CrashReport`.
  std::vector<BackendLimit> limits;
  std::vector<LeavingBackend> leaving; ///< By their own word.
};

/** Asks what the receiver knows of the store. */
struct KnowledgeRequest
{
  std::int64_t number = 0; ///< Copied to the reply.
};

/** What the sender knows of the store; number zero if nobody asked. */
struct KnowledgeReply
{
  std::int64_t number = 0;
  KnowledgeClaim configuration;
  KnowledgeClaim backends;
  KnowledgeClaim evacuations;
  std::vector<std::string> evacuatedZones; ///< At the version of the claim.
};

/** A backend server has just said that it leaves. */
struct LeavingNotice
{
  LeavingBackend leaving;
};

/** Announces a long prompt at once, since the next status would be too late. */
struct PromptSent
{
  std::string backend;
  std::uint64_t tokens = 0; ///< Tokens that the replica has not cached.
};

/** Origins of streams that the receiver may have to resume. */
struct StreamOriginNotice
{
  std::vector<ExpiringOrigin> origins;
};

/** Asks what the receiver knows of a stream that a client resumes. */
struct StreamOriginRequest
{
  std::uint64_t number = 0; ///< Copied to the reply.
  ResumeQuestion question;
};

struct StreamOriginReply
{
  std::uint64_t number = 0;
  OriginKnowledge knowledge;
};

/** Limits that have just changed. */
struct LimitNotice
{
  std::vector<BackendLimit> limits;
};

/** Asks the gateway that hands out the places of a limited server for one. */
struct LimitQuestion
{
  std::uint64_t number = 0; ///< Copied to the answer.
  BackendLimit limit;       ///< As the asker knows it.
  std::uint32_t priority = 0;
  double coldPerSecond = 0.0; ///< Of a cold server; zero: it is warm.
};

struct LimitAnswer
{
  std::uint64_t number = 0;
  LimitGrant grant;
};

/** Requests the peer's reports of crashes; the reply is a `CrashReport`. */
struct CrashReportRequest
{};

/** Requests the peer's registry of backend servers: what has changed since a
 * revision, or all of it if that is zero. */
struct RegistryRequest
{
  StoreRevision since;
};

struct RegistryReply
{
  RegistrySnapshot list;
};

/** Requests pieces from the owner of a stage service's queue. */
struct PieceRequest
{
  std::string service;
  PieceJob job;          ///< Its times are not set; see below.
  Duration dueIn{};      ///< Time left until the target; may be negative.
  Duration deadlineIn{}; ///< Time left until the deadline.
};

/** The job is in the queue. */
struct PieceAccepted
{
  PieceJobId id;
  ServiceWait wait; ///< Of a further job of its priority.
};

/** The job has ended. */
struct PieceReply
{
  PieceJobEnd end;
};

/** The pieces are no longer needed. */
struct PieceCancel
{
  std::string service;
  PieceJobId id;
};

/** Results that are no longer needed; the owner releases them. */
struct PieceFree
{
  std::string service;
  std::vector<std::string> handles;
};

} // namespace gypsum
